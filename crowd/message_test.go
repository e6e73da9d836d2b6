package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"dogwoodrock.example/dogwoodrock/wire"
)

// TestLongMessages guards against a host that keeps the long names which messages of all types bring.
func TestLongMessages(t *testing.T) {
	skipUnlessMeasurable(t)
	t.Run("entry host", func(t *testing.T) {
		s := startSized(t, leastCoreMB, leastEntryMB)
		stop := make(chan struct{})
		entry := s.entry.watch(stop)
		deliverLong(t, s.entryIP, "entry")
		deliverLong(t, s.entryIP, "placer")
		waitUntil(t, "a complete job", s.submit)
		close(stop)
		checkMemory(t, "entry", s.entry, <-entry, leastEntryMB)
	})
	t.Run("core host", func(t *testing.T) {
		s := startSized(t, leastCoreMB, leastEntryMB)
		stop := make(chan struct{})
		core := s.core.watch(stop)
		deliverLong(t, s.coreIP, "core")
		waitUntil(t, "the acknowledgement of a configuration", func() bool { return s.put(5) })
		close(stop)
		checkMemory(t, "core", s.core, <-core, leastCoreMB)
	})
}

// deliverLong sends messages of each type with long strings in all their fields to a service of a host.
func deliverLong(t *testing.T, ip, service string) {
	t.Helper()
	const each, size = 30, 300_000
	types := (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("Body").Fields()
	for i := range types.Len() {
		for k := range each {
			e := &wire.Envelope{Service: service}
			fillStrings(e.ProtoReflect().Mutable(types.Get(i)).Message(), fmt.Sprintf("%d-%s", k, strings.Repeat("x", size)), 0)
			data, err := proto.Marshal(&wire.Batch{From: "127.9.9.9", Incarnation: 7, Envelopes: []*wire.Envelope{e}})
			if err != nil {
				t.Fatal(err)
			}
			a, err := http.Post("http://"+at(ip, peerPort)+deliver, "application/protobuf", bytes.NewReader(data))
			if err == nil {
				_ = a.Body.Close()
			}
		}
	}
}

// fillStrings sets the strings of a message and of those in it to text, and its numbers to 1.
func fillStrings(m protoreflect.Message, text string, depth int) {
	const deepest = 3
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.Kind() == protoreflect.StringKind && f.IsList():
			m.Mutable(f).List().Append(protoreflect.ValueOfString(text))
		case f.Kind() == protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString(text))
		case f.Kind() == protoreflect.MessageKind && depth < deepest && f.IsList():
			fillStrings(m.Mutable(f).List().AppendMutable().Message(), text, depth+1)
		case f.Kind() == protoreflect.MessageKind && depth < deepest:
			fillStrings(m.Mutable(f).Message(), text, depth+1)
		case f.IsList():
		case f.Kind() == protoreflect.Uint64Kind:
			m.Set(f, protoreflect.ValueOfUint64(1))
		case f.Kind() == protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(1))
		}
	}
}
