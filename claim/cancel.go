package claim

import (
	"container/list"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Tombstone marks a key or a group as cancelled, so that submissions which arrive after the
// cancellation are refused.
type Tombstone struct {
	TombstoneKey
	Expires int64 // Unix nanoseconds
}

// TombstoneKey identifies what was cancelled: a key in a session, a bare key, or a group.
type TombstoneKey struct {
	Customer string
	Session  string
	Key      string
	Group    string
}

// tombstones is a set of tombstones with the same lifetime, ordered by expiry.
type tombstones struct {
	byKey map[TombstoneKey]*list.Element
	order *list.List
}

func newTombstones() tombstones {
	return tombstones{byKey: make(map[TombstoneKey]*list.Element), order: list.New()}
}

func (t *tombstones) len() int { return len(t.byKey) }

// set adds or renews a tombstone. It returns false if the set already holds limit entries.
func (t *tombstones) set(s Tombstone, limit int) bool {
	if e := t.byKey[s.TombstoneKey]; e != nil {
		e.Value = s
		t.order.MoveToBack(e)
		return true
	}
	if len(t.byKey) >= limit {
		return false
	}
	t.byKey[s.TombstoneKey] = t.order.PushBack(s)
	return true
}

func (t *tombstones) contains(k TombstoneKey, now int64) bool {
	if len(t.byKey) == 0 {
		return false
	}
	e := t.byKey[k]
	return e != nil && now < e.Value.(Tombstone).Expires
}

// sweep removes up to limit expired tombstones.
func (t *tombstones) sweep(now int64, limit int) {
	for ; limit > 0 && t.order.Len() > 0; limit-- {
		s := t.order.Front().Value.(Tombstone)
		if now < s.Expires {
			return
		}
		t.order.Remove(t.order.Front())
		delete(t.byKey, s.TombstoneKey)
	}
}

func (t *tombstones) list() []Tombstone {
	var all []Tombstone
	for e := t.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(Tombstone))
	}
	return all
}

// isTombstoned reports whether a submission's key or group was cancelled before it arrived.
func (reg *Registry) isTombstoned(c *Command) bool {
	if reg.keyTombstones.contains(TombstoneKey{Customer: c.Customer, Session: c.Session, Key: c.Key}, reg.now) {
		return true
	}
	return c.Group != "" && reg.groupTombstones.contains(TombstoneKey{Customer: c.Customer, Group: c.Group}, reg.now)
}

// cancelKey revokes the job of a key. It doesn't decide the outcome: the owner stops the job and
// finishes it as cancelled, unless the job has already ended. A key without a claim, or with
// a released one, gets a tombstone for KeyTombstoneWindow.
func (reg *Registry) cancelKey(c *Command) Result {
	if c.Customer == "" || c.Key == "" {
		return refusedUncertain(model.CodeBadRequest, "a cancel needs a customer and a key")
	}
	s, res, ok := reg.lookupScope(c.Customer, c.Session)
	if !ok {
		res.Refusal.NotRun = false
		return res
	}
	defer reg.removeIdleCustomer(s.customer)
	r := reg.recordByKey(s, c.Key)
	switch {
	case r == nil || r.released:
		return reg.setTombstone(&reg.keyTombstones, TombstoneKey{Customer: c.Customer, Session: c.Session, Key: c.Key}, reg.cfg.KeyTombstoneWindow)
	case r.prevented:
		return Result{Verdict: VerdictTombstoned}
	case r.state() != model.JobRunning:
		return outcomeResult(r)
	default:
		r.cancelled = true
		o := r.jobOwner()
		return Result{
			Verdict: VerdictRevoked, Job: o.Job, Host: o.Host, Incarnation: o.Incarnation,
			Revoked: []JobOwner{o},
		}
	}
}

// cancelGroup revokes the running jobs of a group and refuses submissions to it for
// GroupTombstoneWindow.
func (reg *Registry) cancelGroup(c *Command) Result {
	if c.Customer == "" || c.Group == "" {
		return refusedUncertain(model.CodeBadRequest, "a cancel needs a customer and a group")
	}
	res := reg.setTombstone(&reg.groupTombstones, TombstoneKey{Customer: c.Customer, Group: c.Group}, reg.cfg.GroupTombstoneWindow)
	cu := reg.customers[c.Customer]
	if cu == nil || res.Verdict == VerdictRefused {
		return res
	}
	for _, r := range reg.byGroup[groupKey{cu, c.Group}].sorted() {
		r.cancelled = true
		res.Verdict = VerdictRevoked
		res.Revoked = append(res.Revoked, r.jobOwner())
	}
	return res
}

// setTombstone adds or renews a tombstone that expires after window.
func (reg *Registry) setTombstone(t *tombstones, k TombstoneKey, window time.Duration) Result {
	if !t.set(Tombstone{TombstoneKey: k, Expires: reg.now + int64(window)}, reg.cfg.MaxTombstones) {
		return refusedUncertain(model.CodeOverloaded, "the table of cancelled keys and groups is full")
	}
	return Result{Verdict: VerdictTombstoned}
}
