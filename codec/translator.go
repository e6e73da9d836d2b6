package codec

import "reflect"

// Translator returns the translation from S to D, field by field of the same
// name. It panics with a PlanError when D lacks a field of S, so it is made
// when the program starts.
func Translator[D, S any]() func(src *S) *D {
	m := converterFor(reflect.TypeFor[D](), reflect.TypeFor[S]())
	return func(src *S) *D {
		dst := new(D)
		m(reflect.ValueOf(dst).Elem(), reflect.ValueOf(src).Elem())
		return dst
	}
}
