package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/kernel/memnet"
)

func TestDrained(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		after time.Duration
		front listenerCloser
		open  []int64 // in turn, as often as it is asked for
		conns int64
		shut  bool // the listener is being closed or is closed
		want  bool
	}{
		"balancers haven't noticed":     {after: balancerNoticeTime - time.Millisecond, open: []int64{0, 0}},
		"a request is open":             {after: balancerNoticeTime, open: []int64{1}},
		"nothing is open":               {after: balancerNoticeTime, open: []int64{0}, shut: true},
		"the listener has closed":       {after: balancerNoticeTime, front: listenerCloser{closed: true}, open: []int64{0, 0}, shut: true, want: true},
		"a request came in between":     {after: balancerNoticeTime, front: listenerCloser{closed: true}, open: []int64{0, 1}, shut: true},
		"the last connections come":     {after: balancerNoticeTime, front: listenerCloser{closingAt: start}, open: []int64{1}, conns: 1, shut: true},
		"a caller keeps its connection": {after: 4 * time.Second, open: []int64{0, 0}, conns: 1},
		"it keeps it for too long":      {after: 4700 * time.Millisecond, front: listenerCloser{closed: true}, open: []int64{0, 0}, conns: 1, shut: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			asked := 0
			tt.front.listener, _ = memnet.New().Env("127.0.0.1", 1).Listen(t.Context(), "tcp", "127.0.0.1:1")
			h := &Host{Settings: Settings{Grace: 6 * time.Second}}
			h.stopBeganAt.Store(start.UnixNano())
			open := func() int64 {
				asked++
				return tt.open[asked-1]
			}
			if got := h.drained(start.Add(tt.after), &tt.front, open, tt.conns); got != tt.want || h.Closing() != tt.want {
				t.Fatalf("drained %v, closing %v, want %v", got, h.Closing(), tt.want)
			}
			if got := tt.front.closing(); got != tt.shut {
				t.Fatalf("the listener closes: %v, want %v", got, tt.shut)
			}
		})
	}
}

func TestCountConn(t *testing.T) {
	tests := map[string]struct {
		states []http.ConnState
		want   int64
	}{
		"kept":     {states: []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive, http.StateIdle}, want: 1},
		"closed":   {states: []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateClosed}},
		"not used": {states: []http.ConnState{http.StateNew, http.StateClosed}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int64
			for _, s := range tt.states {
				countConn(&conns, s)
			}
			if got := conns.Load(); got != tt.want {
				t.Fatalf("%d connections, want %d", got, tt.want)
			}
		})
	}
}

const (
	listeners = 24 // listeners that close
	dialers   = 4  // callers that open connections to each of them until it refuses them
)

// TestCloseCutsNoRequest closes listeners while callers open connections to them.
func TestCloseLosesNoRequest(t *testing.T) {
	answers := make(chan error)
	for range listeners {
		h, address := newCallers(t)
		stop := make(chan bool, dialers)
		for range dialers {
			go func() { answers <- callUntilRefused("http://"+address, stop) }()
		}
		for range dialers {
			<-stop // each has had an answer
		}
		h.stopBeganAt.Store(time.Now().Add(-h.Settings.Grace).UnixNano())
		go h.Kernel.Stop(context.Background())
	}
	for range listeners * dialers {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
}

// newCallers returns a host that takes callers at an address.
func newCallers(t *testing.T) (h *Host, address string) {
	env := kernel.SystemEnv()
	listen := env.Listen
	env.Listen = func(ctx context.Context, network, at string) (net.Listener, error) {
		l, err := listen(ctx, network, at)
		if err == nil {
			address = l.Addr().String() // that of the callers comes last
		}
		return l, err
	}
	h, err := New(Settings{Address: "127.0.0.1", PeerListen: "127.0.0.1:0", Grace: 6 * time.Second}, WithEnv(env))
	if err != nil {
		t.Fatal(err)
	}
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	err = h.Listen(Listener{Name: "callers", Address: "127.0.0.1:0", Callers: true, Handle: func(func(string) (kernel.Ref, error)) (http.Handler, error) { return ok, nil }})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h, address
}

// callUntilRefused sends requests over new connections. It returns the error of
// one that got no answer though its connection was taken.
func callUntilRefused(url string, answered chan<- bool) error {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		r, err := c.Post(url, "", strings.NewReader("{}"))
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return nil
		case err != nil:
			return err
		}
		_ = r.Body.Close()
		if n == 0 {
			answered <- true
		}
	}
}
