package quota

import "testing"

func TestBorrower(t *testing.T) {
	cfg := DefaultSettings()
	end := int64(cfg.LoanTime - cfg.Margin)
	drainFrom := end - int64(cfg.Drain)
	firstRequest := Request{ID: "l1", Customer: customer, Lender: "jinju"}
	secondRequest := Request{ID: "l2", Customer: customer, Lender: "jinju", SentAt: 10}
	loan := func(id string, n int) Loan {
		return Loan{ID: id, Customer: customer, Lender: "jinju", Amount: Limits{MaxRunning: n}}
	}
	both := []Loan{loan("l2", 3), loan("l1", 5)}
	tests := map[string]struct {
		replies   []Loan
		refused   string
		now       int64
		inUse     int // the data centre's own allowance is 2
		allowed   int
		surplus   int
		pending   int
		remaining int // loans after ReleaseSurplus
	}{
		"no reply":                               {pending: 2},
		"no reply in time":                       {now: int64(cfg.LoanTime), pending: 1},
		"a refusal":                              {refused: "l1", pending: 1},
		"a loan in use":                          {replies: both[1:], inUse: 7, allowed: 5, pending: 1, remaining: 1},
		"a duplicate reply":                      {replies: []Loan{both[1], both[1]}, inUse: 7, allowed: 5, pending: 1, remaining: 1},
		"a reply of another data centre":         {replies: []Loan{{ID: "l1", Customer: customer, Lender: "busan"}}, pending: 2},
		"one loan is enough":                     {replies: both, inUse: 7, allowed: 8, surplus: 1, remaining: 1},
		"none is needed":                         {replies: both, inUse: 2, allowed: 8, surplus: 2},
		"a loan in its last Drain covers no use": {replies: both, now: drainFrom, inUse: 6, allowed: 3, remaining: 2},
		"a loan in its last Drain is released":   {replies: both, now: drainFrom, inUse: 5, allowed: 3, surplus: 1, remaining: 1},
		"an expired loan":                        {replies: both, now: end, inUse: 5, remaining: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBorrower()
			b.AddRequest(firstRequest)
			b.AddRequest(secondRequest)
			b.RemoveRequest(tc.refused)
			for _, l := range tc.replies {
				b.Accept(l)
			}
			b.Sweep(tc.now)
			allowed := b.Allowance(customer, tc.now).MaxRunning
			surplus := b.ReleaseSurplus(customer, Limits{MaxRunning: 2}, Limits{MaxRunning: tc.inUse}, tc.now)
			pending := len(b.PendingRequests())
			if allowed != tc.allowed || len(surplus) != tc.surplus || pending != tc.pending || len(b.held[customer]) != tc.remaining {
				t.Errorf("got %d allowed, %d surplus, %d pending, %d remaining; want %+v",
					allowed, len(surplus), pending, len(b.held[customer]), tc)
			}
			if got := b.HasPending(customer); got != (pending > 0) {
				t.Errorf("got pending %t with %d requests", got, pending)
			}
		})
	}
}
