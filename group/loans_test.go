package group

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// TestSharesFollowLoans borrows for a customer. Its share goes up at once and
// down again when the loan is over.
func TestSharesFollowLoans(t *testing.T) {
	const amount = 10
	tests := map[string]struct {
		short time.Duration // for which the customer is taken to be short
		lasts time.Duration // at which the loan still counts
	}{
		"given back without want": {lasts: step},
		"ended by time":           {short: time.Hour, lasts: 50 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			n := f.nodes[f.primary()]
			for advanced := n.primary.logTimeAdvancedAt; advanced.Equal(n.primary.logTimeAdvancedAt); {
				f.run(step)
			}
			f.run(logTimeInterval / 2) // so that a move of the log's time doesn't hide a late share
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
