package codec

import (
	"fmt"
	"reflect"
)

// ConversionError reports that type From can't be converted to type To. Field is
// the field that To lacks, or empty if the types themselves don't match.
type ConversionError struct {
	From  string
	To    string
	Field string
}

// Error returns the message for logs.
func (e *ConversionError) Error() string {
	return fmt.Sprintf("cannot translate field %q of %s to %s", e.Field, e.From, e.To)
}

// converter converts src and stores the result in dst, for one pair of types.
type converter func(dst, src reflect.Value)

// converterFor returns the converter for a pair of types. It panics with a
// ConversionError, since the schema and the structs are fixed when the program is
// built.
func converterFor(dst, src reflect.Type) converter {
	switch {
	case dst.Kind() == reflect.Pointer || src.Kind() == reflect.Pointer:
		return anyPointerConverter(dst, src)
	case dst == timeType || src == timeType:
		return timeConverter(dst, src)
	case dst.Kind() == reflect.Array || src.Kind() == reflect.Array:
		return convertArray
	case isBytes(dst) && isBytes(src):
		return convertDirect
	case isCompound(dst) || isCompound(src):
		return compoundConverter(dst, src)
	case src.ConvertibleTo(dst):
		return convertDirect
	}
	panic(&ConversionError{From: src.String(), To: dst.String()})
}

func isCompound(t reflect.Type) bool {
	return t.Kind() == reflect.Slice || t.Kind() == reflect.Struct
}

func compoundConverter(dst, src reflect.Type) converter {
	switch {
	case dst.Kind() == reflect.Slice && src.Kind() == reflect.Slice:
		return sliceConverter(dst, src)
	case dst.Kind() == reflect.Struct && src.Kind() == reflect.Struct:
		return structConverter(dst, src)
	case dst.Kind() == reflect.Struct && src.Kind() == reflect.Slice:
		return listToStructConverter(dst, src)
	case dst.Kind() == reflect.Slice && src.Kind() == reflect.Struct:
		return structToListConverter(dst, src)
	}
	panic(&ConversionError{From: src.String(), To: dst.String()})
}

func anyPointerConverter(dst, src reflect.Type) converter {
	switch {
	case dst.Kind() != reflect.Pointer:
		return fromPointerConverter(dst, src)
	case src.Kind() != reflect.Pointer:
		return toPointerConverter(dst, src)
	default:
		return pointerConverter(dst, src)
	}
}

func structConverter(dst, src reflect.Type) converter {
	type step struct {
		dst, src int
		convert  converter
	}
	var steps []step
	for i := range src.NumField() {
		f := src.Field(i)
		if !f.IsExported() {
			continue
		}
		g, ok := dst.FieldByName(f.Name)
		if !ok {
			panic(&ConversionError{From: src.String(), To: dst.String(), Field: f.Name})
		}
		steps = append(steps, step{dst: g.Index[0], src: i, convert: converterFor(g.Type, f.Type)})
	}
	return func(d, s reflect.Value) {
		for _, st := range steps {
			st.convert(d.Field(st.dst), s.Field(st.src))
		}
	}
}
