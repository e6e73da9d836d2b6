package events

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/EVENTS.md, generated from the catalogue.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Each line that a daemon logs is JSON with `Time`, `Level`, `Host`, the number `Event`, its `Name` and the fields below.\n\n")
	b.WriteString("| Event | Name | Level | Fields | Meaning | What to do |\n|---|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fields := strings.Join(e.Fields, ", ")
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Code, e.Name, e.Level, fields, e.Meaning, e.Action)
	}
	return b.String()
}
