package msgs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
)

// ListsKind is the operation that a ListsAsk requests.
type ListsKind int

// The kinds of a ListsAsk.
const (
	ListsPut     ListsKind = iota + 1 // replaces a list
	ListsText                         // returns the text of a list at a version
	ListsHistory                      // returns the changes and who made them
)

// ListsAsk is a request to the lists group.
type ListsAsk struct {
	Request     uint64
	Host        string
	Kind        ListsKind
	Hops        int // number of times it was forwarded to the primary
	List        string
	BaseVersion uint64
	EditID      string
	Operator    string
	Text        string
	Version     uint64
}

// ListsDone answers a ListsAsk.
type ListsDone struct {
	Request uint64
	Version uint64
	InForce uint64 // version in which the list last changed
	Refusal *model.RefusalError
	Text    string
	Changes []lists.Change
}

// ListsUpdate carries a committed version of the lists.
type ListsUpdate struct {
	Update      lists.Update
	CommittedAt time.Time // by the clock of the lists group's primary, zero if unknown
}

// UsageAsk requests a customer's usage from a data centre's primary.
type UsageAsk struct {
	Request  uint64
	Host     string
	Customer string
}

// UsageDone answers a UsageAsk.
type UsageDone struct {
	Request         uint64
	DataCentre      string
	Known           bool // this host is the primary, so that the values are valid
	Running         int
	Queued          int
	MaxRunning      int
	StartsPerSecond int
	Granted         uint64
	Refused         []CodeCount
}

// CodeCount is the number of refusals with a code.
type CodeCount struct {
	Code  model.Code
	Count uint64
}
