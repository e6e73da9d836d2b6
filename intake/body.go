package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// RefusedError reports that a body wasn't read to its end because of the limits of the gate. Nothing of the
// request was run.
type RefusedError struct {
	Reason Reason
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case AllBodies:
		return "the bodies that are being read take too much memory; nothing was run, send the request again"
	case Framing:
		return "the chunks of the body are too small; nothing was run"
	case Conns:
		return "there are too many connections; nothing was run, send the request again"
	case Turn:
		return "other large bodies are being read; nothing was run, send the request again"
	case Content:
		return "the content of the body takes too much memory; nothing was run"
	default:
		return "the body arrived too slowly; nothing was run"
	}
}

// Body is the body of a request. Release has to be called once its bytes aren't used any more.
type Body struct {
	Data []byte

	gate *Gate
	conn *conn
	turn *turn // nil unless the body is large
}

// Release returns what the body was charged, and ends its turn if it is large.
func (b *Body) Release() {
	if b.gate != nil {
		b.gate.release(b.conn)
	}
	b.turn.end()
}

// Decoded returns what the body was charged for its decoded content, which isn't used any more.
func (b *Body) Decoded() {
	if b.gate != nil {
		b.gate.releaseContent(b.conn)
	}
}

// KeepTurn returns the function that ends the turn of a large body. Release doesn't end it any more: others
// use the body after the request.
func (b *Body) KeepTurn() (end func()) {
	t := b.turn
	b.turn = nil
	return t.end
}

// Permanent reports whether the same request would be refused again at any time.
func (e *RefusedError) Permanent() bool {
	return e.Reason == Content
}

// RetryAfter returns the time in seconds after which the client may come back.
func (e *RefusedError) RetryAfter() int {
	if e.Reason == Turn {
		return int(TurnTimeout / time.Second)
	}
	return RetryAfter
}

// Option configures the reading of a body.
type Option func(*meter)

// WithWeight bounds the memory that the content of a body takes once it is decoded by Limits.Contents. For each body
// that may be larger than the buffers of its connection, begin returns a function that takes the next piece of the
// body and returns the bytes that the content takes so far, beside those of the body.
func WithWeight(begin func() func(p []byte) int64) Option {
	return func(m *meter) { m.beginWeight = begin }
}

// Read reads the body of a request, up to limit bytes, within the limits of the gate of its connection. The
// error is a RefusedError if a limit of the gate was met, and an http.MaxBytesError if the body is too
// large. The connection is closed after the response then.
func Read(w http.ResponseWriter, r *http.Request, limit int64, opts ...Option) (Body, error) {
	m := newMeter(w, r, opts)
	if m.gate != nil {
		limit = min(limit, m.gate.limits.BodyBytes)
	}
	switch {
	case r.ContentLength == 0:
		return Body{}, nil
	case r.ContentLength > limit:
		return Body{}, m.failed(&http.MaxBytesError{Limit: limit})
	}
	if m.needsTurn(r.ContentLength) {
		if err := m.takeTurn(); err != nil {
			return Body{}, m.failed(err)
		}
	}
	m.begin()
	data, err := m.readAll(r.ContentLength, limit)
	if err == nil {
		err = m.chargeContent()
	}
	if err == nil {
		err = m.end()
	}
	if err != nil {
		return Body{}, m.failed(err)
	}
	m.arrived()
	m.turn.serve()
	return Body{Data: data, gate: m.gate, conn: m.conn, turn: m.turn}, nil
}

// Wrap returns a handler that charges what next reads of the body of a request until next returns. It is
// for handlers that read the body themselves.
func Wrap(next http.Handler, opts ...Option) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := newMeter(w, r, opts)
		if m.gate == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		limit := m.gate.limits.BodyBytes
		if r.ContentLength > limit {
			http.Error(w, m.failed(&http.MaxBytesError{Limit: limit}).Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = meteredBody{meter: &m, Closer: r.Body}
		m.conn.announced.Store(r.ContentLength)
		m.begin()
		defer func() {
			_ = m.end()
			m.gate.release(m.conn)
			m.turn.end()
		}()
		next.ServeHTTP(w, r)
	})
}

// closeUnread is the Connection header of a response until the body of its request was read. A header that a
// handler sets has another address.
var closeUnread = []string{"close"}

// Handler returns a handler that closes the connection of a request whose body next doesn't read to its end,
// and makes that connection one that can be evicted once next has returned. All handlers of a listener have to
// be within it. Bodies have to be read with Read or within Wrap.
//
// http.Server would receive up to 256 KB of such a body, while the request counts as being served.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.arrived.Store(false)
		w.Header()["Connection"] = closeUnread
		defer c.boundUnread()
		next.ServeHTTP(w, r)
	})
}

// boundUnread bounds the wait for the rest of a body when the handler has returned.
func (c *conn) boundUnread() {
	if c.arrived.Load() {
		return
	}
	now := time.Now()
	c.moved.Store(now.UnixNano())
	if c.begin(PhaseUnread) {
		_ = c.SetReadDeadline(now.Add(unreadTimeout))
	}
}

// meteredBody is a body that is charged as it is read.
type meteredBody struct {
	*meter
	io.Closer
}

// Read reads the next bytes of the body.
func (b meteredBody) Read(p []byte) (int, error) {
	n, err := b.meter.Read(p)
	switch limit := b.gate.limits.BodyBytes; {
	case b.total > limit:
		return 0, b.failed(&http.MaxBytesError{Limit: limit})
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		refused := b.chargeContent()
		if refused == nil {
			refused = b.end()
		}
		if refused != nil {
			return 0, b.failed(refused)
		}
		b.arrived()
		return n, err
	default:
		return 0, b.failed(err)
	}
}

// meter reads a body and charges it.
type meter struct {
	w       http.ResponseWriter
	src     io.Reader
	ctx     context.Context
	gate    *Gate // nil without a gate
	conn    *conn
	chunked bool

	total   int64 // bytes read
	start   int64 // bytes received on the connection before
	small   int   // small reads
	reading bool
	turn    *turn

	beginWeight func() func(p []byte) int64 // nil if the content isn't weighed
	weigh       func(p []byte) int64        // nil for a small body
	weight      int64                       // of the content so far
}

func newMeter(w http.ResponseWriter, r *http.Request, opts []Option) meter {
	m := meter{w: w, src: r.Body, ctx: r.Context(), chunked: r.ContentLength < 0}
	if m.conn, _ = m.ctx.Value(connKey{}).(*conn); m.conn != nil {
		m.gate = m.conn.gate
	}
	for _, opt := range opts {
		opt(&m)
	}
	if m.beginWeight != nil && m.gate != nil && (m.chunked || r.ContentLength > smallBody) {
		m.weigh = m.beginWeight()
	}
	return m
}

func (m *meter) begin() {
	if m.gate == nil {
		return
	}
	m.reading = true
	m.start = m.conn.received.Load()
	m.gate.reading.Add(1)
	m.conn.begin(PhaseBody)
}

// end ends the reading. It returns a RefusedError if the body was refused before; afterwards it isn't. It
// may be called again.
func (m *meter) end() error {
	if !m.reading {
		return nil
	}
	m.reading = false
	m.gate.reading.Add(-1)
	if !m.conn.begin(PhaseServing) {
		return &RefusedError{Reason: m.conn.refused()}
	}
	return nil
}

// arrived records that the body was read to its end, so that the connection can be kept.
func (m *meter) arrived() {
	if m.gate == nil || m.conn.arrived.Swap(true) {
		return
	}
	if h := m.w.Header()["Connection"]; len(h) == 1 && &h[0] == &closeUnread[0] {
		m.w.Header().Del("Connection")
	}
}

// failed ends a failed reading, makes the server close the connection, and returns the reason: that of the
// gate if it refused the body, or else err.
func (m *meter) failed(err error) error {
	m.w.Header().Set("Connection", "close")
	if m.gate == nil {
		return err
	}
	var tooLarge *http.MaxBytesError
	if r := m.conn.refused(); r != None {
		err = &RefusedError{Reason: r}
	} else if errors.As(err, &tooLarge) {
		m.gate.counts[BodySize].Add(1)
	}
	_ = m.end()
	m.gate.release(m.conn)
	m.turn.end()
	return err
}

// Read reads the next bytes of the body. It returns a RefusedError when a limit of the gate is met.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.src.Read(p)
	if m.gate == nil {
		return n, err
	}
	m.total += int64(n)
	if m.needsTurn(m.total) {
		if refused := m.takeTurn(); refused != nil {
			return 0, refused
		}
	}
	if m.total > smallBody {
		if refused := m.account(int64(n)); refused != nil {
			return 0, refused
		}
	}
	if m.weigh != nil {
		if m.weight = m.weigh(p[:n]); m.weight > m.gate.limits.Contents {
			m.conn.refuse(Content)
			return 0, &RefusedError{Reason: Content}
		}
	}
	if err == nil && n < smallRead && n < len(p) {
		m.pace()
	}
	return n, err
}

// chargeContent charges the decoded content of a body that has arrived. It waits while those of others take too much.
func (m *meter) chargeContent() error {
	if m.weight == 0 || m.gate.chargeContent(m.ctx, m.conn, m.weight) {
		return nil
	}
	m.conn.refuse(AllBodies) // unless it was refused meanwhile
	return &RefusedError{Reason: m.conn.refused()}
}

// account charges the bytes that were read and checks the bytes of the chunks' headers.
func (m *meter) account(n int64) error {
	m.conn.moved.Store(time.Now().UnixNano())
	if m.chunked && m.conn.received.Load()-m.start-m.total > framingBytes+m.total {
		m.conn.refuse(Framing)
	}
	if m.conn.refused() == None && !m.gate.charge(m.ctx, m.conn, n) {
		m.conn.refuse(AllBodies)
	}
	if r := m.conn.refused(); r != None {
		return &RefusedError{Reason: r}
	}
	return nil
}

// pace delays the next read of a body that arrives in small pieces, so that more of them arrive until then.
func (m *meter) pace() {
	m.small++
	if m.small <= freeReads {
		return
	}
	timer := time.NewTimer(time.Duration(m.gate.reading.Load()) * time.Second / smallReads)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.ctx.Done():
	}
}

// firstRead is the size in bytes of the first buffer for a body of unknown or large size.
const firstRead = 4 << 10

// readAll reads the body into a buffer that grows with what has arrived, not with what is announced. size
// is the announced size, negative if unknown.
func (m *meter) readAll(size, limit int64) ([]byte, error) {
	most := limit + 1
	if size > 0 {
		most = size
	}
	data := make([]byte, 0, min(most, firstRead))
	for {
		n, err := m.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF) && int64(len(data)) < size:
			return nil, fmt.Errorf("%w after %d of %d bytes", io.ErrUnexpectedEOF, len(data), size)
		case errors.Is(err, io.EOF) || int64(len(data)) == size:
			return data, nil
		case err != nil:
			return nil, err
		}
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(most, 2*int64(cap(data)))), data...)
		}
	}
}
