package codec

import "reflect"

// Translator returns a function that converts an S to a D by field name. It panics
// with a ConversionError if D lacks a field of S or has it with another type, so
// call it when the program starts.
func Translator[D, S any]() func(src *S) *D {
	convert := converterFor(reflect.TypeFor[D](), reflect.TypeFor[S]())
	return func(src *S) *D {
		dst := new(D)
		convert(reflect.ValueOf(dst).Elem(), reflect.ValueOf(src).Elem())
		return dst
	}
}
