package lists

import (
	"crypto/sha256"
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Kind is the kind of a log command.
type Kind int

// KindNone changes nothing; a new primary may commit such a command.
const (
	KindNone Kind = iota
	KindPut
)

// Command is one entry of the log.
type Command struct {
	Kind        Kind
	At          time.Time // clock of the primary, only displayed to operators
	List        string
	BaseVersion uint64 // version that the operator edited
	EditID      string // chosen by the operator's client; a resend has the same id
	Operator    string
	Text        string
}

// Result is the result of a command.
type Result struct {
	Version  uint64              // of both lists, after an accepted put or at the time of the refusal
	InForce  uint64              // version in which the command's list last changed
	Changed  bool                // false for a refusal and for a text equal to the active one
	Repeated bool                // result stored for an earlier edit with this id
	Refusal  *model.RefusalError // nil when accepted
}

// Digest is the hash of an edit's list, base version and text. It detects an edit
// id that is reused for another edit.
type Digest [sha256.Size]byte

func digestOf(c Command) Digest {
	return sha256.Sum256(fmt.Appendf(nil, "%q %d %q", c.List, c.BaseVersion, c.Text))
}
