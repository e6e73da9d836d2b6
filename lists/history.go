package lists

import "time"

const (
	maxTexts     = 200      // number of versions whose texts are kept
	maxTextBytes = 16 << 20 // total size of the kept texts
	maxChanges   = 2000     // number of versions whose Change is kept
)

// Change describes the edit that created a version.
type Change struct {
	Version  uint64
	List     string
	EditID   string
	Operator string
	At       time.Time
}

// OldText is the text of one list as set by a version.
type OldText struct {
	Version uint64
	List    string
	Content string
}

// history holds the latest versions, oldest first.
type history struct {
	changes []Change
	texts   []OldText
	bytes   int // total size of texts
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

// changeAt returns the edit that created a version, or false if it is no longer kept.
func (h *history) changeAt(version uint64) (Change, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].Version == version {
			return h.changes[i], true
		}
	}
	return Change{}, false
}

// textAt returns the text that a list had at a version, or false if that text is
// no longer kept.
func (h *history) textAt(list string, version uint64) (OldText, bool) {
	for i := len(h.texts) - 1; i >= 0; i-- {
		if t := h.texts[i]; t.List == list && t.Version <= version {
			return t, true
		}
	}
	return OldText{}, false
}
