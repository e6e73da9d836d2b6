package bench

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/stand"
)

const (
	replayService        = "replay"
	replayMailboxDepth   = 1024
	announcePollInterval = 50 * time.Millisecond
	stopTimeout          = time.Second
)

// Replay is a recording on its way to entry hosts.
type Replay struct {
	Recording Recording
	Fleet     Fleet
	WarmUp    time.Duration // between the first announcements and the first job
}

// eventMsg tells that an event is due.
type eventMsg struct{ Event Event }

// outcomeMsg tells how a submission ended.
type outcomeMsg struct{ Outcome Outcome }

// cancelledMsg tells that a cancellation has been answered.
type cancelledMsg struct{}

// lastMsg tells that no event follows.
type endOfEventsMsg struct{}

// outcomesMsg asks for all outcomes, once there are no more to come.
type outcomesMsg struct{ Reply func([]Outcome) }

// Run starts the fleet, replays the recording and reports what callers and
// stand-ins have seen.
func (r Replay) Run(ctx context.Context, env kernel.Env) (Report, error) {
	fleet, err := r.Fleet.group()
	if err != nil {
		return Report{}, err
	}
	if err := fleet.Start(ctx); err != nil {
		return Report{}, err
	}
	defer stopFleet(ctx, fleet)
	if err := r.warmUp(ctx, fleet); err != nil {
		return Report{}, err
	}
	c := newCaller(env)
	outcomes, err := r.play(ctx, c, env)
	if err != nil {
		return Report{}, err
	}
	counts, err := fleet.Counts(ctx)
	return Measure(outcomes, counts), err
}

// stop lets the stand-ins leave, but doesn't wait long for tasks that nobody
// wants any more.
func stopFleet(ctx context.Context, fleet *stand.Group) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	fleet.Stop(ctx)
}

func (r Replay) warmUp(ctx context.Context, fleet *stand.Group) error {
	for {
		ready, err := allAnnounced(ctx, fleet)
		if err != nil {
			return err
		}
		delay := announcePollInterval
		if ready {
			delay = r.WarmUp
		}
		if err := sleep(ctx, delay); err != nil || ready {
			return err
		}
	}
}

func (r Replay) play(ctx context.Context, c caller, env kernel.Env) ([]Outcome, error) {
	k := kernel.New(kernel.WithEnv(env))
	s := &replayer{replay: r, caller: c}
	if err := k.Register(s.service()); err != nil {
		return nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, err
	}
	defer k.Stop(ctx)
	ref, err := k.Find(replayService)
	if err != nil {
		return nil, err
	}
	return kernel.Ask(ctx, ref, func(reply func([]Outcome)) any {
		return outcomesMsg{Reply: reply}
	})
}

// replayer is the state of the task that replays a recording.
type replayer struct {
	replay      Replay
	caller      caller
	nextEntry   int // entry host of the next event
	outstanding int // requests without an answer
	allSent     bool
	outcomes    []Outcome
	reply       func([]Outcome)
}

func (s *replayer) service() kernel.Service {
	return kernel.Service{
		Name:   replayService,
		Depth:  replayMailboxDepth,
		Start:  s.start,
		Handle: s.handle,
	}
}

// start lets a child hand over each event when it is due, whatever has been
// answered by then.
func (s *replayer) start(t *kernel.Task) error {
	startedAt := t.Env.Now()
	t.Go(func(ctx context.Context) {
		for _, e := range s.replay.Recording.Events {
			if sleep(ctx, e.At-t.Env.Now().Sub(startedAt)) != nil || t.Self.Wait(ctx, eventMsg{Event: e}) != nil {
				return
			}
		}
		t.Self.Reply(endOfEventsMsg{})
	})
	return nil
}

func (s *replayer) handle(t *kernel.Task, msg any) {
	switch m := msg.(type) {
	case eventMsg:
		s.send(t, m.Event)
	case outcomeMsg:
		s.outstanding--
		s.outcomes = append(s.outcomes, m.Outcome)
	case cancelledMsg:
		s.outstanding--
	case endOfEventsMsg:
		s.allSent = true
	case outcomesMsg:
		s.reply = m.Reply
	}
	if s.allSent && s.outstanding == 0 && s.reply != nil && t.Self.Load() == 0 {
		s.reply(s.outcomes)
	}
}

func (s *replayer) send(t *kernel.Task, e Event) {
	entries := s.replay.Fleet.Entries
	host := entries[s.nextEntry%len(entries)]
	s.nextEntry++
	s.outstanding++
	t.Go(func(ctx context.Context) {
		if e.Kind == KindCancel {
			s.caller.cancel(ctx, host, e)
			t.Self.Reply(cancelledMsg{})
			return
		}
		t.Self.Reply(outcomeMsg{Outcome: s.caller.submit(ctx, host, e)})
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
