package events

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	lines   atomic.Int64
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.lines.Add(1)
	return len(p), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	blocked := &blockedWriter{unblock: make(chan struct{})}
	var dropped atomic.Int64
	w := NewAsyncWriter(blocked, func(n int) { dropped.Add(int64(n)) })
	const lines = 3 * queueLines
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
		t.Fatal("logging blocked for 10 s on a blocked writer")
	}
	close(blocked.unblock)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := blocked.lines.Load() + dropped.Load(); dropped.Load() == 0 || got < lines-1 {
		t.Fatalf("%d lines written and %d dropped of %d", blocked.lines.Load(), dropped.Load(), lines)
	}
}

func TestLimits(t *testing.T) {
	tests := map[string]struct {
		event Event
		lines int
		want  int
	}{
		"routine":                   {event: JobAnswered, lines: 30, want: 10},
		"few":                       {event: JobAnswered, lines: 9, want: 9},
		"Warn, above its own limit": {event: RoutesRefused, lines: 30, want: 25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &limiter{routine: 10, warnings: 25}
			now := time.Unix(1000, 0)
			passed := 0
			for range tt.lines {
				if ok, _ := l.allow(tt.event.Code, tt.event.Level, now); ok {
					passed++
				}
			}
			if passed != tt.want {
				t.Fatalf("%d lines, want %d", passed, tt.want)
			}
			if ok, leftOut := l.allow(tt.event.Code, tt.event.Level, now.Add(time.Second)); !ok || leftOut != int64(tt.lines-tt.want) {
				t.Fatalf("next second: %v, %d left out, want %d", ok, leftOut, tt.lines-tt.want)
			}
		})
	}
}

func TestLeftOutIsLogged(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, "Info", "h", WithLimits(1, 1))
	event := Started
	event.Level = zerolog.InfoLevel
	// If the loop starts in the last 50 ms of a second, no line of that second is dropped, and the
	// first LeftOut appears only after the next full second.
	for second := time.Now().Unix(); time.Now().Unix() < second+3; time.Sleep(50 * time.Millisecond) {
		log.At(event).Send()
	}
	if text := b.String(); !strings.Contains(text, "LeftOut") || log.LeftOut() == 0 {
		t.Fatalf("%d left out, lines %s", log.LeftOut(), text)
	}
}

// TestLongLine guards against lines that quote what a client sent, megabytes of it, and against a shortened line that
// no reader of JSON takes.
func TestLongLine(t *testing.T) {
	tests := map[string]struct {
		text string
		long bool
	}{
		"short":    {text: "x"},
		"long":     {text: strings.Repeat("x", 1<<20), long: true},
		"quotes":   {text: strings.Repeat("\"", 1<<20), long: true},
		"no UTF-8": {text: strings.Repeat("\xff", 1<<20), long: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			New(&out, "Info", "h").At(JobMalformed).Str("Error", tt.text).Send()
			var line struct {
				Host, Error, Text string
				Event, LongLine   int
			}
			if err := json.Unmarshal(out.Bytes(), &line); err != nil || out.Len() > maxLine {
				t.Fatalf("a line of %d bytes: %v", out.Len(), err)
			}
			if line.Host != "h" || line.Event != JobMalformed.Code || (line.LongLine > 0) != tt.long || strings.Contains(line.Text, "JobMalformed") != tt.long {
				t.Errorf("got %+v", line)
			}
		})
	}
}
