package group

import (
	"iter"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/quota"
	"dogwoodrock.example/dogwoodrock/replog"
)

const (
	maxCommands     = 512         // commands in one log entry
	logTimeInterval = time.Second // between moves of the log's time
	keptEpochs      = 3           // of sessions that were rotated out
	maxAnswerBytes  = 32 << 20    // of all stored answers
	maxClaims       = 350_000

	claimsPerChunk = 1000 // of a snapshot, encoded at a time
)

func (n *Node) newLog() *replog.Log[msgs.Entry, msgs.Effect] {
	return &replog.Log[msgs.Entry, msgs.Effect]{
		Replica: n.replica,
		Encode:  n.Codec.Entries,
		Decode:  n.Codec.FromEntries,
		Stamp:   n.stamp,
		Apply:   n.apply,
		Reset:   n.resetState,
		Install: n.install,
		Send: func(m quorum.Message) {
			_ = n.Send(m.To, msgs.ServiceGroup, m) // the protocol repeats what is lost
		},
		Fail:  n.Hooks.Failed,
		Batch: maxCommands,
	}
}

// enqueue has a command on claims committed.
func (n *Node) enqueue(c claim.Command, done func(claim.Result)) {
	n.log.Enqueue(msgs.Entry{Claim: &c}, func(e msgs.Effect) {
		if done != nil {
			done(e.Claim)
		}
	})
}

// enqueueQuota has a command on quotas committed.
func (n *Node) enqueueQuota(c quota.Command, done func(quota.Result)) {
	n.log.Enqueue(msgs.Entry{Quota: &c}, func(e msgs.Effect) {
		if done != nil {
			done(e.Quota)
		}
	})
}

// moveTime lets what is held expire, also while nothing else is committed: the
// time of the book and of the ledger moves only with commands.
func (n *Node) advanceLogTime(now time.Time) {
	if now.Sub(n.primary.logTimeAdvancedAt) < logTimeInterval {
		return
	}
	n.primary.logTimeAdvancedAt = now
	n.enqueue(claim.Command{Kind: claim.KindTick}, nil)
	n.enqueueQuota(quota.Command{Kind: quota.KindTick}, func(quota.Result) { n.setShares(n.Now()) })
}

func (n *Node) stamp(e *msgs.Entry, now time.Time) {
	if e.Claim != nil {
		e.Claim.At = n.logTime(now)
	}
	if e.Quota != nil {
		e.Quota.At = n.logTime(now)
	}
}

// clock returns the time in Unix nanoseconds as counted from the start of the
// process, so that a step of the system's clock ends no loan or window early.
func (n *Node) logTime(now time.Time) int64 {
	return n.startedAt.UnixNano() + int64(now.Sub(n.startedAt))
}

func (n *Node) apply(e msgs.Entry) msgs.Effect {
	var effect msgs.Effect
	if e.Claim != nil {
		effect.Claim = n.registry.Apply(*e.Claim)
		if e.Claim.Kind == claim.KindBegin {
			n.Hooks.Begun()
		}
	}
	if e.Quota != nil {
		effect.Quota = n.ledger.Apply(*e.Quota)
	}
	return effect
}

// resetState empties what the log drives.
func (n *Node) resetState() {
	n.registry = claim.New(n.Self.DataCentre,
		claim.WithBareKeyWindow(n.KeyWindow),
		claim.WithEpochs(keptEpochs, keptEpochs*n.SessionEpoch),
		claim.WithAnswers(n.KeyWindow, maxAnswerBytes),
		claim.WithMaxClaims(maxClaims, maxClaims))
	n.ledger = quota.NewLedger(n.Self.DataCentre, n.loanOptions()...)
}

// beginSnapshot copies the state and leaves the encoding to another task.
func (n *Node) beginSnapshot(op uint64) {
	claims, quotas := n.registry.Copy(), n.ledger.Snapshot()
	n.Spawn(func() any {
		data, err := n.Codec.Snapshot(snapshotChunks(claims, quotas))
		return encodedSnapshot{op: op, data: data, err: err}
	})
}

// snapshotted is the state after an operation, encoded.
type encodedSnapshot struct {
	op   uint64
	data []byte
	err  error
}

func (n *Node) finishSnapshot(m encodedSnapshot) {
	if m.err != nil {
		n.Hooks.Failed(m.err)
		return
	}
	n.replica.FinishSnapshot(m.op, m.data)
}

func snapshotChunks(claims *claim.Copy, quotas quota.Snapshot) iter.Seq[msgs.GroupSnapshot] {
	return func(yield func(msgs.GroupSnapshot) bool) {
		if !yield(msgs.GroupSnapshot{Quotas: quotas}) {
			return
		}
		for chunk := range claims.Parts(claimsPerChunk) {
			if !yield(msgs.GroupSnapshot{Claims: chunk}) {
				return
			}
		}
	}
}

func (n *Node) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	n.registry = claim.Restore(s.Claims)
	n.ledger = quota.Restore(s.Quotas)
	n.Hooks.Begun()
	return nil
}
