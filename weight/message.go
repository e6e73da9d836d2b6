package weight

import (
	"math"
	"reflect"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// plainStructs is how often an element of a message is held: in the generated message and in the struct into
	// which it is converted.
	plainStructs = 2

	word   = 8        // bytes of a pointer or a number
	header = 3 * word // bytes of a slice
)

// Schema is what is known of a message before it arrives: what its fields take once they are decoded.
type Schema struct {
	size   int64 // bytes of the struct
	fields map[protoreflect.FieldNumber]field
}

// field is a field of a message.
type field struct {
	weight  int64   // bytes of one occurrence, beside its content
	perByte int64   // bytes for each byte of its content
	message *Schema // nil unless it holds a message
}

// SchemaOf returns the schema of a generated message.
func SchemaOf(m proto.Message) *Schema {
	return schemaOf(m.ProtoReflect().Descriptor(), map[protoreflect.FullName]*Schema{})
}

func schemaOf(d protoreflect.MessageDescriptor, known map[protoreflect.FullName]*Schema) *Schema {
	if s, ok := known[d.FullName()]; ok {
		return s
	}
	s := &Schema{size: structSize(d), fields: map[protoreflect.FieldNumber]field{}}
	known[d.FullName()] = s
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		s.fields[f.Number()] = fieldOf(f, known)
	}
	return s
}

// structSize returns the size of the generated struct, or of a large one if there is none.
func structSize(d protoreflect.MessageDescriptor) int64 {
	const unknown = 512
	t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	if err != nil {
		return unknown
	}
	return int64(reflect.TypeOf(t.Zero().Interface()).Elem().Size())
}

func fieldOf(d protoreflect.FieldDescriptor, known map[protoreflect.FullName]*Schema) field {
	switch d.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		m := schemaOf(d.Message(), known)
		return field{message: m, weight: plainStructs * (m.size + grown(word))}
	case protoreflect.StringKind, protoreflect.BytesKind:
		return field{weight: plainStructs * grown(header)}
	default:
		// A number takes at least a byte; as a packed list it has no tag.
		return field{weight: plainStructs * grown(word), perByte: plainStructs * grown(word)}
	}
}

// Message returns a function that takes the next piece of an encoded message and returns the weight of the message so
// far. It doesn't check the encoding.
func Message(s *Schema) func(p []byte) int64 {
	m := &parser{open: []span{{schema: s, end: math.MaxInt64}}}
	return func(p []byte) int64 {
		m.parse(p)
		return m.weight
	}
}

// span is a message within the message.
type span struct {
	schema *Schema
	end    int64 // position after it
}

// parser follows the fields of an encoded message.
type parser struct {
	weight int64
	open   []span // from the outermost to the one that is being read

	at    int64 // position
	skip  int64 // bytes to skip
	value uint64
	shift uint
	next  func(m *parser, v uint64) // handles the number that is being read, nil for the tag of a field
	field field
	known bool
}

// Wire types of the encoding.
const (
	wireNumber = 0
	wire64     = 1
	wireLength = 2
	wire32     = 5
)

const moreBit = 0x80 // of a byte of a number

func (m *parser) parse(p []byte) {
	for len(p) > 0 {
		if m.skip > 0 {
			n := min(m.skip, int64(len(p)))
			p, m.skip, m.at = p[n:], m.skip-n, m.at+n
			continue
		}
		for len(m.open) > 1 && m.at >= m.open[len(m.open)-1].end {
			m.open = m.open[:len(m.open)-1]
		}
		b := p[0]
		p, m.at = p[1:], m.at+1
		m.value |= uint64(b&^moreBit) << m.shift
		if m.shift += 7; b >= moreBit && m.shift < 64 {
			continue
		}
		v, handle := m.value, m.next
		m.value, m.shift, m.next = 0, 0, nil
		if handle == nil {
			handle = (*parser).tag
		}
		handle(m, v)
	}
}

// tag begins a field.
func (m *parser) tag(v uint64) {
	const typeBits = 3
	m.field, m.known = m.open[len(m.open)-1].schema.fields[protoreflect.FieldNumber(min(v>>typeBits, math.MaxInt32))]
	if m.weight += m.field.weight; !m.known {
		m.weight += grown(word) // the message keeps unknown fields
	}
	switch v & (1<<typeBits - 1) {
	case wireNumber:
		m.next = func(*parser, uint64) {}
	case wire64:
		m.skip = 8
	case wire32:
		m.skip = 4
	case wireLength:
		m.next = (*parser).length
	}
}

// length begins the content of a field that has a length.
func (m *parser) length(v uint64) {
	n := int64(min(v, math.MaxInt32))
	switch {
	case m.known && m.field.message != nil:
		end := min(m.at+n, m.open[len(m.open)-1].end)
		m.open = append(m.open, span{schema: m.field.message, end: end})
		return
	case !m.known:
		m.weight += grown(n)
	default:
		m.weight += m.field.perByte * n
	}
	m.skip = n
}
