package intake

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// byteWeight weighs a body like its bytes.
func byteWeight() func(p []byte) int64 {
	total := int64(0)
	return func(p []byte) int64 {
		total += int64(len(p))
		return total
	}
}

// TestContent guards against bodies whose decoded contents take more than they may, and against refusing one that
// has to wait for others.
func TestContent(t *testing.T) {
	const size = 100_000
	tests := map[string]struct {
		contents int64
		requests []string
		status   int
		reason   Reason
	}{
		"small enough":           {contents: size, requests: []string{announced(size, size)}, status: http.StatusOK},
		"small enough, chunked":  {contents: size, requests: []string{chunked(size, 1000, true)}, status: http.StatusOK},
		"too large":              {contents: size - 1, requests: []string{announced(size, size)}, status: http.StatusServiceUnavailable, reason: Content},
		"too large, not the end": {contents: size / 2, requests: []string{announced(size, size-1000)}, status: http.StatusServiceUnavailable, reason: Content},
		"too large, chunked":     {contents: size - 1, requests: []string{chunked(size, 1000, true)}, status: http.StatusServiceUnavailable, reason: Content},
		"many, one after the other": {
			contents: size, requests: repeated(10, announced(size, size)), status: http.StatusOK,
		},
		"a small body isn't weighed": {contents: 1, requests: []string{announced(smallBody, smallBody)}, status: http.StatusOK},
	}
	for name, tt := range tests {
		for _, wrapped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, wrapped %v", name, wrapped), func(t *testing.T) {
				limits := Limits{Conns: 20, BodyBytes: 2 * size, AllBodies: 100 * size, Contents: tt.contents}
				s := startServer(t, limits, wrapped, WithWeight(byteWeight))
				for _, request := range tt.requests {
					c := s.open(t, request)
					defer func() {
						if status, text, _ := response(c); status != tt.status || tt.reason != None && text != tt.reason.String() {
							t.Errorf("%d %q, want %d and %v", status, text, tt.status, tt.reason)
						}
					}()
				}
			})
		}
	}
}

func repeated(n int, text string) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = text
	}
	return list
}

// TestContentReleased guards against a content that stays charged, so that later ones wait for ever.
func TestContentReleased(t *testing.T) {
	const size = 100_000
	g := New(Limits{Contents: size}, nil)
	k := kernel.New()
	waiting := make(chan struct{})
	err := k.Register(kernel.Service{Name: "gate", Depth: 10, Start: func(t *kernel.Task) error {
		g.task = t.Self
		return nil
	}, Handle: func(t *kernel.Task, msg any) {
		g.Handle(msg, t.Env.Now())
		if _, ok := msg.(shortage); ok {
			close(waiting)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer k.Stop(context.Background())
	first, second := &conn{gate: g}, &conn{gate: g}
	if !g.chargeContent(t.Context(), first, size) {
		t.Fatal("the first content isn't charged")
	}
	charged := make(chan bool)
	go func() { charged <- g.chargeContent(t.Context(), second, size) }()
	<-waiting
	body := Body{gate: g, conn: first}
	body.Decoded()
	if !<-charged {
		t.Error("the second content isn't charged once the first one is decoded")
	}
	body.Release()
	(&Body{gate: g, conn: second}).Release()
	if left := g.content.Load(); left != 0 {
		t.Errorf("%d bytes stay charged", left)
	}
}
