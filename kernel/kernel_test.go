package kernel

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

type echoRequest struct {
	Text  string
	Reply func(string)
}

func echoService(name string) Service {
	return Service{
		Name:  name,
		Depth: 4,
		Handle: func(_ *Task, msg any) {
			r := msg.(echoRequest)
			if r.Text == "panic" {
				panic("asked to")
			}
			r.Reply(r.Text)
		},
	}
}

func ask(k *Kernel, name, text string) (string, error) {
	ref, err := k.Find(name)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return Ask(ctx, ref, func(reply func(string)) any {
		return echoRequest{Text: text, Reply: reply}
	})
}

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		service string
		text    string
		want    string
		err     any
	}{
		"answered":        {service: "echo", text: "a", want: "a"},
		"unknown service": {service: "none", err: new(*UnknownError)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := New()
			if err := k.Register(echoService("echo")); err != nil {
				t.Fatal(err)
			}
			if err := k.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			defer k.Stop(context.Background())
			got, err := ask(k, tt.service, tt.text)
			if tt.err != nil && !errors.As(err, tt.err) {
				t.Fatalf("error %v, want %T", err, tt.err)
			}
			if got != tt.want {
				t.Fatalf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestMailbox(t *testing.T) {
	tests := map[string]struct {
		do      func(b *mailbox) error
		full    bool
		stopped bool
	}{
		"offer fits":          {do: func(b *mailbox) error { return b.offer(1) }},
		"offer past depth":    {do: func(b *mailbox) error { _ = b.offer(1); return b.offer(2) }, full: true},
		"reply past depth":    {do: func(b *mailbox) error { b.reply(1); b.reply(2); return b.offer(3) }},
		"offer after closing": {do: func(b *mailbox) error { b.closeIfEmpty(); return b.offer(1) }, stopped: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := tt.do(newMailbox("m", 1))
			var full *FullError
			var stopped *GoneError
			if errors.As(err, &full) != tt.full || errors.As(err, &stopped) != tt.stopped {
				t.Fatalf("error %v", err)
			}
		})
	}
}

func TestWaitBlocksUntilSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMailbox("m", 1)
		_ = b.offer(1)
		done := make(chan error, 1)
		go func() { done <- b.wait(context.Background(), 2) }()
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("wait returned %v while full", err)
		default:
		}
		b.take()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

func TestPanic(t *testing.T) {
	tests := map[string]struct {
		restarts int
		failed   bool
	}{
		"restarted":   {restarts: 1, failed: false},
		"not allowed": {restarts: 0, failed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reports := 0
				k := New(WithReport(func(error) { reports++ }))
				s := echoService("echo")
				s.Restarts = tt.restarts
				if err := k.Register(s); err != nil {
					t.Fatal(err)
				}
				if err := k.Start(context.Background()); err != nil {
					t.Fatal(err)
				}
				_, _ = ask(k, "echo", "panic")
				synctest.Wait()
				if got := k.Err() != nil; got != tt.failed {
					t.Fatalf("failed %v, want %v", got, tt.failed)
				}
				if reports != 1 {
					t.Fatalf("%d reports, want 1", reports)
				}
				if tt.failed {
					return
				}
				if got, err := ask(k, "echo", "b"); got != "b" {
					t.Fatalf("after restart: %q, %v", got, err)
				}
				k.Stop(context.Background())
			})
		})
	}
}

func TestStopOrder(t *testing.T) {
	tests := map[string]struct {
		before string // service launched before the stop
		during string // service launched while the first service drains
		want   string
	}{
		"registered":               {want: "[second first]"},
		"launched":                 {before: "link", want: "[second first link]"},
		"launched during the stop": {during: "link", want: "[second first link]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var order []string
				k := New()
				service := func(name string) Service {
					s := echoService(name)
					s.Stop = func(*Task) { order = append(order, name) }
					return s
				}
				launch := func(name string) {
					if name == "" {
						return
					}
					if err := k.Launch(context.Background(), service(name)); err != nil {
						t.Error(err)
					}
				}
				for _, name := range []string{"first", "second"} {
					s := service(name)
					if name == "first" {
						s.Drain = func(*Task) bool { launch(tt.during); return true }
					}
					if err := k.Register(s); err != nil {
						t.Fatal(err)
					}
				}
				if err := k.Start(context.Background()); err != nil {
					t.Fatal(err)
				}
				launch(tt.before)
				k.Stop(context.Background())
				if fmt.Sprint(order) != tt.want {
					t.Fatalf("stopped in order %v, want %s", order, tt.want)
				}
			})
		})
	}
}

func ExampleKernel() {
	k := New()
	_ = k.Register(Service{
		Name:  "greeter",
		Depth: 1,
		Handle: func(_ *Task, msg any) {
			r := msg.(echoRequest)
			r.Reply("hello " + r.Text)
		},
	})
	_ = k.Start(context.Background())
	defer k.Stop(context.Background())
	greeter, _ := k.Find("greeter")
	reply, _ := Ask(context.Background(), greeter, func(reply func(string)) any {
		return echoRequest{Text: "crew", Reply: reply}
	})
	fmt.Println(reply)
	// Output: hello crew
}

func TestPace(t *testing.T) {
	tests := map[string]struct {
		every time.Duration
		paces []time.Duration // before and after a message
		ticks bool            // whether Tick is called within a second after the message
	}{
		"every interval":            {every: time.Millisecond, ticks: true},
		"never":                     {},
		"long interval":             {every: time.Millisecond, paces: []time.Duration{time.Hour, time.Hour}},
		"long interval, then short": {every: time.Hour, paces: []time.Duration{time.Hour, time.Millisecond}, ticks: true},
		"short interval, then long": {every: time.Hour, paces: []time.Duration{time.Millisecond, time.Hour}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			messages, ticked, handled := 0, make(chan bool, 1), make(chan bool, 1)
			s := Service{
				Name: "paced", Depth: 1, Every: tt.every,
				Handle: func(*Task, any) { messages++; handled <- true },
				Tick: func(*Task) {
					if messages > 0 {
						select {
						case ticked <- true:
						default:
						}
					}
				},
			}
			if tt.paces != nil {
				s.Pace = func() time.Duration { return tt.paces[messages] }
			}
			k := New()
			if err := k.Register(s); err != nil {
				t.Fatal(err)
			}
			if err := k.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer k.Stop(t.Context())
			ref, err := k.Find("paced")
			if err != nil {
				t.Fatal(err)
			}
			ref.Reply("message")
			<-handled
			wait := time.Second
			if !tt.ticks {
				wait = 50 * time.Millisecond
			}
			got := false
			select {
			case got = <-ticked:
			case <-time.After(wait):
			}
			if got != tt.ticks {
				t.Fatalf("ticked after the message: %v, want %v", got, tt.ticks)
			}
		})
	}
}
