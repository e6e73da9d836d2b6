package peers

import (
	"context"
	"io"
	"net"
	"testing"
)

// pipeListener is a listener that accepts one end of a pipe.
type pipeListener struct {
	net.Listener
	end net.Conn
}

// Accept returns the end of the pipe.
func (l pipeListener) Accept() (net.Conn, error) { return l.end, nil }

// TestCountSent compares the bytes that a connection reports as sent with the
// bytes that the other end reads, also when the last write is truncated.
func TestCountSent(t *testing.T) {
	tests := map[string]func(end net.Conn, sent func(int)) (net.Conn, error){
		"dialled": func(end net.Conn, sent func(int)) (net.Conn, error) {
			dial := func(context.Context, string, string) (net.Conn, error) { return end, nil }
			return CountSent(dial, sent)(context.Background(), "tcp", "")
		},
		"accepted": func(end net.Conn, sent func(int)) (net.Conn, error) {
			return countedListener{Listener: pipeListener{end: end}, sent: sent}.Accept()
		},
	}
	for name, open := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			sent := 0
			c, err := open(near, func(n int) { sent += n })
			if err != nil {
				t.Fatal(err)
			}
			read := make(chan int64)
			go func() {
				n, _ := io.CopyN(io.Discard, far, 700)
				_ = far.Close()
				read <- n
			}()
			for range 3 {
				_, _ = c.Write(make([]byte, 300)) // the last write is truncated
			}
			if n := <-read; int64(sent) != n || n != 700 {
				t.Errorf("counted %d bytes, the other end read %d", sent, n)
			}
		})
	}
}
