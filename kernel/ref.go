package kernel

import "context"

// Ref addresses one service. It stays valid while the service restarts.
type Ref struct {
	box *mailbox
}

// Name returns the name of the service.
func (r Ref) Name() string {
	return r.box.service
}

// Offer sends a request without waiting. It returns a FullError if the mailbox is
// full and a GoneError if the service has stopped. On an error the message was not
// accepted.
func (r Ref) Offer(msg any) error {
	return r.box.offer(msg)
}

// Wait sends a request and waits for space in the mailbox. It returns the error of
// the context, or a GoneError if the service has stopped. On an error the message
// was not accepted.
func (r Ref) Wait(ctx context.Context, msg any) error {
	return r.box.wait(ctx, msg)
}

// Reply sends the reply to a request of the receiver. It never blocks and is
// accepted also when the mailbox is full. It returns false if the receiver has
// stopped.
func (r Ref) Reply(msg any) bool {
	return r.box.reply(msg)
}

// Load returns the number of requests queued in the mailbox.
func (r Ref) Load() int {
	r.box.mu.Lock()
	defer r.box.mu.Unlock()
	return r.box.requests.Len()
}

// Ask offers a request and waits for its reply. build returns the request and
// stores the reply function in it; only the first reply counts. Ask returns the
// errors of Offer, a GoneError if the service stops without a reply, or the error
// of the context.
func Ask[A any](ctx context.Context, r Ref, build func(reply func(A)) any) (A, error) {
	replies := make(chan A, 1)
	reply := func(a A) {
		select {
		case replies <- a:
		default:
		}
	}
	var none A
	if err := r.Offer(build(reply)); err != nil {
		return none, err
	}
	select {
	case a := <-replies:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-r.box.done:
	}
	select {
	case a := <-replies:
		return a, nil
	default:
		return none, &GoneError{Service: r.Name()}
	}
}
