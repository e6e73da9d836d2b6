package entry

import (
	"maps"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// A cancel applies to the id of a job, not to the host where it arrives. Other entry hosts may wait for the job, and
// copies of its request may arrive anywhere for some time. So all placers are told; they end the job for each entry
// host that waits and keep the id, and this host tells it to placers that begin later.

const (
	// cancelTimeout is how long the placers have to answer: a caller asks another host after a second.
	cancelTimeout = 900 * time.Millisecond

	// maxPendingCancels bounds the cancels that wait for answers. Each is sent to all placers.
	maxPendingCancels = 256
)

// Reasons why a cancel isn't acknowledged.
const (
	CancelTooMany    = "TooMany"    // maxPendingCancels wait for answers
	CancelUnanswered = "Unanswered" // a placer that may have the job hasn't answered
)

// pendingCancel is a cancel that isn't acknowledged yet.
type pendingCancel struct {
	job        string
	reply      func(Kind)
	holder     *model.ShardKey         // of the placer that had the job of this host, nil if the host has none
	unanswered map[model.ShardKey]bool // shards whose placers haven't answered
	expires    time.Time
}

// startCancel cancels a job of this host, and asks the placers to cancel it. The cancel is acknowledged when the job's
// own placer has answered or, if this host doesn't have the job, when any placer knows it. That there is no such job
// needs the answer of a placer where it has ended, or else of all placers.
func (n *JobService) startCancel(m Cancel, now time.Time) {
	j, own := n.jobs[m.Job]
	if !own && len(n.cancels) >= maxPendingCancels {
		n.Hooks.CancelRefused(CancelTooMany)
		m.Reply(KindRefused)
		return
	}
	c := &pendingCancel{job: m.Job, reply: m.Reply, unanswered: map[model.ShardKey]bool{}, expires: now.Add(cancelTimeout)}
	if own {
		if !j.parked {
			key := j.placement.Key()
			c.holder = &key
		}
	}
	n.lastCancel++
	request := n.lastCancel
	for key, p := range n.placements {
		c.unanswered[key] = true
		n.sendCancel(m.Job, p, request)
	}
	if own {
		// The withdrawal follows the cancel, so that the placer still has the job open and knows it when the cancel is resent.
		n.withdraw(j, now)
		n.answer(j, Outcome{Kind: KindCancelled, Reason: reasonCancelled}, now)
		n.noteCancelled(m.Job, false, now)
	}
	if own && c.holder == nil {
		m.Reply(KindCancelled) // no placer had it
		return
	}
	n.cancels[request] = c
}

// handleJobCancelled handles the answer of a placer to a cancel.
func (n *JobService) handleJobCancelled(m msgs.JobCancelled) {
	c, ok := n.cancels[m.Request]
	if !ok {
		return
	}
	key := model.ShardKey{DataCentre: m.DataCentre, Shard: m.Shard}
	delete(c.unanswered, key)
	switch {
	case c.holder == nil && m.Known, c.holder != nil && *c.holder == key:
		n.noteCancelled(c.job, true, n.Now())
		n.endCancel(m.Request, c, KindCancelled)
	case c.holder == nil && (m.Ended || len(c.unanswered) == 0):
		n.endCancel(m.Request, c, KindNoJob)
	}
}

func (n *JobService) endCancel(request uint64, c *pendingCancel, kind Kind) {
	delete(n.cancels, request)
	c.reply(kind)
}

// expireCancels refuses to acknowledge the cancels that a placer which may have the job hasn't answered.
func (n *JobService) expireCancels(now time.Time) {
	for request, c := range n.cancels {
		if !now.Before(c.expires) {
			n.Hooks.CancelRefused(CancelUnanswered)
			n.endCancel(request, c, KindRefused)
		}
	}
}

// cancelledJob is a job that was cancelled recently.
type cancelledJob struct {
	at   time.Time
	held bool // the placer that had the job has answered the cancel
}

// noteCancelled keeps the id of a cancelled job. Beyond the bound only the placers keep it.
func (n *JobService) noteCancelled(job string, held bool, now time.Time) {
	if c, ok := n.cancelled[job]; ok || len(n.cancelled) < runs.MaxCancelled {
		n.cancelled[job] = cancelledJob{at: now, held: held || c.held}
	}
}

// sendCancel tells a placer that a job is cancelled. A request of 0 needs no answer and tells that the placer which
// had the job has cancelled it.
func (n *JobService) sendCancel(job string, p model.Placement, request uint64) {
	_ = n.Send(p.Host, msgs.ServicePlacer, msgs.JobCancel{Job: job, Host: n.Self, Request: request, Shard: p.Shard})
}

// repeatCancels tells a new placer which jobs were cancelled, and asks it what its predecessor hasn't answered.
func (n *JobService) repeatCancels(p model.Placement) {
	for job, c := range n.cancelled {
		request := uint64(0)
		if !c.held {
			n.lastCancel++
			request = n.lastCancel // no cancel waits for its answer
		}
		n.sendCancel(job, p, request)
	}
	for request, c := range n.cancels {
		if c.unanswered[p.Key()] {
			n.sendCancel(c.job, p, request)
		}
	}
}

func (n *JobService) evictCancelled(now time.Time) {
	maps.DeleteFunc(n.cancelled, func(_ string, c cancelledJob) bool { return now.Sub(c.at) > runs.CancelRetention })
}
