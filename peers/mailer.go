package peers

import (
	"errors"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Mailer sends messages on behalf of one service.
type Mailer struct {
	host string // on which the service runs
	find func(name string) (kernel.Ref, error)
	open func(host string) error
	refs map[string]kernel.Ref
}

// MailerOption changes a mailer under construction.
type MailerOption func(*Mailer)

// WithOpen sets the function that opens the links to a host without links. By
// default, Send refuses messages to such a host.
func WithOpen(open func(host string) error) MailerOption {
	return func(m *Mailer) { m.open = open }
}

// NewMailer returns a mailer for a service of the named host.
func NewMailer(host string, find func(name string) (kernel.Ref, error), opts ...MailerOption) *Mailer {
	m := &Mailer{host: host, find: find, refs: map[string]kernel.Ref{}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Send sends a message to a service of a host, which may be this host. It returns a
// kernel.FullError when the mailbox of the receiver or of the link to it is full, a
// kernel.GoneError when that service has stopped, and a kernel.UnknownError when the
// host or service is unknown. On an error the message was not accepted.
func (m *Mailer) Send(to, service string, body any) error {
	if to == m.host {
		return m.post(service, body, body)
	}
	name := linkName(to, msgs.Ephemeral(body))
	err := m.post(name, body, outgoing{service: service, body: body})
	var unknown *kernel.UnknownError
	if m.open == nil || !errors.As(err, &unknown) {
		return err
	}
	if err := m.open(to); err != nil {
		return err
	}
	return m.post(name, body, outgoing{service: service, body: body})
}

func (m *Mailer) post(name string, body, msg any) error {
	ref, err := m.lookup(name)
	if err != nil {
		return err
	}
	if msgs.StartsExchange(body) {
		return ref.Offer(msg)
	}
	if !ref.Reply(msg) {
		return &kernel.GoneError{Service: name}
	}
	return nil
}

func (m *Mailer) lookup(name string) (kernel.Ref, error) {
	if ref, ok := m.refs[name]; ok {
		return ref, nil
	}
	ref, err := m.find(name)
	if err != nil {
		return kernel.Ref{}, err
	}
	m.refs[name] = ref
	return ref, nil
}

func linkName(host string, ephemeral bool) string {
	if ephemeral {
		return "link/" + host + "/ephemeral"
	}
	return "link/" + host
}
