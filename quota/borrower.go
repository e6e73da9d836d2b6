package quota

import (
	"cmp"
	"maps"
	"slices"
)

// Borrower tracks the loan requests and the loans of the data centre that borrows. It belongs to
// the primary and is not replicated: a new primary starts without loans, and the outstanding ones
// expire at their lenders.
type Borrower struct {
	cfg     Settings
	pending map[string]Request
	held    map[string][]heldLoan // by customer, in the order in which they were accepted
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

// AddRequest records a request. Call it before the request is sent; a retry must send the same
// request, with the same ID.
func (b *Borrower) AddRequest(r Request) {
	b.pending[r.ID] = r
}

// HasPending reports whether a request for the customer is waiting for its reply.
func (b *Borrower) HasPending(customer string) bool {
	for _, r := range b.pending {
		if r.Customer == customer {
			return true
		}
	}
	return false
}

// PendingRequests returns the requests without a reply, sorted by ID, so that they can be sent
// again.
func (b *Borrower) PendingRequests() []Request {
	return slices.SortedFunc(maps.Values(b.pending), func(x, y Request) int { return cmp.Compare(x.ID, y.ID) })
}

// RemoveRequest removes a request that the lender has refused.
func (b *Borrower) RemoveRequest(id string) {
	delete(b.pending, id)
}

// Accept adds a loan that was granted. It returns false if the loan has no pending request; such a
// loan is not used and expires at its lender.
func (b *Borrower) Accept(l Loan) bool {
	r, ok := b.pending[l.ID]
	if !ok || r.Lender != l.Lender || r.Customer != l.Customer {
		return false
	}
	delete(b.pending, l.ID)
	b.held[l.Customer] = append(b.held[l.Customer], heldLoan{Loan: l, sentAt: r.SentAt})
	return true
}

// HasLoans reports whether there is any loan.
func (b *Borrower) HasLoans() bool {
	return len(b.held) > 0
}

// Allowance returns the sum of a customer's loans on which tasks may be started now. A loan is not
// used for new tasks in its last Drain, the maximum run time of a task, so that no task runs on a
// loan after it has expired.
func (b *Borrower) Allowance(customer string, now int64) Limits {
	var sum Limits
	for _, h := range b.held[customer] {
		if b.usable(h, now) {
			sum = sum.Plus(h.Amount)
		}
	}
	return sum
}

// usable reports whether a task that is started now ends before the loan expires.
func (b *Borrower) usable(h heldLoan, now int64) bool {
	return now < b.expiresAt(h)-int64(b.cfg.Drain)
}

// Sweep removes expired loans, and requests that have had no reply within LoanTime.
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

// ReleaseSurplus removes the loans that a customer's current use doesn't need, and returns them so
// that they can be returned to their lenders. own is what the data centre may use without
// borrowing. Only loans that are still usable for new tasks cover the use; the others may expire
// before it ends.
func (b *Borrower) ReleaseSurplus(customer string, own, inUse Limits, now int64) []Loan {
	total := b.Allowance(customer, now)
	var surplus []Loan
	b.filterLoans(customer, b.held[customer], func(h heldLoan) bool {
		remaining := total
		if b.usable(h, now) {
			remaining = total.Minus(h.Amount)
		}
		if !inUse.Within(own.Plus(remaining)) {
			return true
		}
		total = remaining
		surplus = append(surplus, h.Loan)
		return false
	})
	return surplus
}

// expiresAt returns when a loan expires, by the borrower's clock.
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
