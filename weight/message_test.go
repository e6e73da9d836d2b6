package weight

import (
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/wire"
)

var batch = SchemaOf(&wire.Batch{})

// encoded returns the encoding of a batch.
func encoded(t testing.TB, b *wire.Batch) []byte {
	t.Helper()
	data, err := proto.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func envelope(body any) *wire.Envelope {
	switch m := body.(type) {
	case *wire.HostRenewed:
		return &wire.Envelope{Body: &wire.Envelope_HostRenewed{HostRenewed: m}}
	case *wire.Renew:
		return &wire.Envelope{Body: &wire.Envelope_Renew{Renew: m}}
	case *wire.Replica:
		return &wire.Envelope{Body: &wire.Envelope_Replica{Replica: m}}
	default:
		return &wire.Envelope{}
	}
}

func repeated[T any](n int, v T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}

// TestMessage guards against messages that weigh less than they take once they are decoded, and against ordinary
// content weighing much.
func TestMessage(t *testing.T) {
	const n = 20_000
	routes := &wire.RoutesText{Source: []byte(strings.Repeat("x", 1<<20))}
	tests := map[string]struct {
		batch *wire.Batch
		most  int64 // that it may weigh, 0 for any weight
	}{
		"empty envelopes": {batch: &wire.Batch{Envelopes: repeated(n, envelope(nil))}},
		"empty elements":  {batch: &wire.Batch{Envelopes: []*wire.Envelope{envelope(&wire.Renew{Outstanding: repeated(n, &wire.Grant{})})}}},
		"empty strings":   {batch: &wire.Batch{Envelopes: []*wire.Envelope{envelope(&wire.HostRenewed{Members: repeated(n, "")})}}},
		"packed numbers":  {batch: &wire.Batch{Envelopes: []*wire.Envelope{envelope(&wire.Replica{Incarnations: repeated(n, uint64(1))})}}},
		"a configuration": {batch: &wire.Batch{Envelopes: []*wire.Envelope{envelope(&wire.HostRenewed{Routes: routes})}}, most: 10_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			data := encoded(t, tt.batch)
			whole := Message(batch)(data)
			weigh, pieces := Message(batch), int64(0)
			for _, b := range data[:min(len(data), 100_000)] {
				pieces = weigh([]byte{b})
			}
			if len(data) <= 100_000 && pieces != whole {
				t.Errorf("the message weighs %d, in pieces %d", whole, pieces)
			}
			if takes := decodedBytes(t, data) - int64(len(data)); tt.most == 0 && whole < takes {
				t.Errorf("the message weighs %d and takes %d beside its bytes", whole, takes)
			}
			if tt.most > 0 && whole > tt.most {
				t.Errorf("the message weighs %d, want at most %d", whole, tt.most)
			}
		})
	}
}

// decodedBytes returns the memory that a decoded batch occupies.
func decodedBytes(t *testing.T, data []byte) int64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var b wire.Batch
	if err := proto.Unmarshal(data, &b); err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(&b)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// FuzzMessage guards against bytes that end the process, or that weigh less than nothing.
func FuzzMessage(f *testing.F) {
	f.Add(encoded(f, &wire.Batch{From: "h", Envelopes: []*wire.Envelope{envelope(&wire.Renew{Outstanding: repeated(3, &wire.Grant{Job: "j"})})}}), 3)
	f.Add([]byte("\x2a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x2a\x00"), 1)
	f.Add([]byte("\xf8\x07\x00\xfb\x07\xff"), 2)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		whole := Message(batch)(data)
		weigh, got := Message(batch), int64(0)
		for rest := data; len(rest) > 0; {
			n := min(max(piece, 1), len(rest))
			got = weigh(rest[:n])
			rest = rest[n:]
		}
		if got != whole || got < 0 {
			t.Fatalf("%q weighs %d, in pieces of %d bytes %d", data, whole, piece, got)
		}
	})
}
