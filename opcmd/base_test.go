package opcmd

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/wire"
)

func TestSplitBase(t *testing.T) {
	tests := map[string]struct {
		content string
		base    uint64
		text    string
		ok      bool
	}{
		"printed":                    {content: withBase(&wire.ListText{Version: 3, InForce: 7, Text: "a\nb\n"}), base: 7, text: "a\nb\n", ok: true},
		"no newline":                 {content: withBase(&wire.ListText{Version: 3, Text: "a"}), base: 3, text: "a\n", ok: true},
		"empty list":                 {content: withBase(&wire.ListText{}), ok: true},
		"CRLF line ends":             {content: "a\r\n# BaseVersion: 7\r\n\r\n", base: 7, text: "a\r\n", ok: true},
		"base line not last":         {content: "# BaseVersion: 7\na\n", text: "# BaseVersion: 7\na\n"},
		"not at the start of a line": {content: "a # BaseVersion: 7\n", text: "a # BaseVersion: 7\n"},
		"none":                       {content: "a\n", text: "a\n"},
		"out of range":               {content: "# BaseVersion: 99999999999999999999\n", text: "# BaseVersion: 99999999999999999999\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			base, text, ok := splitBase(tt.content)
			if base != tt.base || text != tt.text || ok != tt.ok {
				t.Fatalf("got %d, %q, %v", base, text, ok)
			}
		})
	}
}
