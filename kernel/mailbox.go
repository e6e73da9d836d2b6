package kernel

import (
	"context"
	"sync"
)

// mailbox queues the messages of one service until its task handles them.
type mailbox struct {
	service string
	depth   int
	ready   chan struct{} // signals that a message may be waiting
	space   chan struct{} // signals that a request may fit
	done    chan struct{} // closed once the mailbox accepts no more messages

	mu       sync.Mutex
	requests Queue[any]
	replies  Queue[any]
	closed   bool
}

func newMailbox(service string, depth int) *mailbox {
	return &mailbox{
		service: service,
		depth:   depth,
		ready:   make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

func (b *mailbox) offer(msg any) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return &GoneError{Service: b.service}
	}
	if b.requests.Len() >= b.depth {
		return &FullError{Service: b.service, Depth: b.depth}
	}
	b.requests.Push(msg)
	signal(b.ready)
	if b.requests.Len() < b.depth {
		signal(b.space)
	}
	return nil
}

func (b *mailbox) wait(ctx context.Context, msg any) error {
	for {
		err := b.offer(msg)
		if _, full := err.(*FullError); !full {
			return err
		}
		select {
		case <-b.space:
		case <-b.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *mailbox) reply(msg any) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.replies.Push(msg)
	signal(b.ready)
	return true
}

// take removes and returns the next message. Replies go before requests, because
// they free resources that a request would have to wait for.
func (b *mailbox) take() (any, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if msg, ok := b.replies.Pop(); ok {
		return msg, true
	}
	msg, ok := b.requests.Pop()
	if ok {
		signal(b.space)
	}
	return msg, ok
}

// closeIfEmpty closes the mailbox for further messages and returns true if it is
// empty. Otherwise it stays open, so that no message is lost.
func (b *mailbox) closeIfEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests.Len()+b.replies.Len() > 0 {
		return false
	}
	if !b.closed {
		b.closed = true
		close(b.done)
	}
	return true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
