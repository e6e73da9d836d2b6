package daemon

import (
	"errors"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/group"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/keeper"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
	"dogwoodrock.example/dogwoodrock/place"
)

func (h *Host) logPanic(err error) {
	var p *kernel.PanicError
	if errors.As(err, &p) {
		h.Log.At(events.ServicePanicked).Str("Service", p.Service).Str("Error", p.Value).Str("Stack", p.Stack).Send()
	}
}

func (h *Host) jobsHooks() jobs.Hooks {
	return jobs.Hooks{
		JobEnded: func(state model.JobState, code model.Code, ratio float64) {
			h.Metrics.Jobs.WithLabelValues(state.String()).Inc()
			if code != "" {
				h.Metrics.Failures.WithLabelValues(string(code)).Inc()
			}
			if ratio > 0 {
				h.Metrics.ResponseRatio.Observe(ratio)
			}
		},
		TaskResult:   func(r msgs.Result) { h.Metrics.TaskResults.WithLabelValues(r.String()).Inc() },
		Retried:      func(reason string) { h.Metrics.Retries.WithLabelValues(reason).Inc() },
		LeaseLost:    func(view uint64) { h.Log.At(events.LeaseLost).Uint64("View", view).Send() },
		ServingAlone: h.logServingAlone,
		AloneTask:    h.Metrics.AloneTasks.Inc,
		JobsInFlight: func(n int) { h.Metrics.JobsInFlight.Set(float64(n)) },
		PrimaryChanged: func(primary string, view uint64) {
			h.Log.At(events.PrimaryChanged).Str("Primary", primary).Uint64("View", view).Send()
		},
	}
}

func (h *Host) logServingAlone(serving bool) {
	if serving {
		h.Log.At(events.ServingAlone).Send()
		return
	}
	h.Log.At(events.ServingAloneEnded).Send()
}

func (h *Host) keeper() (*keeper.Keeper, error) {
	t := h.Settings.Timing
	disk, err := h.openDisk()
	if err != nil {
		return nil, err
	}
	return &keeper.Keeper{
		Config: keeper.Config{
			Self:           h.self,
			Hosts:          h.hosts,
			Members:        h.Settings.Lists.Hosts,
			Heartbeat:      t.Heartbeat,
			Lease:          t.Lease,
			Election:       t.Election,
			RequestTimeout: listsTimeoutFactor * t.CallTimeout,
		},
		Codec: keeper.Codec{
			Commands:     codec.ListsCommands,
			FromCommands: codec.FromListsCommands,
			Snapshot:     codec.ListsSnapshot,
			FromSnapshot: codec.FromListsSnapshot,
		},
		Disk: disk,
		Hooks: keeper.Hooks{
			Activated:     h.listsActivated,
			Ready:         h.reportInstallation,
			Failed:        h.Kernel.Fail,
			HelloReceived: func(host, address string) { peers.UpdateAddress(h.Kernel.Find, host, address) },
			Restarted: func(host string) {
				h.post(msgs.ServiceJobs, jobs.PeerState{Host: host})
				h.post(msgs.ServiceJobs, jobs.PeerState{Host: host, Reachable: true})
			},
			Replicated: func(version uint64, took time.Duration) {
				h.Log.At(events.ListsEverywhere).Uint64("ListsVersion", version).Dur("TookMs", took).Send()
			},
		},
	}, nil
}

// listsTimeoutFactor is the time for which an edit may wait for the lists group, in call
// timeouts.
const listsTimeoutFactor = 2

// listsActivated forwards the lists that have become active to the services that use them. delay
// is the time since this version was committed, 0 if unknown.
func (h *Host) listsActivated(f lists.Active, delay time.Duration) {
	h.Metrics.ListsVersion.Set(float64(f.Update.Version))
	if delay > 0 {
		h.Metrics.ListsDelay.Observe(delay.Seconds())
	}
	h.post(msgs.ServiceJobs, jobs.Lists{Active: f})
	h.post(msgs.ServiceGroup, group.Lists{Lists: f.Lists})
	h.Log.At(events.ListsInForce).Uint64("ListsVersion", f.Update.Version).
		Int("Customers", len(f.Lists.Customers)).Int("Plans", len(f.Lists.Plans)).Send()
}

func (h *Host) group() *group.Member {
	t := h.Settings.Timing
	return &group.Member{
		Config: group.Config{
			Self:            h.self,
			Members:         h.members(),
			DiskMembers:     h.localListsHosts(),
			Heartbeat:       t.Heartbeat,
			Lease:           t.Lease,
			ElectionTimeout: t.Election,
			BackendLease:    t.BackendLease,
			KeyWindow:       t.KeyWindow,
			SessionEpoch:    t.SessionEpoch,
			TaskTimeout:     t.TaskTimeout,
			Hosts:           h.hosts,
			DataCentres:     h.dataCentres(),
			Alone:           h.aloneTimes(),
		},
		Codec: group.Codec{
			Entries:      codec.Entries,
			FromEntries:  codec.FromEntries,
			Snapshot:     codec.Snapshot,
			FromSnapshot: codec.FromSnapshot,
		},
		Hooks: h.groupHooks(),
	}
}

// localListsHosts returns the hosts of this data centre that store the lists on disk.
func (h *Host) localListsHosts() []string {
	var names []string
	for _, m := range h.members() {
		for _, name := range h.Settings.Lists.Hosts {
			if m.Name == name {
				names = append(names, name)
			}
		}
	}
	return names
}

func (h *Host) groupHooks() group.Hooks {
	return group.Hooks{
		Expelled: func(host string, lost int, fence uint64) {
			h.Log.At(events.HostExpelled).Str("Peer", host).Int("Jobs", lost).Uint64("Fence", fence).Send()
		},
		HostLeft: func(host string) {
			h.Log.At(events.HostLeft).Str("Peer", host).Send()
		},
		Announced: func(b model.BackendServer) {
			h.Log.At(events.BackendServerAnnounced).Str("BackendServer", b.Name).Str("Address", b.Address).Int("Slots", b.Slots).Send()
		},
		BackendLeft: func(name string) {
			h.Log.At(events.BackendServerLeft).Str("BackendServer", name).Send()
		},
		Placed:  h.logServerEvent,
		Refused: func(code model.Code) { h.Metrics.PlacingRefusals.WithLabelValues(string(code)).Inc() },
		Begun:   h.writeMark,
		Failed:  h.Kernel.Fail,
	}
}

func (h *Host) logServerEvent(e place.Event) {
	switch e.Kind {
	case place.Ejected:
		h.Log.At(events.BackendServerEjected).Str("BackendServer", e.BackendServer).Str("Reason", string(e.Cause)).Send()
	case place.Restored:
		h.Log.At(events.BackendServerRestored).Str("BackendServer", e.BackendServer).Send()
	case place.Lapsed:
		h.Log.At(events.BackendServerLapsed).Str("BackendServer", e.BackendServer).Send()
	}
}
