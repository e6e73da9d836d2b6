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
		after   time.Duration
		closer  listenerCloser
		open    []int64 // open requests, one value per call
		conns   int64
		closing bool // whether the listener is closing or closed
		want    bool
	}{
		"balancers haven't noticed":              {after: balancerNoticeTime - time.Millisecond, open: []int64{0, 0}},
		"a request is open":                      {after: balancerNoticeTime, open: []int64{1}},
		"nothing is open":                        {after: balancerNoticeTime, open: []int64{0}, closing: true},
		"the listener has closed":                {after: balancerNoticeTime, closer: listenerCloser{closed: true}, open: []int64{0, 0}, closing: true, want: true},
		"a request arrived in between":           {after: balancerNoticeTime, closer: listenerCloser{closed: true}, open: []int64{0, 1}, closing: true},
		"the last connections arrive":            {after: balancerNoticeTime, closer: listenerCloser{closingAt: start}, open: []int64{1}, conns: 1, closing: true},
		"a caller keeps its connection":          {after: 4 * time.Second, open: []int64{0, 0}, conns: 1},
		"a caller keeps its connection too long": {after: 4700 * time.Millisecond, closer: listenerCloser{closed: true}, open: []int64{0, 0}, conns: 1, closing: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			calls := 0
			tt.closer.listener, _ = memnet.New().Env("127.0.0.1", 1).Listen(t.Context(), "tcp", "127.0.0.1:1")
			h := &Host{Settings: Settings{Grace: 6 * time.Second}}
			h.stopBeganAt.Store(start.UnixNano())
			open := func() int64 {
				calls++
				return tt.open[calls-1]
			}
			if got := h.drain(start.Add(tt.after), &tt.closer, open, tt.conns); got != tt.want || h.Closing() != tt.want {
				t.Fatalf("drained %v, closing %v, want %v", got, h.Closing(), tt.want)
			}
			if got := tt.closer.closing(); got != tt.closing {
				t.Fatalf("listener closing: %v, want %v", got, tt.closing)
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
	listeners = 24 // number of listeners to close
	dialers   = 4  // callers that connect to each of them until it refuses connections
)

// TestCloseLosesNoRequest checks that each connection that a closing listener accepts gets a response
// while callers keep opening connections to it.
func TestCloseLosesNoRequest(t *testing.T) {
	results := make(chan error)
	for range listeners {
		h, address := newCallerHost(t)
		answered := make(chan bool, dialers)
		for range dialers {
			go func() { results <- callUntilRefused("http://"+address, answered) }()
		}
		for range dialers {
			<-answered // each dialer has received a response
		}
		h.stopBeganAt.Store(time.Now().Add(-h.Settings.Grace).UnixNano())
		go h.Kernel.Stop(context.Background())
	}
	for range listeners * dialers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// newCallerHost returns a host with a listener for callers, and the address of the listener.
func newCallerHost(t *testing.T) (h *Host, address string) {
	env := kernel.SystemEnv()
	listen := env.Listen
	env.Listen = func(ctx context.Context, network, at string) (net.Listener, error) {
		l, err := listen(ctx, network, at)
		if err == nil {
			address = l.Addr().String() // the listener for callers is started last
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

// callUntilRefused sends requests on new connections until a connection is refused. It returns the
// error of a request that got no response on an established connection.
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
