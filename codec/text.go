package codec

import (
	"fmt"
	"reflect"

	"dogwoodrock.example/dogwoodrock/wire"
)

// maxText is the size in bytes of the longest string in a message, but for the texts of lists. Names have up to 255
// bytes and specs of jobs 4,000. Services keep names, some for good.
const maxText = 16 << 10

// TextError reports a message with a string that is longer than one may be.
type TextError struct {
	Type  string
	Bytes int
}

// Error returns the type and the size.
func (e *TextError) Error() string {
	return fmt.Sprintf("message %s holds a string of %d bytes, more than %d", e.Type, e.Bytes, maxText)
}

// listTexts are the fields that hold the text of a list.
var listTexts = map[reflect.Type]string{
	reflect.TypeFor[wire.ListsAsk]():    "Text",
	reflect.TypeFor[wire.ListsDone]():   "Text",
	reflect.TypeFor[wire.ListContent](): "Content",
}

// longest returns the size of the longest string in a value.
type longest func(v reflect.Value) int

// longestFor returns the function for values of a generated type, nil if they hold no strings.
func longestFor(t reflect.Type) longest {
	switch t.Kind() {
	case reflect.String:
		return reflect.Value.Len
	case reflect.Pointer:
		return longestElem(t.Elem())
	case reflect.Slice:
		return longestItem(t.Elem())
	case reflect.Struct:
		return longestField(t)
	default:
		return nil
	}
}

func longestElem(t reflect.Type) longest {
	inner := longestFor(t)
	if inner == nil {
		return nil
	}
	return func(v reflect.Value) int {
		if v.IsNil() {
			return 0
		}
		return inner(v.Elem())
	}
}

func longestItem(t reflect.Type) longest {
	inner := longestFor(t)
	if inner == nil {
		return nil
	}
	return func(v reflect.Value) int {
		most := 0
		for i := range v.Len() {
			most = max(most, inner(v.Index(i)))
		}
		return most
	}
}

func longestField(t reflect.Type) longest {
	type step struct {
		field int
		inner longest
	}
	var steps []step
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() || listTexts[t] == f.Name {
			continue
		}
		if inner := longestFor(f.Type); inner != nil {
			steps = append(steps, step{field: i, inner: inner})
		}
	}
	if steps == nil {
		return nil
	}
	return func(v reflect.Value) int {
		most := 0
		for _, s := range steps {
			most = max(most, s.inner(v.Field(s.field)))
		}
		return most
	}
}
