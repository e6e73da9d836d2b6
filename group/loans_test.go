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
		wanted time.Duration // for which the customer is taken to be short
		lasts  time.Duration // at which the loan still counts
	}{
		"given back without want": {lasts: step},
		"ended by time":           {wanted: time.Hour, lasts: 50 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			n := w.nodes[w.primary()]
			for moved := n.leading.timeMoved; moved.Equal(n.leading.timeMoved); {
				w.run(step)
			}
			w.run(timeStep / 2) // so that a move of the log's time doesn't hide a late share
			n.DataCentres = []string{"dc", "other"}
			l := &n.leading.loans
			before := n.leading.shares["halny"].MaxRunning
			l.wanted["halny"] = w.now.Add(tt.wanted)
			l.borrower.AddRequest(quota.Request{ID: "r", Customer: "halny", Lender: "other", Borrower: "dc", SentAt: n.clock(w.now)})
			n.Handle(msgs.LoanDone{ID: "r", Lent: true, Lender: "other", Loan: quota.Loan{
				ID: "r", Customer: "halny", Lender: "other", Borrower: "dc", Amount: quota.Limits{MaxRunning: amount},
			}})
			w.run(tt.lasts)
			if got := n.leading.shares["halny"].MaxRunning; got != before+amount {
				t.Errorf("the share with the loan is %d, want %d", got, before+amount)
			}
			for range time.Minute / step {
				if l.borrower.Allowance("halny", n.clock(w.now)).MaxRunning == 0 {
					break
				}
				w.run(step)
			}
			w.run(tendInterval)
			if got := n.leading.shares["halny"].MaxRunning; got != before {
				t.Errorf("the share after the loan is %d, want %d", got, before)
			}
		})
	}
}
