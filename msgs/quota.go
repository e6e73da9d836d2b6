package msgs

import (
	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/quota"
)

// Entry is one command of a data-centre group's log: exactly one field is set.
type Entry struct {
	Claim *claim.Command
	Quota *quota.Command
}

// Effect is the result of an Entry.
type Effect struct {
	Claim claim.Result
	Quota quota.Result
}

// GroupSnapshot is a snapshot, or a chunk of one, of the state machines of a data-centre group.
type GroupSnapshot struct {
	Claims claim.Snapshot
	Quotas quota.Snapshot
}

// LoanAsk requests another data centre to lend a part of a customer's share. Any host there forwards
// it to its primary.
type LoanAsk struct {
	Request quota.Request
	Host    string // primary of the borrower
	Hops    int    // number of times it was forwarded
}

// LoanDone answers a LoanAsk.
type LoanDone struct {
	ID     string
	Lent   bool
	Loan   quota.Loan
	Lender string
	Spare  quota.Limits // spare quota of the lender after the loan
}

// LoanReturn returns a loan before it expires.
type LoanReturn struct {
	Loan quota.Loan
	Hops int
}
