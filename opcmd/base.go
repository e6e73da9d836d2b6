package opcmd

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"dogwoodrock.example/dogwoodrock/wire"
)

// baseLine matches the last line of a printed list. It holds the version that an edit of the text is
// based on. It comes last so that it doesn't shift the line numbers of the text.
var baseLine = regexp.MustCompile(`(?m)^# BaseVersion: ([0-9]{1,19})\s*\z`)

// withBase returns the text of a list followed by its base line.
func withBase(l *wire.ListText) string {
	text := l.Text
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return fmt.Sprintf("%s# BaseVersion: %d\n", text, baseVersion(l))
}

func baseVersion(l *wire.ListText) uint64 {
	return max(l.InForce, l.Version)
}

// splitBase returns the base version in a file and the text above the base line. If the file has no
// valid base line, ok is false.
func splitBase(content string) (base uint64, text string, ok bool) {
	m := baseLine.FindStringSubmatchIndex(content)
	if m == nil {
		return 0, content, false
	}
	base, err := strconv.ParseUint(content[m[2]:m[3]], 10, 64)
	return base, content[:m[0]], err == nil
}
