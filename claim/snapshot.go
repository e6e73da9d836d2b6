package claim

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Snapshot is the complete state of a Registry in plain structs. Two Registries that applied the
// same commands have equal snapshots. Answers are shared with the Registry and must not be
// modified.
type Snapshot struct {
	Settings        Settings
	Now             int64
	Seq             uint64
	Fence           uint64
	View            uint64
	Generation      uint64
	Begun           bool
	BareFrom        int64
	Epochs          []SavedEpoch // oldest first
	ExpiredEpochs   []uint64     // oldest first
	Members         []SavedMember
	Claims          []SavedClaim // by Seq
	KeyTombstones   []Tombstone  // by expiry
	GroupTombstones []Tombstone
}

// SavedEpoch is an epoch in a Snapshot.
type SavedEpoch struct {
	Number    uint64
	RotatedAt int64
	Expired   bool
	Sessions  []SavedSession // in the order in which they were opened
}

// SavedSession is a session in a Snapshot.
type SavedSession struct {
	Name     string
	Customer string
}

// SavedMember is a host in a Snapshot.
type SavedMember struct {
	Name        string
	Current     bool // Incarnation is a current member
	Incarnation uint64
	Retired     []uint64 // latest last
	LeftAt      int64
}

// SavedClaim is a claim in a Snapshot.
type SavedClaim struct {
	Seq           uint64
	EndSeq        uint64
	EndedAt       int64
	Customer      string
	Session       string
	Key           string
	Group         string
	Job           string
	Digest        [16]byte
	Host          string
	Incarnation   uint64
	Tasks         int
	State         model.JobState
	NonIdempotent bool
	Cancelled     bool          // cancelled while the job was running
	Prevented     bool          // cancelled before the submission
	Released      bool          // the key was released before any task started
	Unkeyed       bool          // the epoch has expired
	Answer        *model.Answer // nil while the job is running and after eviction
}

// Snapshot returns the state of the Registry.
func (reg *Registry) Snapshot() Snapshot {
	return reg.Copy().Snapshot()
}

// Copy is a point-in-time copy of a Registry's state. Another goroutine can turn it into a Snapshot
// while the Registry continues to apply commands.
type Copy struct {
	base    Snapshot // without the claims
	records []record
}

// Copy returns a point-in-time copy of the state.
func (reg *Registry) Copy() *Copy {
	return &Copy{base: reg.snapshotWithoutClaims(), records: reg.copyRecords()}
}

// Snapshot returns the copied state.
func (c *Copy) Snapshot() Snapshot {
	s := c.base
	for part := range c.Parts(max(len(c.records), 1)) {
		s.Claims = part.Claims
	}
	return s
}

// Parts returns the copied state in parts: the first part has everything but the claims, each later
// part has up to size claims and nothing else.
func (c *Copy) Parts(size int) iter.Seq[Snapshot] {
	return func(yield func(Snapshot) bool) {
		slices.SortFunc(c.records, func(x, y record) int { return cmp.Compare(x.seq, y.seq) })
		if !yield(c.base) {
			return
		}
		for records := range slices.Chunk(c.records, size) {
			part := Snapshot{Claims: make([]SavedClaim, 0, len(records))}
			for i := range records {
				part.Claims = append(part.Claims, records[i].saved())
			}
			if !yield(part) {
				return
			}
		}
	}
}

func (reg *Registry) snapshotWithoutClaims() Snapshot {
	s := Snapshot{
		Settings:        reg.cfg,
		Now:             reg.now,
		Seq:             reg.seq,
		Fence:           reg.fence,
		View:            reg.view,
		Generation:      reg.generation,
		Begun:           reg.begun,
		BareFrom:        reg.bareFrom,
		ExpiredEpochs:   slices.Clone(reg.expiredEpochs),
		Members:         reg.savedMembers(),
		KeyTombstones:   reg.keyTombstones.list(),
		GroupTombstones: reg.groupTombstones.list(),
	}
	for _, e := range reg.epochs {
		s.Epochs = append(s.Epochs, e.saved())
	}
	return s
}

func (e *epoch) saved() SavedEpoch {
	s := SavedEpoch{Number: e.number, RotatedAt: e.rotatedAt, Expired: e.expired}
	for _, c := range e.sessions.items[e.sessions.head:] {
		s.Sessions = append(s.Sessions, SavedSession{Name: c.name, Customer: c.customer.name})
	}
	return s
}

func (reg *Registry) savedMembers() []SavedMember {
	var list []SavedMember
	for _, name := range slices.Sorted(maps.Keys(reg.members)) {
		m := reg.members[name]
		s := SavedMember{Name: name, Retired: slices.Clone(m.retired), LeftAt: m.leftAt}
		if m.current != nil {
			s.Current, s.Incarnation = true, m.current.incarnation
		}
		list = append(list, s)
	}
	return list
}

func (reg *Registry) copyRecords() []record {
	list := make([]record, 0, reg.claimCount)
	for r := range reg.byJob.all {
		list = append(list, *r)
	}
	for r := range reg.byKey.all {
		if r.job() == "" {
			list = append(list, *r)
		}
	}
	return list
}

func (r *record) saved() SavedClaim {
	o := r.jobOwner()
	return SavedClaim{
		Seq:           r.seq,
		EndSeq:        r.endSeq,
		EndedAt:       r.endedAt,
		Customer:      r.scope.customer.name,
		Session:       r.scope.name,
		Key:           r.key(),
		Group:         r.group,
		Job:           r.job(),
		Digest:        r.digest,
		Host:          o.Host,
		Incarnation:   o.Incarnation,
		Tasks:         int(r.tasks),
		State:         r.state(),
		NonIdempotent: r.nonIdempotent,
		Cancelled:     r.cancelled,
		Prevented:     r.prevented,
		Released:      r.released,
		Unkeyed:       r.unkeyed,
		Answer:        r.answer,
	}
}
