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

// Offer hands over a request without waiting. It returns a FullError when the
// mailbox is full and a GoneError when the service has stopped; the message was
// then not taken.
func (r Ref) Offer(msg any) error {
	return r.box.offer(msg)
}

// Wait hands over a request and waits for space. It returns the context's error
// or a GoneError; the message was then not taken.
func (r Ref) Wait(ctx context.Context, msg any) error {
	return r.box.wait(ctx, msg)
}

// Reply hands over the answer to a request of the receiver, which is always
// taken. It returns false when the receiver has stopped.
func (r Ref) Reply(msg any) bool {
	return r.box.reply(msg)
}

// Load returns the number of requests that wait in the mailbox.
func (r Ref) Load() int {
	r.box.mu.Lock()
	defer r.box.mu.Unlock()
	return r.box.requests.Len()
}

// Ask offers a request and waits for its answer. The request carries the reply
// function that build receives. It returns the errors of Offer, or the error of
// the context once that has ended.
func Ask[A any](ctx context.Context, r Ref, build func(reply func(A)) any) (A, error) {
	answers := make(chan A, 1)
	reply := func(a A) {
		select {
		case answers <- a:
		default:
		}
	}
	var none A
	if err := r.Offer(build(reply)); err != nil {
		return none, err
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-r.box.done:
	}
	select {
	case a := <-answers:
		return a, nil
	default:
		return none, &GoneError{Service: r.Name()}
	}
}
