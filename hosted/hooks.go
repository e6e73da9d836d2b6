package hosted

import (
	"time"

	"github.com/rs/zerolog"

	"dogwoodrock.example/dogwoodrock/core"
	"dogwoodrock.example/dogwoodrock/entry"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/routes"
	"dogwoodrock.example/dogwoodrock/runs"
)

func (h *Host) coreHooks() core.Hooks {
	return core.Hooks{
		Failed: func(err error) {
			h.Log.At(events.DiskFailed).Err(err).Send()
			h.Kernel.Fail(err)
		},
		DiskFull: func(after time.Duration, err error) {
			if err == nil {
				h.Counts.DiskFull.Set(0)
				h.Log.At(events.DiskHasRoom).Int64("TookMs", after.Milliseconds()).Send()
				return
			}
			h.Counts.DiskFull.Set(1)
			h.Log.At(events.DiskFull).Err(err).Send()
		},
		Leading: func(leading bool, view uint64) {
			h.Counts.CoreLeading.Set(0)
			h.Counts.CoreReplicas.Set(0)
			h.Counts.CoreUncommitted.Set(0)
			if leading {
				h.Counts.CoreLeading.Set(1)
			}
			h.Log.At(events.CoreLeading).Bool("Leading", leading).Uint64("View", view).Send()
		},
		Joined: func(members []string) { h.Log.At(events.CoreJoined).Strs("Members", members).Send() },
		MembersNotStored: func(err error) {
			h.Log.At(events.MembersNotStored).Err(err).Send()
		},
		Routes: func(version uint64) {
			h.Counts.RoutesCommitted.Set(float64(version))
			h.Log.At(events.RoutesCommitted).Uint64("Version", version).Send()
		},
		Placed: func(p model.Placement) { h.placement(events.PlacementCommitted, p) },
		Divided: func(c model.ShardCount) {
			h.Log.At(events.ShardsCommitted).Str("DataCentre", c.DataCentre).Int("Shards", c.Shards).
				Int64("PlacingCapacity", h.Settings.PlacingCapacity).Send()
		},
		Evacuated: func(order model.Evacuation, all model.Evacuations) {
			h.Counts.EvacuationVersion.Set(float64(all.Version))
			h.Log.At(events.EvacuationCommitted).Str("DataCentre", order.DataCentre).Bool("Evacuated", order.Evacuated).
				Uint64("Version", all.Version).Send()
		},
		Replicas: func(members int, behind uint64) {
			h.Counts.CoreReplicas.Set(float64(members))
			h.Counts.CoreUncommitted.Set(float64(behind))
		},
	}
}

func (h *Host) placement(e events.Event, p model.Placement) {
	h.Log.At(e).Str("DataCentre", p.DataCentre).Int("Shard", p.Shard).Str("Placer", p.Host).Uint64("Epoch", p.Epoch).Send()
}

func (h *Host) entryHooks() entry.Hooks {
	return entry.Hooks{
		RoutesInForce: func(version uint64) {
			h.Counts.RoutesVersion.Set(float64(version))
			h.Log.At(events.RoutesInForce).Uint64("Version", version).Send()
		},
		RoutesRejected: func(version uint64, err error) {
			h.Log.At(events.RoutesUnreadable).Uint64("Version", version).Err(err).Send()
		},
		CancelRefused: func(reason string) { h.Counts.CancelsRefused.WithLabelValues(reason).Inc() }, // not logged: a flood of cancels causes one for each
		PlacerKnown:   func(p model.Placement) { h.placement(events.PlacerKnown, p) },
		Evacuated: func(order model.Evacuation, version uint64) {
			h.Counts.EvacuationVersion.Set(float64(version))
			if order.DataCentre == h.self.DataCentre {
				h.Counts.Evacuated.Set(0)
				if order.Evacuated {
					h.Counts.Evacuated.Set(1)
				}
			}
			h.Log.At(either(order.Evacuated, events.EvacuationInForce, events.EvacuationReverted)).Str("DataCentre", order.DataCentre).
				Uint64("Version", version).Send()
		},
		CoreReached: func(reached bool, leader string) {
			if !reached {
				h.Counts.CoreLost.Inc()
			}
			h.Log.At(either(reached, events.CoreReached, events.CoreUnreached)).Str("Leader", leader).Send()
		},
		PlacerReached: func(reached bool, host string, epoch uint64) {
			h.Log.At(either(reached, events.PlacerAnswers, events.PlacerSilent)).Str("Placer", host).Uint64("Epoch", epoch).Send()
		},
		JobTaken: func(m entry.Submit, r routes.Route, placer string, epoch uint64) {
			h.Log.At(events.JobTaken).Str("Job", m.Job).Str("Route", r.Name).Str("Placer", placer).Uint64("Epoch", epoch).
				Int("Tasks", m.Spec.Tasks).Int64("PatienceMs", m.Timeout.Milliseconds()).Send()
		},
		JobRehanded: func(job, placer string, epoch uint64) {
			h.Counts.JobsRehanded.Inc()
			h.Log.At(events.JobRehanded).Str("Job", job).Str("Placer", placer).Uint64("Epoch", epoch).Send()
		},
		JobMoved: func(reason entry.MoveReason) { h.Counts.JobsMoved.WithLabelValues(string(reason)).Inc() }, // placers log the refusals
		JobAway: func(a entry.Away) {
			h.Log.At(events.JobAway).Str("Job", a.Job).Int("Tasks", a.Tasks).Str("DataCentre", a.Target.Key.DataCentre).Int("Shard", a.Target.Key.Shard).
				Int("Room", a.Target.Room).Int64("ReportMs", a.Target.Age.Milliseconds()).Int64("DelayMs", a.Delay.Milliseconds()).Send()
		},
		JobAnswered: func(a entry.JobResult) {
			out := a.Outcome
			h.Counts.Answers.WithLabelValues(a.Route, out.Kind.String(), out.Reason).Inc()
			h.Counts.JobTime.WithLabelValues(a.Route, out.Kind.String()).Observe(a.Took.Seconds())
			h.Log.At(warnUnless(out.Kind == entry.KindComplete, events.JobAnswered)).Str("Job", a.Job).Str("Route", a.Route).Str("Placer", a.Placer).
				Stringer("Outcome", out.Kind).Str("Reason", out.Reason).Int64("TookMs", a.Took.Milliseconds()).Send()
		},
		CallerLeft: func(a entry.JobResult, checked bool) {
			h.Log.At(events.CallerLeft).Str("Job", a.Job).Str("Placer", a.Placer).Int64("TookMs", a.Took.Milliseconds()).
				Bool("Checked", checked).Send()
		},
		CallerGone: func(job string) { h.Log.At(events.CallerGone).Str("Job", job).Send() },
	}
}

// either returns a if first is true, and b otherwise.
func either(first bool, a, b events.Event) events.Event {
	if first {
		return a
	}
	return b
}

func (h *Host) placerHooks() placer.Hooks {
	return placer.Hooks{
		PlacingBegan: func(p model.Placement, t placer.InitialTable) {
			h.Counts.Epoch.Set(float64(p.Epoch))
			h.Counts.Shard.Set(float64(p.Shard))
			h.Counts.Shards.Set(float64(p.Count()))
			h.Log.At(events.PlacingBegan).Str("DataCentre", p.DataCentre).Int("Shard", p.Shard).Uint64("Epoch", p.Epoch).Uint64("Former", p.Former).
				Int("Servers", t.Servers).Uint64("TableEpoch", t.Epoch).Int64("TableMs", t.Age.Milliseconds()).Send()
		},
		PlacingEnded: func(epoch uint64, reason string, jobs int) {
			h.Counts.Epoch.Set(0)
			h.Counts.Shard.Set(0)
			h.Counts.Shards.Set(0)
			h.placerState(placer.View{})
			h.Log.At(events.PlacingEnded).Uint64("Epoch", epoch).Str("Reason", reason).Int("Jobs", jobs).Send()
		},
		State: h.placerState,
		JobHanded: func(m msgs.JobHand) {
			h.Log.At(events.JobHanded).Str("Job", m.Job).Str("From", m.Host).Bool("Again", m.Again).Uint64("Former", m.Former).
				Int64("HeldMs", m.Held.Milliseconds()).Int64("AgeMs", m.Age.Milliseconds()).Send()
		},
		RunEvent: h.runEvent,
		JobEnded: func(e runs.End) {
			h.countEnd(e)
			h.Log.At(warnUnless(e.State == model.JobEndComplete || e.RoomIn > 0, events.JobPlaced)).Str("Job", e.Job).Str("Route", e.Route).Stringer("Outcome", e.State).
				Str("Reason", e.Reason).Int64("TookMs", e.Took.Milliseconds()).Int64("WaitMs", e.Wait.Milliseconds()).
				Int("Waiting", e.Waiting).Int("Servers", e.Servers).Send()
		},
	}
}

// placerState updates the metrics of the placer's queue and servers.
func (h *Host) placerState(v placer.View) {
	h.Counts.PlacerJobs.WithLabelValues("Open").Set(float64(v.Jobs))
	h.Counts.PlacerJobs.WithLabelValues("Waiting").Set(float64(v.Waiting))
	var all runs.Kind
	for _, k := range v.Kinds {
		all.Servers += k.Servers
		all.Usable += k.Usable
		all.Ejected += k.Ejected
		all.Silent += k.Silent
	}
	for state, n := range map[string]int{"Known": all.Servers, "Usable": all.Usable, "Ejected": all.Ejected, "Silent": all.Silent} {
		h.Counts.BackendServers.WithLabelValues(state).Set(float64(n))
	}
}

// warnUnless returns the event with its own level if it is routine, and as a warning otherwise.
func warnUnless(routine bool, e events.Event) events.Event {
	if !routine {
		e.Level = zerolog.WarnLevel
	}
	return e
}

// countEnd records how long a job waited and, if all its tasks were started, how long it ran. A refusal
// is counted by reason and, if it was decided by cost, logged with the inputs.
func (h *Host) countEnd(e runs.End) {
	outcome := e.State.String()
	if e.RoomIn > 0 {
		outcome = "Moved" // another shard has room for it
	}
	h.Counts.JobsPlaced.WithLabelValues(outcome).Inc()
	if e.Evacuated {
		h.Counts.JobsEvacuated.WithLabelValues(outcome).Inc()
	}
	if e.State == model.JobEndRefused {
		h.Counts.JobsRefused.WithLabelValues(e.Route, e.Reason).Inc()
	}
	if c := e.Cost; c != nil {
		h.Log.At(events.JobShed).Str("Job", e.Job).Str("Route", e.Route).Bool("Waited", c.Waited).Int("Class", c.Class).Int("Highest", c.Highest).
			Bool("Large", c.Large).Float64("WorkCoreS", c.Work).Float64("RateCores", c.Rate).Int64("StartMs", c.Start.Milliseconds()).
			Int64("DueMs", c.Due.Milliseconds()).Int64("LastMs", c.Last.Milliseconds()).Send()
	}
	h.Counts.JobWaitTime.WithLabelValues(e.Route, outcome).Observe(e.Waited.Seconds())
	if e.Waited < e.Took {
		h.Counts.JobRunTime.WithLabelValues(e.Route, outcome).Observe((e.Took - e.Waited).Seconds())
	}
}

func (h *Host) countRun(e runs.Event) {
	switch e.Kind {
	case runs.EventStarted:
		h.Counts.StartLatency.Observe(e.Took.Seconds())
	case runs.EventEnded:
		h.Counts.RunTime.WithLabelValues(e.Reason).Observe(e.Took.Seconds())
	case runs.EventStopping:
		h.Counts.RunStops.WithLabelValues(e.Reason).Inc()
	case runs.EventRejoined:
		h.Counts.JobsRejoined.Inc()
	case runs.EventBarred:
		h.Counts.JobsBarred.WithLabelValues(e.Reason).Inc()
	case runs.EventCancelNotKept:
		h.Counts.CancelsNotKept.Inc()
	case runs.EventDuplicateRun:
		h.Counts.DuplicateRuns.Inc()
	case runs.EventRetried:
		h.Counts.RunRetries.WithLabelValues(e.Reason).Inc()
	}
}

// runEvent counts and logs an event of the placer. Expected starts and ends are logged at debug level.
func (h *Host) runEvent(epoch uint64, e runs.Event) {
	switch e.Kind {
	case runs.EventSettled:
		h.Log.At(events.PlacingSettled).Int64("TookMs", e.Took.Milliseconds()).Send()
	case runs.EventCancelNotKept:
		h.countRun(e) // not logged: a flood of cancels causes one for each
	case runs.EventStarted, runs.EventEnded, runs.EventRetried, runs.EventAdopted, runs.EventStopping, runs.EventRejoined, runs.EventDuplicateRun,
		runs.EventBarred:
		h.countRun(e)
		event := events.RunChanged
		if e.Reason == runs.OutcomeTaken.String() || e.Reason == runs.RunDone.String() {
			event.Level = zerolog.DebugLevel
		}
		if e.Kind == runs.EventDuplicateRun {
			event.Level = zerolog.ErrorLevel
		}
		h.Log.At(event).Str("Change", string(e.Kind)).Uint64("Epoch", epoch).Str("Job", e.Job).Str("Task", e.Task).Int("Run", e.Run).
			Str("BackendServer", e.Server).Str("Reason", e.Reason).Int64("TookMs", e.Took.Milliseconds()).
			Int64("ExpectedMs", e.Expected.Milliseconds()).Send()
	default:
		h.Counts.ServerChanges.WithLabelValues(string(e.Kind)).Inc()
		h.Log.At(events.ServerChanged).Str("Change", string(e.Kind)).Str("BackendServer", e.Server).Str("Reason", e.Reason).
			Int64("IntervalMs", e.Interval.Milliseconds()).Send()
	}
}
