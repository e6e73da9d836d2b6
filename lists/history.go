package lists

import "time"

const (
	maxTexts     = 200      // versions whose texts are kept
	maxTextBytes = 16 << 20 // of all kept texts together
	maxChanges   = 2000     // versions of which it is known who made them
)

// Change says who made a version.
type Change struct {
	Version  uint64
	List     string
	EditID   string
	Operator string
	At       time.Time
}

// OldText is the text that a version gave to one list.
type OldText struct {
	Version uint64
	List    string
	Content string
}

// history holds the last versions, oldest first.
type history struct {
	changes []Change
	texts   []OldText
	bytes   int // of all texts
}

func (h *history) add(c Change, text string) {
	h.changes = append(h.changes, c)
	if len(h.changes) > maxChanges {
		h.changes = h.changes[1:]
	}
	h.texts = append(h.texts, OldText{Version: c.Version, List: c.List, Content: text})
	h.bytes += len(text)
	for len(h.texts) > maxTexts || h.bytes > maxTextBytes {
		h.bytes -= len(h.texts[0].Content)
		h.texts = h.texts[1:]
	}
}

func (h *history) changeAt(version uint64) (Change, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].Version == version {
			return h.changes[i], true
		}
	}
	return Change{}, false
}

// textAt returns the text that a list had at a version.
func (h *history) textAt(list string, version uint64) (OldText, bool) {
	for i := len(h.texts) - 1; i >= 0; i-- {
		if t := h.texts[i]; t.List == list && t.Version <= version {
			return t, true
		}
	}
	return OldText{}, false
}
