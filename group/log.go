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
	maxCommands     = 512         // maximum number of commands in one log entry
	logTimeInterval = time.Second // between commands that advance the log's time
	keptEpochs      = 3           // number of previous session epochs that are kept
	maxAnswerBytes  = 32 << 20    // total size of the stored answers
	maxClaims       = 350_000

	claimsPerChunk = 1000 // in one chunk of a snapshot; chunks are encoded one by one
)

func (n *Member) newLog() *replog.Log[msgs.Entry, msgs.Effect] {
	return &replog.Log[msgs.Entry, msgs.Effect]{
		Replica: n.replica,
		Encode:  n.Codec.Entries,
		Decode:  n.Codec.FromEntries,
		Stamp:   n.stamp,
		Apply:   n.apply,
		Reset:   n.resetState,
		Install: n.install,
		Send: func(m quorum.Message) {
			_ = n.Send(m.To, msgs.ServiceGroup, m) // the protocol retransmits lost messages
		},
		Fail:  n.Hooks.Failed,
		Batch: maxCommands,
	}
}

// enqueue queues a command on claims. The callback done, which may be nil, receives the result if
// the command commits while this host is the primary.
func (n *Member) enqueue(c claim.Command, done func(claim.Result)) {
	n.log.Enqueue(msgs.Entry{Claim: &c}, func(e msgs.Effect) {
		if done != nil {
			done(e.Claim)
		}
	})
}

// enqueueQuota queues a command on quotas. The callback done is as in enqueue.
func (n *Member) enqueueQuota(c quota.Command, done func(quota.Result)) {
	n.log.Enqueue(msgs.Entry{Quota: &c}, func(e msgs.Effect) {
		if done != nil {
			done(e.Quota)
		}
	})
}

// advanceLogTime makes claims and loans expire even if no other command commits: the time of the
// registry and of the ledger only advances with commands.
func (n *Member) advanceLogTime(now time.Time) {
	if now.Sub(n.primary.logTimeAdvancedAt) < logTimeInterval {
		return
	}
	n.primary.logTimeAdvancedAt = now
	n.enqueue(claim.Command{Kind: claim.KindTick}, nil)
	n.enqueueQuota(quota.Command{Kind: quota.KindTick}, func(quota.Result) { n.setShares(n.Now()) })
}

func (n *Member) stamp(e *msgs.Entry, now time.Time) {
	if e.Claim != nil {
		e.Claim.At = n.logTime(now)
	}
	if e.Quota != nil {
		e.Quota.At = n.logTime(now)
	}
}

// logTime returns the time in Unix nanoseconds. It is derived from the monotonic time since the
// start of the process, so that a step of the system clock can't end a loan or a window early.
func (n *Member) logTime(now time.Time) int64 {
	return n.startedAt.UnixNano() + int64(now.Sub(n.startedAt))
}

func (n *Member) apply(e msgs.Entry) msgs.Effect {
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

// resetState resets the state machines driven by the log to empty.
func (n *Member) resetState() {
	n.registry = claim.New(n.Self.DataCentre,
		claim.WithBareKeyWindow(n.KeyWindow),
		claim.WithEpochs(keptEpochs, keptEpochs*n.SessionEpoch),
		claim.WithAnswers(n.KeyWindow, maxAnswerBytes),
		claim.WithMaxClaims(maxClaims, maxClaims))
	n.ledger = quota.NewLedger(n.Self.DataCentre, n.loanOptions()...)
}

// beginSnapshot copies the state and encodes it in another task.
func (n *Member) beginSnapshot(op uint64) {
	claims, quotas := n.registry.Copy(), n.ledger.Snapshot()
	n.Spawn(func() any {
		data, err := n.Codec.Snapshot(snapshotChunks(claims, quotas))
		return encodedSnapshot{op: op, data: data, err: err}
	})
}

// encodedSnapshot is the result of beginSnapshot: the encoded state after operation op.
type encodedSnapshot struct {
	op   uint64
	data []byte
	err  error
}

func (n *Member) finishSnapshot(m encodedSnapshot) {
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

func (n *Member) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	n.registry = claim.Restore(s.Claims)
	n.ledger = quota.Restore(s.Quotas)
	n.Hooks.Begun()
	return nil
}
