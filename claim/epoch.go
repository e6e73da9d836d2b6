package claim

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// maxExpiredEpochs is the number of expired epochs whose sessions are still distinguished from
// unknown ones.
const maxExpiredEpochs = 64

// epoch holds the sessions that were opened between two rotations, and their claims.
type epoch struct {
	number    uint64
	rotatedAt int64 // Unix nanoseconds; 0 for the current epoch
	expired   bool
	sessions  queue[*scope]
	claims    queue[*record]
}

// rotate starts a new epoch. Sessions of the previous epoch remain valid for EpochWindow.
func (reg *Registry) rotate(c *Command) Result {
	if !reg.begun {
		return refusedNotRun(model.CodeUnavailable, "the group has not begun")
	}
	current := reg.currentEpoch()
	if current.number == c.Epoch {
		return Result{}
	}
	if reg.epochUsed(c.Epoch) {
		return refusedNotRun(model.CodeConflict, "the epoch was used before")
	}
	if reg.activeEpochs() > reg.cfg.KeptEpochs {
		return refusedNotRun(model.CodeOverloaded, "earlier epochs have not expired yet")
	}
	current.rotatedAt = reg.now
	reg.epochs = append(reg.epochs, &epoch{number: c.Epoch})
	return Result{}
}

func (reg *Registry) currentEpoch() *epoch {
	return reg.epochs[len(reg.epochs)-1]
}

func (reg *Registry) epochUsed(number uint64) bool {
	known := func(e *epoch) bool { return e.number == number }
	return slices.Contains(reg.expiredEpochs, number) || slices.ContainsFunc(reg.epochs, known)
}

// activeEpochs returns the number of epochs whose sessions are still valid.
func (reg *Registry) activeEpochs() int {
	n := 0
	for _, e := range reg.epochs {
		if !e.expired {
			n++
		}
	}
	return n
}

// expireEpochs marks the epochs that are past EpochWindow as expired, which makes their sessions
// invalid.
func (reg *Registry) expireEpochs() {
	for _, e := range reg.epochs[:max(len(reg.epochs)-1, 0)] {
		if e.expired || reg.now < e.rotatedAt+int64(reg.cfg.EpochWindow) {
			continue
		}
		e.expired = true
		reg.expiredEpochs = append(reg.expiredEpochs, e.number)
		if len(reg.expiredEpochs) > maxExpiredEpochs {
			reg.expiredEpochs = slices.Delete(reg.expiredEpochs, 0, 1)
		}
	}
}

// openSession opens a session in the current epoch. A repeated command gets the same session.
func (reg *Registry) openSession(c *Command) Result {
	if !reg.begun {
		return refusedNotRun(model.CodeUnavailable, "the group has not begun")
	}
	if c.Customer == "" {
		return refusedNotRun(model.CodeBadRequest, "a session needs a customer")
	}
	e := reg.currentEpoch()
	name := FormatSession(SessionName{DataCentre: reg.cfg.DataCentre, Epoch: e.number, ID: c.ID})
	if s := reg.sessions[name]; s != nil {
		if s.customer.name != c.Customer {
			return refusedNotRun(model.CodeConflict, "the id of the session is in use")
		}
		return Result{Verdict: VerdictOpened, Session: name}
	}
	cu := reg.customer(c.Customer)
	if cu.sessions >= reg.cfg.MaxSessionsPerCustomer {
		return refusedNotRun(model.CodeOverloaded, "the customer has too many sessions")
	}
	reg.addSession(&scope{name: name, customer: cu, epoch: e})
	return Result{Verdict: VerdictOpened, Session: name}
}

func (reg *Registry) addSession(s *scope) {
	s.customer.sessions++
	s.epoch.sessions.push(s)
	reg.sessions[s.name] = s
}

// lookupScope returns the scope of a key. If the session is not valid, it returns false and a
// Result with the refusal.
func (reg *Registry) lookupScope(customerName, session string) (*scope, Result, bool) {
	if session == "" {
		return reg.customer(customerName).bare, Result{}, true
	}
	s := reg.sessions[session]
	if s == nil {
		return nil, reg.missingSessionResult(session), false
	}
	if s.epoch.expired {
		return nil, expiredSessionResult(), false
	}
	if s.customer.name != customerName {
		return nil, refusedNotRun(model.CodeSessionUnknown, "the customer has no such session"), false
	}
	return s, Result{}, true
}

// missingSessionResult distinguishes a session that was never opened from one whose jobs may have
// run. All sessions of an epoch that has not expired are in memory, so only there does a missing
// entry prove that the session was never opened.
func (reg *Registry) missingSessionResult(session string) Result {
	n, err := ParseSession(session)
	if err != nil {
		return refusedNotRun(model.CodeSessionUnknown, "the name of the session is malformed")
	}
	if n.DataCentre != reg.cfg.DataCentre {
		return refusedUncertain(model.CodeSessionUnknown, "the session belongs to another data centre")
	}
	if slices.Contains(reg.expiredEpochs, n.Epoch) {
		return expiredSessionResult()
	}
	if reg.epochUsed(n.Epoch) {
		return refusedNotRun(model.CodeSessionUnknown, "the session was never opened")
	}
	return refusedUncertain(model.CodeOutcomeUnknown, "the session is older than what the data centre remembers")
}

func expiredSessionResult() Result {
	return refusedUncertain(model.CodeSessionExpired, "the session has expired; earlier submissions in it may have run")
}
