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

// Replay describes the replay of a recording against entry hosts.
type Replay struct {
	Recording Recording
	Fleet     Fleet
	WarmUp    time.Duration // time between the first announcements and the first job
}

// eventMsg reports that an event is due.
type eventMsg struct{ Event Event }

// outcomeMsg reports the outcome of a submission.
type outcomeMsg struct{ Outcome Outcome }

// cancelledMsg reports that a cancellation has been answered or has failed.
type cancelledMsg struct{}

// endOfEventsMsg reports that all events have been sent.
type endOfEventsMsg struct{}

// outcomesMsg requests all outcomes. The answer is sent once no request is outstanding.
type outcomesMsg struct{ Reply func([]Outcome) }

// Run starts the fleet, replays the recording and reports the outcomes for the callers and the
// counts of the stand-in servers.
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

// stopFleet stops the stand-in servers gracefully, with a short timeout, since no caller waits
// for the tasks that still run.
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
	nextEntry   int // index of the entry host for the next event; taken modulo their number
	outstanding int // requests not yet answered
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

// start starts a goroutine that sends each event to the task when it is due, whether or not
// earlier requests have been answered.
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
