package entry

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
)

const (
	// assumedDelay is what a job's move to another data centre takes while that isn't measured: two messages of at most
	// 8 ms each.
	assumedDelay = 16 * time.Millisecond

	// doubtAfter is how long a placer of another data centre may take to answer a pulse before no job goes there for
	// room. Its data centre may be cut off, which its last report can't tell.
	doubtAfter = pulseInterval / 2

	delayGain = 0.25 // weight of a round trip in the running mean: about the last four count
)

// renewals are the recent renewals of this host, by which it tells how old a report of room is at most.
type renewals struct {
	count     uint64
	sent      []sentPulse // of those that an answer may be used of
	stamp     uint64      // latest one that the leader gave
	stampOf   string
	stampedAt time.Time // when it was read
}

// ownRoom is the room of the shard that this host places.
type ownRoom struct {
	at        time.Time // the room was counted then or later
	report    msgs.RoomReport
	renewedAt time.Time // last renewal that followed a pulse
}

// Away describes a move to another data centre that has room, for logs.
type Away struct {
	Job    string
	Tasks  int
	Target rooms.Target  // without room and age if the job follows an earlier copy
	Delay  time.Duration // that the move takes
}

// balances reports whether jobs of this host go to other data centres for room.
func (n *JobService) balances() bool {
	return n.Balance == rooms.DataCentres
}

// noteOwnRoom records the room of the shard that this host places, which was counted after the pulse was sent that m
// answers. It renews now, as the report is worth the more the younger it is, and from then on renewals follow the
// pulses. Pulses that follow each other at once, as tables change, cause one renewal.
func (n *JobService) noteOwnRoom(s *placerState, m msgs.Pulsed, now time.Time) {
	sent := s.sentAt(m.Answers)
	if !n.balances() || m.Host != n.Self || len(m.Rooms) == 0 || s.key.DataCentre != n.DataCentre || sent.IsZero() {
		return
	}
	n.ownRoom.at, n.ownRoom.report = sent, msgs.RoomReport{Epoch: m.Epoch, Rooms: m.Rooms}
	if now.Sub(n.ownRoom.renewedAt) >= pulseInterval/2 {
		n.ownRoom.renewedAt = now
		n.renew(now)
	}
}

// reportRoom adds to a renewal the room of the shard that this host places, unless its data centre is evacuated, and
// requests the rooms of other data centres.
func (n *JobService) reportRoom(m *msgs.HostRenew, now time.Time) {
	if !n.balances() {
		return
	}
	m.Balance = true
	r := &n.renewals
	r.count++
	m.Number = uint64(uint32(n.Incarnation)) + r.count // answers to a previous process have other numbers
	if m.Stamp, m.StampOf = r.stamp, r.stampOf; r.stamp > 0 {
		m.StampAge = now.Sub(r.stampedAt)
	}
	r.sent = append(r.sent, sentPulse{number: m.Number, sentAt: now})
	r.sent = slices.DeleteFunc(r.sent, func(p sentPulse) bool { return now.Sub(p.sentAt) > rooms.MaxAgeElsewhere })
	s, own := n.placers[n.Self], n.ownRoom
	if s == nil || s.idle || s.epoch != own.report.Epoch || now.Sub(own.at) > rooms.MaxAge || n.isEvacuated(n.DataCentre) || n.leaving {
		return
	}
	own.report.DataCentre, own.report.Shard, own.report.Age = s.key.DataCentre, s.key.Shard, now.Sub(own.at)
	own.report.Delay = s.roundTrip
	m.Room = &own.report
}

// learnElsewhere records the rooms of other data centres as the core's leader passes them on. The answer may arrive
// late, or be read late by a host that stood still, but it was sent after the renewal that it answers.
func (n *JobService) learnElsewhere(m msgs.HostRenewed, now time.Time) {
	if !n.balances() || m.Stamp == 0 {
		return
	}
	r := &n.renewals
	if m.Host != r.stampOf || m.Stamp > r.stamp {
		r.stamp, r.stampOf, r.stampedAt = m.Stamp, m.Host, now
	}
	i := slices.IndexFunc(r.sent, func(p sentPulse) bool { return p.number == m.Answers })
	if i < 0 {
		return
	}
	for _, report := range m.Rooms {
		p, ok := n.placements[model.ShardKey{DataCentre: report.DataCentre, Shard: report.Shard}]
		if ok && p.Epoch == report.Epoch && report.DataCentre != n.DataCentre && report.Age >= 0 {
			report.Age += now.Sub(r.sent[i].sentAt)
			n.elsewhere.Learn(report, now)
		}
	}
}

// usableElsewhere reports whether jobs may go for room to a shard of another data centre that reported under an epoch.
func (n *JobService) usableElsewhere(key model.ShardKey, epoch uint64, now time.Time) bool {
	p := n.placements[key]
	s := n.stateOf(p)
	return p.Epoch == epoch && !s.unavailable() && !n.isEvacuated(key.DataCentre) &&
		(s.unansweredSince.IsZero() || now.Sub(s.unansweredSince) < doubtAfter)
}

// nameElsewhere names in a handover the shard of another data centre that has room for a job.
func (n *JobService) nameElsewhere(j *openJob, now time.Time) {
	if !n.balances() {
		return
	}
	usable := func(key model.ShardKey, epoch uint64) bool { return n.usableElsewhere(key, epoch, now) }
	h := &j.handover
	target, ok := n.elsewhere.Choose(h.Job, h.Service, h.Tasks, usable, now)
	if !ok {
		return
	}
	h.RoomIn, h.RoomDataCentre = 1+target.Key.Shard, target.Key.DataCentre
	h.RoomDelay = n.moveDelay(n.placements[target.Key]) + max(target.Delay, 0)
	j.away = Away{Job: h.Job, Tasks: h.Tasks, Target: target, Delay: h.RoomDelay}
}

// moveDelay returns what a move to the placer of another data centre takes: a handover and an end, as long as a
// pulse and its answer.
func (n *JobService) moveDelay(p model.Placement) time.Duration {
	if s := n.stateOf(p); s != nil && s.roundTrip > 0 {
		return s.roundTrip
	}
	return assumedDelay
}

// measureRoundTrip includes the first answer to a pulse in the mean round trip of a placer of another data centre, and
// of that on this host: there it is the time that messages wait for processor time.
func (n *JobService) measureRoundTrip(host string, s *placerState, answers uint64, now time.Time) {
	sent := s.sentAt(answers)
	if s.key.DataCentre == n.DataCentre && host != n.Self || answers <= s.measured || sent.IsZero() {
		return
	}
	s.measured = answers
	took := now.Sub(sent)
	if s.roundTrip == 0 {
		s.roundTrip = took
	}
	s.roundTrip += time.Duration(delayGain * float64(took-s.roundTrip))
}

// needsProbe reports whether a silent placer of another data centre gets pulses, though no job is there: without an
// answer it would never get jobs for room again.
func (n *JobService) needsProbe(p model.Placement) bool {
	s := n.stateOf(p)
	return n.balances() && s != nil && s.silent
}

// returnsHome reports whether a job that moved to another data centre for room, and was refused there because that
// one is evacuated, goes back to its own shard, where its copies arrive.
func (n *JobService) returnsHome(j *openJob) bool {
	return j.moved && !j.returned && j.placement.DataCentre != n.DataCentre && !n.leftOut(j) && n.available(n.placements[n.ownKey(j.handover.Job)])
}
