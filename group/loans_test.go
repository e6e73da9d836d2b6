package group

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// TestSharesFollowLoans checks that a customer's share increases as soon as a loan is accepted, and
// decreases as soon as the loan ends.
func TestSharesFollowLoans(t *testing.T) {
	const amount = 10
	tests := map[string]struct {
		short time.Duration // how long the customer is short of quota
		lasts time.Duration // when the loan is still in use
	}{
		"returned without a shortage": {lasts: step},
		"loan expired":                {short: time.Hour, lasts: 50 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			n := f.members[f.primary()]
			for advanced := n.primary.logTimeAdvancedAt; advanced.Equal(n.primary.logTimeAdvancedAt); {
				f.run(step)
			}
			f.run(logTimeInterval / 2) // far from an advance of the log's time, which would hide a late update of the shares
			n.DataCentres = []string{"dc", "other"}
			l := &n.primary.loans
			before := n.primary.shares["halny"].MaxRunning
			l.shortAt["halny"] = f.now.Add(tt.short)
			l.borrower.AddRequest(quota.Request{ID: "r", Customer: "halny", Lender: "other", Borrower: "dc", SentAt: n.logTime(f.now)})
			n.Handle(msgs.LoanDone{ID: "r", Lent: true, Lender: "other", Loan: quota.Loan{
				ID: "r", Customer: "halny", Lender: "other", Borrower: "dc", Amount: quota.Limits{MaxRunning: amount},
			}})
			f.run(tt.lasts)
			if got := n.primary.shares["halny"].MaxRunning; got != before+amount {
				t.Errorf("the share with the loan is %d, want %d", got, before+amount)
			}
			for range time.Minute / step {
				if l.borrower.Allowance("halny", n.logTime(f.now)).MaxRunning == 0 {
					break
				}
				f.run(step)
			}
			f.run(loanCheckInterval)
			if got := n.primary.shares["halny"].MaxRunning; got != before {
				t.Errorf("the share after the loan is %d, want %d", got, before)
			}
		})
	}
}
