package events

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stuck is a reader of the output that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	got  atomic.Int64
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.got.Add(1)
	return len(p), nil
}

func TestOutputNeverBlocks(t *testing.T) {
	reader := &stuck{free: make(chan struct{})}
	var dropped atomic.Int64
	w := Output(reader, func(n int) { dropped.Add(int64(n)) })
	const lines = 3 * outputLines
	done := make(chan struct{})
	go func() {
		log := New(w, "Info", "h")
		for range lines {
			log.At(Started).Send()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for a reader that doesn't read")
	}
	close(reader.free)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := reader.got.Load() + dropped.Load(); dropped.Load() == 0 || got < lines-1 {
		t.Fatalf("%d lines written and %d dropped of %d", reader.got.Load(), dropped.Load(), lines)
	}
}

func TestLimits(t *testing.T) {
	tests := map[string]struct {
		event Event
		lines int
		want  int
	}{
		"routine":           {event: JobAnswered, lines: 30, want: 10},
		"few":               {event: JobAnswered, lines: 9, want: 9},
		"refusals are kept": {event: RoutesRefused, lines: 30, want: 25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &limits{routine: 10, other: 25}
			now := time.Unix(1000, 0)
			passed := 0
			for range tt.lines {
				if ok, _ := l.pass(tt.event.Code, tt.event.Level, now); ok {
					passed++
				}
			}
			if passed != tt.want {
				t.Fatalf("%d lines, want %d", passed, tt.want)
			}
			if ok, left := l.pass(tt.event.Code, tt.event.Level, now.Add(time.Second)); !ok || left != int64(tt.lines-tt.want) {
				t.Fatalf("next second: %v, %d left out, want %d", ok, left, tt.lines-tt.want)
			}
		})
	}
}

func TestLeftOutIsTold(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, "Info", "h", WithLimits(1, 1))
	event := Started
	event.Level = zerolog.InfoLevel
	// A start in the last 50 ms of a second leaves out nothing in it, so the first count is then
	// due after the next whole second.
	for second := time.Now().Unix(); time.Now().Unix() < second+3; time.Sleep(50 * time.Millisecond) {
		log.At(event).Send()
	}
	if text := b.String(); !strings.Contains(text, "LeftOut") || log.LeftOut() == 0 {
		t.Fatalf("%d left out, lines %s", log.LeftOut(), text)
	}
}
