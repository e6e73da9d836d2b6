package quota

import (
	"cmp"
	"maps"
	"slices"
)

// Borrower keeps the requests and loans of a data centre on the side that
// borrows. It belongs to the primary and is not replicated: a new primary
// begins without loans, and the lenders' parts come back to them in time.
type Borrower struct {
	cfg     Settings
	pending map[string]Request
	held    map[string][]heldLoan // by customer, in the order of acceptance
}

type heldLoan struct {
	Loan
	sentAt int64
}

// NewBorrower returns a Borrower without loans.
func NewBorrower(opts ...Option) *Borrower {
	return &Borrower{
		cfg:     newSettings(opts),
		pending: make(map[string]Request),
		held:    make(map[string][]heldLoan),
	}
}

// Ask notes a request before it is sent. To send it again, send the same one.
func (b *Borrower) AddRequest(r Request) {
	b.pending[r.ID] = r
}

// Pending tells whether a request of the customer waits for its reply.
func (b *Borrower) HasPending(customer string) bool {
	for _, r := range b.pending {
		if r.Customer == customer {
			return true
		}
	}
	return false
}

// Unanswered returns the requests without a reply, to be sent again.
func (b *Borrower) PendingRequests() []Request {
	return slices.SortedFunc(maps.Values(b.pending), func(x, y Request) int { return cmp.Compare(x.ID, y.ID) })
}

// Refused forgets a request that the lender has refused.
func (b *Borrower) RemoveRequest(id string) {
	delete(b.pending, id)
}

// Accept takes a loan into use. It returns false for a loan that is not asked
// for any more; its time runs out by itself.
func (b *Borrower) Accept(l Loan) bool {
	r, ok := b.pending[l.ID]
	if !ok || r.Lender != l.Lender || r.Customer != l.Customer {
		return false
	}
	delete(b.pending, l.ID)
	b.held[l.Customer] = append(b.held[l.Customer], heldLoan{Loan: l, sentAt: r.SentAt})
	return true
}

// Holds tells whether any loan is held.
func (b *Borrower) HasLoans() bool {
	return len(b.held) > 0
}

// Allowance returns the loans of a customer that count for starting tasks. A
// task must end within Drain; then none runs on a loan after its end.
func (b *Borrower) Allowance(customer string, now int64) Limits {
	var sum Limits
	for _, h := range b.held[customer] {
		if b.usable(h, now) {
			sum = sum.Plus(h.Amount)
		}
	}
	return sum
}

// counts tells whether a task that is started on the loan now ends before it.
func (b *Borrower) usable(h heldLoan, now int64) bool {
	return now < b.expiresAt(h)-int64(b.cfg.Drain)
}

// Sweep forgets loans that have ended and requests without a reply in time.
func (b *Borrower) Sweep(now int64) {
	for customer, list := range b.held {
		b.filterLoans(customer, list, func(h heldLoan) bool { return now < b.expiresAt(h) })
	}
	for id, r := range b.pending {
		if now >= r.SentAt+int64(b.cfg.LoanTime) {
			delete(b.pending, id)
		}
	}
}

// Surplus gives up the loans without which a customer's use stays within what
// remains, and returns them to be sent back. own is what the data centre may use
// without borrowing. Only loans that still count for starting tasks cover the
// use; the others may end before it does.
func (b *Borrower) ReleaseSurplus(customer string, own, inUse Limits, now int64) []Loan {
	total := b.Allowance(customer, now)
	var surplus []Loan
	b.filterLoans(customer, b.held[customer], func(h heldLoan) bool {
		rest := total
		if b.usable(h, now) {
			rest = total.Minus(h.Amount)
		}
		if !inUse.Within(own.Plus(rest)) {
			return true
		}
		total = rest
		surplus = append(surplus, h.Loan)
		return false
	})
	return surplus
}

// end returns when a loan is over by the borrower's clock.
func (b *Borrower) expiresAt(h heldLoan) int64 {
	return h.sentAt + int64(b.cfg.LoanTime-b.cfg.Margin)
}

func (b *Borrower) filterLoans(customer string, list []heldLoan, keep func(heldLoan) bool) {
	var kept []heldLoan
	for _, h := range list {
		if keep(h) {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		delete(b.held, customer)
		return
	}
	b.held[customer] = kept
}
