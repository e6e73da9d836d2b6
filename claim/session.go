package claim

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	sessionSeparator = "."
	sessionBase      = 32
	sessionBits      = 64
)

// SessionName is the parsed name of a session.
type SessionName struct {
	DataCentre string
	Epoch      uint64
	ID         uint64
}

// SessionNameError reports a malformed session name.
type SessionNameError struct {
	Text string
	Part string // the part that is malformed
}

// Error returns a message with the text and the malformed part.
func (e *SessionNameError) Error() string {
	return fmt.Sprintf("session name %.100q: bad %s", e.Text, e.Part)
}

// FormatSession returns the name "<data centre>.<epoch>.<id>", with the numbers in base 32.
func FormatSession(n SessionName) string {
	return n.DataCentre + sessionSeparator +
		strconv.FormatUint(n.Epoch, sessionBase) + sessionSeparator +
		strconv.FormatUint(n.ID, sessionBase)
}

// ParseSession parses the name of a session. It accepts only names in the form that FormatSession
// returns; the data centre may contain separators. The error is a *SessionNameError.
func ParseSession(text string) (SessionName, error) {
	rest, id, ok := cutLast(text)
	if !ok {
		return SessionName{}, &SessionNameError{Text: text, Part: "number of parts"}
	}
	dc, epoch, ok := cutLast(rest)
	if !ok || dc == "" {
		return SessionName{}, &SessionNameError{Text: text, Part: "data centre"}
	}
	n := SessionName{DataCentre: dc}
	if n.Epoch, ok = parseNumber(epoch); !ok {
		return SessionName{}, &SessionNameError{Text: text, Part: "epoch"}
	}
	if n.ID, ok = parseNumber(id); !ok {
		return SessionName{}, &SessionNameError{Text: text, Part: "id"}
	}
	return n, nil
}

func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndex(text, sessionSeparator)
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+len(sessionSeparator):], true
}

// parseNumber accepts only the canonical form, so that every session has exactly one name.
func parseNumber(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, sessionBase, sessionBits)
	return n, err == nil && strconv.FormatUint(n, sessionBase) == text
}
