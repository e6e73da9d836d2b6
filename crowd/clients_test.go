package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// client is the behaviour of one client of a crowd. It writes one request, or a part of one, and keeps the
// connection open.
type client struct {
	announce int    // Content-Length, 0 for a chunked body
	send     int    // bytes of the body that it sends
	piece    int    // bytes in one write; in one chunk of a chunked body
	end      bool   // whether a chunked body is ended
	body     []byte // what it sends, instead of send bytes without meaning
	requests int    // number of requests without a body that it sends, instead of one with a body
}

const (
	writeTimeout = 20 * time.Second // in which the daemon takes a write or closes the connection, so that the test ends
	batchBytes   = 64 << 10         // chunks are written together up to this size
)

// target is where a crowd sends its requests.
type target struct {
	address string
	method  string
	path    string
	header  string // further header lines
	port    int    // of the address, for at
}

// at returns the target at a host.
func (to target) at(ip string) target {
	to.address = at(ip, to.port)
	return to
}

// run opens a connection for each client and returns when all of them have sent what they send or were
// cut off. The connections stay open until the end of the test or until closeAll is called.
func run(t *testing.T, to target, clients []client) (closeAll func()) {
	t.Helper()
	var wg sync.WaitGroup
	conns := make([]net.Conn, len(clients))
	for i, c := range clients {
		conn, err := net.DialTimeout("tcp", to.address, writeTimeout)
		if err != nil {
			continue // refused
		}
		conns[i] = conn
		wg.Go(func() { c.play(conn, to) })
	}
	wg.Wait()
	closeAll = sync.OnceFunc(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	t.Cleanup(closeAll)
	return closeAll
}

// runAll runs several crowds at once.
func runAll(t *testing.T, all []crowdAt) (closeAll func()) {
	t.Helper()
	closes := make([]func(), len(all))
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Go(func() { closes[i] = run(t, c.to, c.clients) })
	}
	wg.Wait()
	return func() {
		for _, f := range closes {
			f()
		}
	}
}

func (c client) play(conn net.Conn, to target) {
	if c.requests > 0 {
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: n.example\r\n%s\r\n", to.method, to.path, to.header)
		write(conn, []byte(strings.Repeat(head, c.requests)))
		return
	}
	length := "Transfer-Encoding: chunked\r\n"
	if c.announce > 0 {
		length = fmt.Sprintf("Content-Length: %d\r\n", c.announce)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: n.example\r\n%s%s\r\n", to.method, to.path, to.header, length)
	if !write(conn, []byte(head)) {
		return
	}
	if c.announce > 0 {
		c.playAnnounced(conn)
		return
	}
	c.playChunked(conn)
}

func (c client) playAnnounced(conn net.Conn) {
	body := c.content()
	for len(body) > 0 {
		n := min(c.piece, len(body))
		if !write(conn, body[:n]) {
			return
		}
		body = body[n:]
	}
}

func (c client) playChunked(conn net.Conn) {
	body := c.content()
	var batch bytes.Buffer
	for len(body) > 0 {
		n := min(c.piece, len(body))
		batch.WriteString(strconv.FormatInt(int64(n), 16))
		batch.WriteString("\r\n")
		batch.Write(body[:n])
		batch.WriteString("\r\n")
		body = body[n:]
		if batch.Len() >= batchBytes {
			if !write(conn, batch.Bytes()) {
				return
			}
			batch.Reset()
		}
	}
	if c.end {
		batch.WriteString("0\r\n\r\n")
	}
	write(conn, batch.Bytes())
}

// write reports whether the daemon took the bytes.
func write(conn net.Conn, p []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(p)
	return err == nil
}

// content returns what the client sends of its body.
func (c client) content() []byte {
	if c.body != nil {
		return c.body
	}
	return content(c.send, c.end || c.send == c.announce)
}

// content returns a body of n bytes, JSON with one long unknown field. It is complete if whole is set.
func content(n int, whole bool) []byte {
	const begin, end = `{"pad":"`, `"}`
	text := begin + strings.Repeat("a", max(n-len(begin)-len(end), 0))
	if whole {
		return []byte(text + end)
	}
	return []byte(text + "aa")[:n]
}

// repeat returns n clients, of which each tenth is replaced by other.
func repeat(n int, c, other client) []client {
	list := make([]client, n)
	for i := range list {
		list[i] = c
		if i%10 == 9 {
			list[i] = other
		}
	}
	return list
}

// crowds returns the crowds for a listener whose bodies may have size bytes. Most clients stop short of
// the end of their body by missing bytes.
func crowds(n, size int) map[string][]client {
	const missing, large, small = 1000, 32 << 10, 2
	sent := size - missing
	return map[string][]client{
		"bodies of legal size, in one write": repeat(n, client{announce: size, send: sent, piece: sent}, client{announce: size, send: size, piece: size}),
		"bodies of legal size, in pieces":    repeat(n, client{announce: size, send: sent, piece: 4 << 10}, client{announce: size, send: size, piece: 4 << 10}),
		"large chunks":                       repeat(n, client{send: sent, piece: large}, client{send: sent, piece: large, end: true}),
		"very small chunks":                  repeat(n, client{send: sent, piece: small}, client{send: sent, piece: small, end: true}),
		"far over the limit, announced":      repeat(n, client{announce: 100 * size, send: 2 * size, piece: 2 * size}, client{announce: 100 * size, send: sent, piece: sent}),
		"far over the limit, sent":           repeat(n, client{send: 2 * size, piece: large}, client{send: sent, piece: large}),
	}
}
