package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// server is an HTTP server behind a gate, in this process.
type server struct {
	address string
	kernel  *kernel.Kernel
	counts  [reasons]atomic.Int64
	now     time.Time // of the sweeps
}

// sweep is the request to sweep, with the time at which that happens.
type sweep struct {
	now  time.Time
	done func(struct{})
}

// startServer starts a server that answers with the number of bytes of a body, or with the error of its
// reading: 503 if the gate refused it, 400 otherwise. Its sweeps are made by the test.
func startServer(t *testing.T, limits Limits, wrapped bool, opts ...Option) *server {
	t.Helper()
	s := &server{kernel: kernel.New(), now: time.Now()}
	gate := New(limits, func(c Closed) { s.counts[c.Reason].Add(c.Count) })
	handler := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := Read(w, r, limits.BodyBytes, opts...)
		answer(w, r, len(b.Data), err)
		b.Release()
	}))
	if wrapped {
		handler = Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(r.Body)
			answer(w, r, len(data), err)
		}), opts...)
	}
	readers := handler
	handler = gate.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			_, _ = w.Write(make([]byte, 8<<10)) // more than http.Server buffers before it writes the header
			return
		}
		readers.ServeHTTP(w, r)
	}))
	var web *http.Server
	err := s.kernel.Register(kernel.Service{
		Name: "web", Depth: 1000,
		Start: func(t *kernel.Task) error {
			l, err := t.Env.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			s.address = l.Addr().String()
			bounded, err := gate.Listener(l, t.Self)
			if err != nil {
				return err
			}
			web = &http.Server{Handler: handler, ConnContext: gate.ConnContext, ConnState: gate.ConnState}
			t.Go(func(context.Context) { _ = web.Serve(bounded) })
			return nil
		},
		Handle: func(t *kernel.Task, msg any) {
			if m, ok := msg.(sweep); ok {
				gate.Sweep(m.now)
				m.done(struct{}{})
				return
			}
			gate.Handle(msg, t.Env.Now())
		},
		Stop: func(*kernel.Task) { _ = web.Close() },
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.kernel.Stop(context.Background()) })
	return s
}

func answer(w http.ResponseWriter, r *http.Request, n int, err error) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		w.Header().Set("Retry-After", fmt.Sprint(RetryAfter))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, refused.Reason.String())
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.URL.Path == "/long":
		_, _ = w.Write(make([]byte, 64<<20))
	default:
		_, _ = fmt.Fprint(w, n)
	}
}

// sweepFor makes the sweeps of some time.
func (s *server) sweepFor(t *testing.T, d time.Duration) {
	t.Helper()
	ref, err := s.kernel.Find("web")
	if err != nil {
		t.Fatal(err)
	}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(SweepInterval) {
		if _, err := kernel.Ask(t.Context(), ref, func(reply func(struct{})) any { return sweep{now: s.now, done: reply} }); err != nil {
			t.Fatal(err)
		}
	}
}

// open opens a connection and sends text on it.
func (s *server) open(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Log(err) // the server has closed the connection
	}
	return c
}

// response returns the status, the text and the Retry-After of the response on a connection, 0 if it was
// closed without one.
func response(c net.Conn) (status int, text, retryAfter string) {
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // ends a failing test
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error(), ""
	}
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(data), a.Header.Get("Retry-After")
}

func announced(size, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", sent))
}

func chunked(size, chunk int, end bool) string {
	var b bytes.Buffer
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; size > 0; size -= chunk {
		n := min(chunk, size)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("a", n))
	}
	if end {
		b.WriteString("0\r\n\r\n")
	}
	return b.String()
}

// TestSingleRequest guards against refusing a single request within the limits, however its body arrives,
// and against serving one that is not.
func TestSingleRequest(t *testing.T) {
	const job, most = 262_144, 1 << 20
	tests := map[string]struct {
		request string
		status  int
		text    string
		reason  Reason
	}{
		"no body":                     {request: announced(0, 0), status: 200, text: "0"},
		"a small body":                {request: announced(100, 100), status: 200, text: "100"},
		"a job of the largest size":   {request: announced(job, job), status: 200, text: "262144"},
		"a body of the largest size":  {request: announced(most, most), status: 200, text: "1048576"},
		"large chunks":                {request: chunked(job, 32<<10, true), status: 200, text: "262144"},
		"chunks of one byte":          {request: chunked(job, 1, true), status: 200, text: "262144"},
		"a small body, chunked":       {request: chunked(300, 1, true), status: 200, text: "300"},
		"announced over the limit":    {request: announced(most+1, 0), status: 400, reason: BodySize},
		"sent over the limit":         {request: chunked(most+10, 32<<10, true), status: 400, reason: BodySize},
		"a large body in small chunk": {request: chunked(most, 1, false), status: 503, text: "Framing", reason: Framing},
	}
	for name, tt := range tests {
		for _, wrapped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, wrapped %v", name, wrapped), func(t *testing.T) {
				s := startServer(t, Limits{Conns: 10, BodyBytes: most, AllBodies: most, Unread: 32 << 10}, wrapped)
				status, text, _ := response(s.open(t, tt.request))
				if wrapped && tt.request == announced(most+1, 0) {
					tt.status = http.StatusRequestEntityTooLarge
				}
				if status != tt.status || tt.text != "" && text != tt.text {
					t.Errorf("%d %q, want %d %q", status, text, tt.status, tt.text)
				}
				s.sweepFor(t, SweepInterval)
				if got := s.counts[tt.reason].Load(); tt.reason != None && got != 1 {
					t.Errorf("%d counted as %v, want 1", got, tt.reason)
				}
			})
		}
	}
}

// awaitEvicted sweeps until as many bodies are refused for their bytes, or for half of StallTimeout: a crowd
// whose bytes are still on their way holds less than it will.
func (s *server) awaitEvicted(t *testing.T, bodies int) {
	t.Helper()
	for n := time.Duration(0); n < StallTimeout/2 && s.counts[AllBodies].Load() < int64(bodies); n += SweepInterval {
		s.sweepFor(t, SweepInterval)
		time.Sleep(200 * time.Millisecond)
	}
}

// TestStalledBodies guards against bodies that stop short of their end: they must not keep others from
// being served, and must end.
func TestStalledBodies(t *testing.T) {
	const size, all = 100_000, 1 << 20
	for _, wrapped := range []bool{false, true} {
		t.Run(fmt.Sprintf("wrapped %v", wrapped), func(t *testing.T) {
			s := startServer(t, Limits{Conns: 100, BodyBytes: all, AllBodies: all}, wrapped)
			var crowd []net.Conn
			for n := range 30 {
				text := announced(size, size-1000)
				if n%2 == 0 {
					text = chunked(size-1000, 1000, false)
				}
				crowd = append(crowd, s.open(t, text))
			}
			for _, request := range []string{announced(100, 100), announced(size, size)} {
				if status, text, _ := response(s.open(t, request)); status != http.StatusOK {
					t.Errorf("an ordinary request gets %d %q", status, text)
				}
			}
			const fit = all/(size-1000-smallBody) + 1 // bodies of the crowd, without what isn't charged
			s.awaitEvicted(t, len(crowd)-fit)
			for n := 0; n < 100 && s.counts[AllBodies].Load()+s.counts[Stalled].Load() < int64(len(crowd)); n++ {
				s.sweepFor(t, StallTimeout+2*SweepInterval) // of a clock of its own; the last bodies may still arrive
				time.Sleep(20 * time.Millisecond)
			}
			evicted, stalled := 0, 0
			for _, c := range crowd {
				status, text, retryAfter := response(c)
				if status != http.StatusServiceUnavailable || retryAfter == "" {
					t.Errorf("a stalled body gets %d %q, Retry-After %q", status, text, retryAfter)
				}
				switch text {
				case AllBodies.String():
					evicted++
				case Stalled.String():
					stalled++
				}
			}
			if evicted < len(crowd)-fit || evicted+stalled != len(crowd) {
				t.Errorf("%d refused for their bytes and %d as stalled, of %d", evicted, stalled, len(crowd))
			}
		})
	}
}

// TestConns guards against connections that send nothing, or are idle, keeping others out.
func TestConns(t *testing.T) {
	const conns = 20
	tests := map[string]string{"nothing is sent": "", "a part of a header": "POST / HT", "idle": announced(0, 0), "a part of a body": announced(100, 10)}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Limits{Conns: conns, BodyBytes: 1000, AllBodies: 10_000}, false)
			for range 5 * conns {
				s.open(t, text)
			}
			if status, text, _ := response(s.open(t, announced(100, 100))); status != http.StatusOK {
				t.Errorf("an ordinary request gets %d %q", status, text)
			}
			s.sweepFor(t, SweepInterval)
			if s.counts[Conns].Load() < 4*conns {
				t.Errorf("%d connections were closed, want %d", s.counts[Conns].Load(), 4*conns)
			}
		})
	}
}

// TestUnreadBodies guards against connections whose bodies the handler doesn't read, or not to their end,
// keeping others out while http.Server waits for the rest.
func TestUnreadBodies(t *testing.T) {
	const conns, most = 4, 100_000
	tests := map[string]string{
		"a request without use for a body": "GET /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n",
		"chunks over the limit":            chunked(most+10, 1000, false),
		"announced over the limit":         announced(most+10, 0),
	}
	for name, text := range tests {
		for _, wrapped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, wrapped %v", name, wrapped), func(t *testing.T) {
				s := startServer(t, Limits{Conns: conns, BodyBytes: most, AllBodies: 1 << 20}, wrapped)
				for range conns {
					c := s.open(t, text)
					_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // ends a failing test
					a, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Fatalf("no response: %v", err)
					}
					if !a.Close {
						t.Errorf("the response with status %d keeps the connection", a.StatusCode)
					}
				}
				if status, text, _ := response(s.open(t, announced(100, 100))); status != http.StatusOK {
					t.Errorf("an ordinary request gets %d %q", status, text)
				}
			})
		}
	}
}

// TestKeptConnection guards against closing the connection of a request whose body was read.
func TestKeptConnection(t *testing.T) {
	for _, wrapped := range []bool{false, true} {
		for _, text := range []string{announced(100, 100), announced(50_000, 50_000), chunked(300, 10, true)} {
			s := startServer(t, Limits{Conns: 4, BodyBytes: 100_000, AllBodies: 1 << 20}, wrapped)
			c := s.open(t, text+text)
			in := bufio.NewReader(c)
			for n := range 2 {
				_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // ends a failing test
				a, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("no response %d: %v", n, err)
				}
				_, _ = io.Copy(io.Discard, a.Body)
				if a.Close {
					t.Errorf("wrapped %v: response %d closes the connection", wrapped, n)
				}
			}
		}
	}
}

// TestUnreadResponse guards against clients that don't read a response holding it for ever.
func TestUnreadResponse(t *testing.T) {
	s := startServer(t, Limits{Conns: 10, BodyBytes: 1000, AllBodies: 10_000, Unread: 32 << 10}, false)
	c := s.open(t, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	one := make([]byte, 1)
	if _, err := io.ReadFull(c, one); err != nil {
		t.Fatal(err)
	}
	for range 100 { // the response has begun; wait until the buffers of the system are full
		s.sweepFor(t, StallTimeout+2*SweepInterval)
		if s.counts[Unread].Load() == 1 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the connection wasn't closed")
}
