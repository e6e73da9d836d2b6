package codec

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/wire"
)

// fill sets every exported field below v to a value other than its zero value.
func fill(v reflect.Value, r *rand.Rand) {
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(0, 1+r.Int64N(1<<40))))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), r)
		}
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), r)
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), r)
		fill(v.Index(1), r)
	case v.Kind() == reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), r)
		}
	case v.Kind() == reflect.String:
		v.SetString("s" + time.Duration(r.Int64N(1000)).String())
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(1 + r.Int64N(100))
	case v.CanUint():
		v.SetUint(1 + r.Uint64N(100))
	case v.CanFloat():
		v.SetFloat(1 + r.Float64())
	}
}

// TestMessageRoundTrip encodes and decodes every message with all fields set, to detect fields that
// the schema lacks and wrong conversions.
func TestMessageRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for plain := range byPlain {
		t.Run(plain.Name(), func(t *testing.T) {
			want := reflect.New(plain)
			fill(want.Elem(), r)
			e, err := ToWire("jobs", want.Elem().Interface())
			if err != nil {
				t.Fatal(err)
			}
			data, err := proto.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			var decoded wire.Envelope
			if err := proto.Unmarshal(data, &decoded); err != nil {
				t.Fatal(err)
			}
			got, err := FromWire(&decoded)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want.Elem().Interface()) {
				t.Fatalf("got %+v, want %+v", got, want.Elem().Interface())
			}
		})
	}
}

func TestUnknownBody(t *testing.T) {
	var bad *BodyError
	if _, err := ToWire("jobs", 7); !errors.As(err, &bad) {
		t.Fatalf("ToWire: %v", err)
	}
	if _, err := FromWire(&wire.Envelope{}); !errors.As(err, &bad) {
		t.Fatalf("FromWire: %v", err)
	}
}

func BenchmarkGrant(b *testing.B) {
	for plain := range byPlain {
		if plain.Name() != "Grant" {
			continue
		}
		v := reflect.New(plain).Elem()
		fill(v, rand.New(rand.NewPCG(1, 2)))
		for b.Loop() {
			e, _ := ToWire("jobs", v.Interface())
			_, _ = FromWire(e)
		}
	}
}
