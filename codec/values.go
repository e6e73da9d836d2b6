package codec

import (
	"reflect"
	"time"
)

var timeType = reflect.TypeFor[time.Time]()

func isBytes(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8
}

// convertDirect converts between types that Go itself can convert.
func convertDirect(dst, src reflect.Value) {
	if src.Type() == dst.Type() {
		dst.Set(src)
		return
	}
	dst.Set(src.Convert(dst.Type()))
}

// timeConverter represents the zero time as 0 and any other as Unix nanoseconds.
func timeConverter(dst, _ reflect.Type) converter {
	if dst == timeType {
		return func(d, s reflect.Value) {
			if n := s.Int(); n != 0 {
				d.Set(reflect.ValueOf(time.Unix(0, n)))
			}
		}
	}
	return func(d, s reflect.Value) {
		if t := s.Interface().(time.Time); !t.IsZero() {
			d.SetInt(t.UnixNano())
		}
	}
}

func pointerConverter(dst, src reflect.Type) converter {
	inner := converterFor(dst.Elem(), src.Elem())
	return func(d, s reflect.Value) {
		if s.IsNil() {
			return
		}
		v := reflect.New(dst.Elem())
		inner(v.Elem(), s.Elem())
		d.Set(v)
	}
}

func toPointerConverter(dst, src reflect.Type) converter {
	inner := converterFor(dst.Elem(), src)
	return func(d, s reflect.Value) {
		v := reflect.New(dst.Elem())
		inner(v.Elem(), s)
		d.Set(v)
	}
}

func fromPointerConverter(dst, src reflect.Type) converter {
	inner := converterFor(dst, src.Elem())
	return func(d, s reflect.Value) {
		if !s.IsNil() {
			inner(d, s.Elem())
		}
	}
}

func sliceConverter(dst, src reflect.Type) converter {
	inner := converterFor(dst.Elem(), src.Elem())
	return func(d, s reflect.Value) {
		if s.Len() == 0 {
			return
		}
		v := reflect.MakeSlice(dst, s.Len(), s.Len())
		for i := range s.Len() {
			inner(v.Index(i), s.Index(i))
		}
		d.Set(v)
	}
}

// convertArray copies between a byte array and a byte slice.
func convertArray(dst, src reflect.Value) {
	if dst.Kind() == reflect.Array {
		reflect.Copy(dst, src)
		return
	}
	b := make([]byte, src.Len())
	reflect.Copy(reflect.ValueOf(b), src)
	dst.SetBytes(b)
}

// listToStructConverter and structToListConverter convert a list inside a list to
// and from a message with the inner list as its only field, which the schema needs
// for nested lists.
func listToStructConverter(dst, src reflect.Type) converter {
	i := onlyField(dst)
	inner := converterFor(dst.Field(i).Type, src)
	return func(d, s reflect.Value) { inner(d.Field(i), s) }
}

func structToListConverter(dst, src reflect.Type) converter {
	i := onlyField(src)
	inner := converterFor(dst, src.Field(i).Type)
	return func(d, s reflect.Value) { inner(d, s.Field(i)) }
}

func onlyField(t reflect.Type) int {
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			return i
		}
	}
	panic(&ConversionError{From: t.String(), To: "a list"})
}
