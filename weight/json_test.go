package weight

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestJSON guards against texts whose decoded form isn't weighed, and against ordinary ones weighing more than their
// elements.
func TestJSON(t *testing.T) {
	tests := map[string]struct {
		text string
		want int64 // 100 for an element of an outermost array, 1 for an inner one
	}{
		"no list":                {text: `{"a":1,"b":{"c":2,"d":"x"}}`},
		"a list":                 {text: `[1,2,3]`, want: 300},
		"members beside lists":   {text: `{"a":[{"x":1,"y":2},{"x":1,"y":2}],"b":3}`, want: 200},
		"a list in a list":       {text: `[[1,2],[3]]`, want: 203},
		"commas in strings":      {text: `["a,b","c\",d","\\"]`, want: 300},
		"brackets in strings":    {text: `{"a":"[","b":",","c":["]",","]}`, want: 200},
		"lists in objects":       {text: `[{"a":[1,2]},{"a":[3]}]`, want: 203},
		"a list after another":   {text: `{"a":[[1]],"b":[1,2]}`, want: 301},
		"empty lists":            {text: `{"a":[],"b":[]}`, want: 200},
		"after an invalid end":   {text: `]]]}[1,2]`, want: 200},
		"deeper than is decoded": {text: strings.Repeat("[", 2*maxDepth), want: 99 + 2*maxDepth},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 3, len(tt.text)} {
				weigh, got := JSON(100, 1), int64(0)
				for text := tt.text; text != ""; {
					n := min(piece, len(text))
					got = weigh([]byte(text[:n]))
					text = text[n:]
				}
				if got != tt.want {
					t.Errorf("pieces of %d bytes weigh %d, want %d", piece, got, tt.want)
				}
			}
		})
	}
}

// FuzzJSON compares the weight of a text with its elements when it is decoded.
func FuzzJSON(f *testing.F) {
	for _, text := range []string{`[1,[2,"a,b"],{"c":[]}]`, `{"a":"\"[","b":[null]}`, `[" \\",{}]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got := JSON(1, 1)(text)
		var value any
		if json.Unmarshal(text, &value) != nil {
			return
		}
		if want := elements(value); got < want {
			t.Fatalf("%q weighs %d and has %d elements", text, got, want)
		}
	})
}

// elements returns the number of elements in arrays.
func elements(value any) int64 {
	n := int64(0)
	switch v := value.(type) {
	case []any:
		n = int64(len(v))
		for _, e := range v {
			n += elements(e)
		}
	case map[string]any:
		for _, e := range v {
			n += elements(e)
		}
	}
	return n
}
