package weight

import "reflect"

// maxDepth is the depth to which encoding/json decodes nested values.
const maxDepth = 10_000

// Slice returns the bytes that each element takes of a slice of T that grows by an element at a time: the slice has up
// to a quarter more elements, and the former one is held while it is copied.
func Slice[T any]() int64 {
	return grown(int64(reflect.TypeFor[T]().Size()))
}

func grown(element int64) int64 {
	return element + element*5/4
}

// JSON returns a function that takes the next piece of a JSON text and returns the weight of the text so far: the
// number of elements in its arrays times element, the bytes that a decoded element takes. It doesn't check the
// text. Objects are decoded into structs, so that their members take no memory of their own.
func JSON(element int64) func(p []byte) int64 {
	s := &scanner{}
	return func(p []byte) int64 {
		s.scan(p)
		return s.elements * element
	}
}

// scanner counts the elements of arrays in a JSON text.
type scanner struct {
	elements int64
	inString bool
	escaped  bool
	depth    int
	arrays   [maxDepth/64 + 1]uint64 // a bit for each depth, set for an array
}

func (s *scanner) scan(p []byte) {
	for _, c := range p {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString:
			s.escaped, s.inString = c == '\\', c != '"'
		default:
			s.token(c)
		}
	}
}

// token handles a character outside of strings. An empty array counts as one with an element.
func (s *scanner) token(c byte) {
	switch c {
	case '"':
		s.inString = true
	case '[':
		s.elements++
		s.open(true)
	case '{':
		s.open(false)
	case ']', '}':
		s.depth = max(s.depth-1, 0)
	case ',':
		if s.inArray() {
			s.elements++
		}
	}
}

func (s *scanner) open(array bool) {
	s.depth++
	if s.depth > maxDepth {
		return
	}
	word, bit := s.depth/64, uint64(1)<<(s.depth%64)
	s.arrays[word] &^= bit
	if array {
		s.arrays[word] |= bit
	}
}

// inArray reports whether the innermost open value is an array. Deeper than maxDepth it is taken for one.
func (s *scanner) inArray() bool {
	return s.depth > maxDepth || s.arrays[s.depth/64]>>(s.depth%64)&1 == 1
}
