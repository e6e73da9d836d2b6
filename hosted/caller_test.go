package hosted

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestCallerGone checks that CallerGone detects a connection that was closed after the request was
// sent, and doesn't take a pipelined request for a close.
func TestCallerGone(t *testing.T) {
	const request = "POST /j HTTP/1.1\r\nHost: x.example\r\nContent-Length: 2\r\n\r\n{}"
	tests := map[string]struct {
		send string
		end  func(c *net.TCPConn) error // run before the handler checks, may be nil
		want bool
	}{
		"open":                     {send: request},
		"another request is ready": {send: request + strings.Replace(request, "/j", "/k", 1)},
		"closed":                   {send: request, end: (*net.TCPConn).Close, want: true},
		"half closed":              {send: request, end: (*net.TCPConn).CloseWrite, want: true},
		"reset": {send: request, end: func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			begun, ended, checked := make(chan struct{}), make(chan struct{}), make(chan bool)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/j" {
					return
				}
				gone := CallerGone(r.Context())
				begun <- struct{}{}
				<-ended
				checked <- gone()
			}))
			s.Config.ConnContext = withConn
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := c.Write([]byte(tt.send)); err != nil {
				t.Fatal(err)
			}
			<-begun
			if tt.end != nil {
				if err := tt.end(c.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
			}
			time.AfterFunc(20*time.Millisecond, func() { close(ended) })
			if got := <-checked; got != tt.want {
				t.Fatalf("gone %v, want %v", got, tt.want)
			}
		})
	}
}
