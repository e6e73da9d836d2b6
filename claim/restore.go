package claim

import (
	"cmp"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Restore returns a Registry in the state of a Snapshot. Commands applied to it have the same
// results and lead to the same state as in the Registry from which the Snapshot was taken.
func Restore(s Snapshot) *Registry {
	reg := newRegistry(s.Settings)
	reg.now, reg.seq, reg.fence, reg.view = s.Now, s.Seq, s.Fence, s.View
	reg.generation, reg.begun, reg.bareFrom = s.Generation, s.Begun, s.BareFrom
	reg.expiredEpochs = slices.Clone(s.ExpiredEpochs)
	for _, e := range s.Epochs {
		reg.restoreEpoch(e)
	}
	owners := reg.restoreMembers(s.Members)
	reg.restoreClaims(s.Claims, owners)
	for _, t := range s.KeyTombstones {
		reg.keyTombstones.set(t, s.Settings.MaxTombstones)
	}
	for _, t := range s.GroupTombstones {
		reg.groupTombstones.set(t, s.Settings.MaxTombstones)
	}
	return reg
}

func (reg *Registry) restoreEpoch(s SavedEpoch) {
	e := &epoch{number: s.Number, rotatedAt: s.RotatedAt, expired: s.Expired}
	for _, c := range s.Sessions {
		reg.addSession(&scope{name: c.Name, customer: reg.customer(c.Customer), epoch: e})
	}
	reg.epochs = append(reg.epochs, e)
}

type ownerKey struct {
	host        string
	incarnation uint64
}

// restoreMembers restores the members and returns the current owners.
func (reg *Registry) restoreMembers(states []SavedMember) map[ownerKey]*owner {
	owners := make(map[ownerKey]*owner)
	for _, s := range states {
		m := &member{retired: slices.Clone(s.Retired), leftAt: s.LeftAt}
		if s.Current {
			m.current = newOwner(s.Name, s.Incarnation)
			owners[ownerKey{s.Name, s.Incarnation}] = m.current
		}
		reg.members[s.Name] = m
	}
	return owners
}

// restoreClaims restores the claims in the order of Seq, then adds the ended ones to the queues of
// outcomes in the order of EndSeq.
func (reg *Registry) restoreClaims(states []SavedClaim, owners map[ownerKey]*owner) {
	var ended []*record
	for i := range states {
		r := reg.restoreClaim(&states[i], owners)
		if r.state() == model.JobRunning {
			reg.index(r)
		} else {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(x, y *record) int { return cmp.Compare(x.endSeq, y.endSeq) })
	for _, r := range ended {
		reg.restoreOutcome(r)
	}
}

func (reg *Registry) restoreClaim(s *SavedClaim, owners map[ownerKey]*owner) *record {
	r := &record{
		seq: s.Seq, endSeq: s.EndSeq, endedAt: s.EndedAt,
		scope: reg.restoreScope(s), group: s.Group,
		digest: s.Digest, answer: s.Answer, tasks: int32(s.Tasks), jobState: uint8(s.State),
		nonIdempotent: s.NonIdempotent, cancelled: s.Cancelled,
		prevented: s.Prevented, released: s.Released, unkeyed: s.Unkeyed,
	}
	r.setKeyAndJob(s.Key, s.Job)
	if r.job() != "" {
		r.owner = restoreOwner(s, owners)
		reg.byJob.add(r)
	}
	if !r.unkeyed {
		reg.byKey.add(r)
		if r.scope.epoch != nil {
			r.scope.epoch.claims.push(r)
		}
	}
	r.scope.customer.claims++
	reg.claimCount++
	return r
}

// restoreScope returns the scope of a claim. The session of an unkeyed claim may already be
// removed; then only its name is restored.
func (reg *Registry) restoreScope(s *SavedClaim) *scope {
	cu := reg.customer(s.Customer)
	if s.Session == "" {
		return cu.bare
	}
	if known := reg.sessions[s.Session]; known != nil {
		return known
	}
	return &scope{name: s.Session, customer: cu}
}

func restoreOwner(s *SavedClaim, owners map[ownerKey]*owner) *owner {
	k := ownerKey{s.Host, s.Incarnation}
	if owners[k] == nil {
		owners[k] = newOwner(s.Host, s.Incarnation)
	}
	return owners[k]
}

func (reg *Registry) restoreOutcome(r *record) {
	if r.answer != nil {
		reg.answered.push(r)
		reg.answerCount++
		reg.answerBytes += answerSize(r.answer)
	}
	if r.scope.epoch == nil || r.unkeyed {
		reg.retained.push(r)
	}
}
