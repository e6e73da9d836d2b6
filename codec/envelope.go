package codec

import (
	"fmt"
	"reflect"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/wire"
)

// BodyError reports a message type that the schema's Envelope doesn't include.
type BodyError struct {
	Type string
}

// Error returns the message for logs.
func (e *BodyError) Error() string {
	return fmt.Sprintf("message %s is not part of the schema", e.Type)
}

// variant maps a plain struct to its variant of the oneof in the schema's Envelope.
type variant struct {
	plain   reflect.Type
	wrapper reflect.Type // the generated oneof wrapper, a struct with one field
	body    reflect.Type // the generated message
	encode  converter
	decode  converter
	longest longest // nil if the message holds no strings
}

// bodyField is the index of the oneof field in the generated Envelope.
var bodyField = envelopeBody()

func envelopeBody() int {
	f, _ := reflect.TypeFor[wire.Envelope]().FieldByName("Body")
	return f.Index[0]
}

var (
	byPlain   = map[reflect.Type]variant{}
	byWrapper = map[reflect.Type]variant{}
)

// register adds the message P with its oneof wrapper H.
func register[P, H any]() {
	wrapper := reflect.TypeFor[H]()
	v := variant{
		plain:   reflect.TypeFor[P](),
		wrapper: wrapper,
		body:    wrapper.Field(0).Type.Elem(),
	}
	v.encode = converterFor(v.body, v.plain)
	v.decode = converterFor(v.plain, v.body)
	v.longest = longestFor(v.body)
	byPlain[v.plain] = v
	byWrapper[reflect.PointerTo(wrapper)] = v
}

func init() {
	register[msgs.Ask, wire.Envelope_Ask]()
	register[msgs.Verdict, wire.Envelope_Verdict]()
	register[msgs.Grant, wire.Envelope_Grant]()
	register[msgs.Done, wire.Envelope_Done]()
	register[msgs.Finish, wire.Envelope_Finish]()
	register[msgs.Finished, wire.Envelope_Finished]()
	register[msgs.Renew, wire.Envelope_Renew]()
	register[msgs.Lease, wire.Envelope_Lease]()
	register[msgs.Drop, wire.Envelope_Drop]()
	register[msgs.Fetch, wire.Envelope_Fetch]()
	register[msgs.Fetched, wire.Envelope_Fetched]()
	register[msgs.Relay, wire.Envelope_Relay]()
	register[msgs.Recall, wire.Envelope_Recall]()
	register[msgs.Relayed, wire.Envelope_Relayed]()
	register[msgs.CancelAsk, wire.Envelope_CancelAsk]()
	register[msgs.CancelDone, wire.Envelope_CancelDone]()
	register[msgs.RevokeJob, wire.Envelope_RevokeJob]()
	register[msgs.BackendAnnounce, wire.Envelope_BackendAnnounce]()
	register[msgs.BackendLeave, wire.Envelope_BackendLeave]()
	register[msgs.SessionAsk, wire.Envelope_SessionAsk]()
	register[msgs.SessionDone, wire.Envelope_SessionDone]()
	register[msgs.Hello, wire.Envelope_Hello]()
	register[quorum.Message, wire.Envelope_Replica]()
	register[msgs.ListsAsk, wire.Envelope_ListsAsk]()
	register[msgs.ListsDone, wire.Envelope_ListsDone]()
	register[msgs.ListsUpdate, wire.Envelope_ListsUpdate]()
	register[msgs.UsageAsk, wire.Envelope_UsageAsk]()
	register[msgs.UsageDone, wire.Envelope_UsageDone]()
	register[msgs.StatusAsk, wire.Envelope_StatusAsk]()
	register[msgs.StatusDone, wire.Envelope_StatusDone]()
	register[msgs.HostLeave, wire.Envelope_HostLeave]()
	register[msgs.LoanAsk, wire.Envelope_LoanAsk]()
	register[msgs.LoanDone, wire.Envelope_LoanDone]()
	register[msgs.LoanReturn, wire.Envelope_LoanReturn]()
	register[msgs.Load, wire.Envelope_Load]()
	register[msgs.Learned, wire.Envelope_Learned]()
	register[msgs.JobRefused, wire.Envelope_JobRefused]()
}

// ToWire converts a message for a service to an envelope. It returns a BodyError if
// the schema doesn't include the message.
func ToWire(service string, body any) (*wire.Envelope, error) {
	v, ok := byPlain[reflect.TypeOf(body)]
	if !ok {
		return nil, &BodyError{Type: fmt.Sprintf("%T", body)}
	}
	msg := reflect.New(v.body)
	v.encode(msg.Elem(), reflect.ValueOf(body))
	wrapper := reflect.New(v.wrapper)
	wrapper.Elem().Field(0).Set(msg)
	e := &wire.Envelope{Service: service}
	reflect.ValueOf(e).Elem().Field(bodyField).Set(wrapper)
	return e, nil
}

// FromWire converts the body of an envelope to its plain struct. It returns a
// BodyError if the envelope has no known body.
func FromWire(e *wire.Envelope) (any, error) {
	v, ok := byWrapper[reflect.TypeOf(e.GetBody())]
	if !ok {
		return nil, &BodyError{Type: fmt.Sprintf("%T", e.GetBody())}
	}
	body := reflect.ValueOf(e.GetBody()).Elem().Field(0)
	if body.IsNil() {
		return nil, &BodyError{Type: fmt.Sprintf("%T without content", e.GetBody())}
	}
	if v.longest != nil {
		if n := v.longest(body.Elem()); n > maxText {
			return nil, &TextError{Type: v.plain.Name(), Bytes: n}
		}
	}
	plain := reflect.New(v.plain)
	v.decode(plain.Elem(), body.Elem())
	return plain.Elem().Interface(), nil
}
