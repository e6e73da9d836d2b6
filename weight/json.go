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

// JSON returns a function that takes the next piece of a JSON text and returns the weight of the text so far: the bytes
// that the elements of its arrays take once they are decoded, outer for one of an outermost array and inner for one of
// an array within another. It doesn't check the text. Objects are decoded into structs, so that their members take no
// memory of their own.
func JSON(outer, inner int64) func(p []byte) int64 {
	s := &scanner{outer: outer, inner: inner}
	return func(p []byte) int64 {
		s.scan(p)
		return s.weight
	}
}

// scanner follows the arrays of a JSON text.
type scanner struct {
	outer, inner int64
	weight       int64

	inString bool
	escaped  bool
	depth    int                     // of open values
	arrays   int                     // open arrays among them
	isArray  [maxDepth/64 + 1]uint64 // a bit for each depth
}

func (s *scanner) scan(p []byte) {
	for len(p) > 0 {
		switch {
		case s.escaped:
			s.escaped, p = false, p[1:]
		case s.inString:
			p = s.text(p)
		default:
			s.token(p[0])
			p = p[1:]
		}
	}
}

// text skips the characters of a string up to its end or to a backslash, and returns what follows.
func (s *scanner) text(p []byte) []byte {
	for i, c := range p {
		switch c {
		case '"':
			s.inString = false
			return p[i+1:]
		case '\\':
			s.escaped = true
			return p[i+1:]
		}
	}
	return nil
}

// token handles a character outside of strings. An empty array counts as one with an element.
func (s *scanner) token(c byte) {
	switch c {
	case '"':
		s.inString = true
	case '[':
		s.open(true)
		s.element()
	case '{':
		s.open(false)
	case ']', '}':
		s.close()
	case ',':
		if s.inArray() {
			s.element()
		}
	}
}

// element counts an element of the innermost array.
func (s *scanner) element() {
	if s.arrays <= 1 {
		s.weight += s.outer
		return
	}
	s.weight += s.inner
}

func (s *scanner) open(array bool) {
	if array {
		s.arrays++
	}
	if s.depth++; s.depth > maxDepth {
		return
	}
	word, bit := s.depth/64, uint64(1)<<(s.depth%64)
	s.isArray[word] &^= bit
	if array {
		s.isArray[word] |= bit
	}
}

func (s *scanner) close() {
	if s.inArray() && s.arrays > 0 {
		s.arrays--
	}
	s.depth = max(s.depth-1, 0)
}

// inArray reports whether the innermost open value is an array. Deeper than maxDepth it is taken for one.
func (s *scanner) inArray() bool {
	return s.depth > maxDepth || s.isArray[s.depth/64]>>(s.depth%64)&1 == 1
}
