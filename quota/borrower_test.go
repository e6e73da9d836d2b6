package quota

import "testing"

func TestBorrower(t *testing.T) {
	set := DefaultSettings()
	end := int64(set.LoanTime - set.Margin)
	drain := end - int64(set.Drain)
	asked := Request{ID: "l1", Customer: customer, Lender: "jinju"}
	later := Request{ID: "l2", Customer: customer, Lender: "jinju", SentAt: 10}
	loan := func(id string, n int) Loan {
		return Loan{ID: id, Customer: customer, Lender: "jinju", Amount: Limits{MaxRunning: n}}
	}
	both := []Loan{loan("l2", 3), loan("l1", 5)}
	tests := map[string]struct {
		replies  []Loan
		refused  string
		now      int64
		inUse    int // the own allowance is 2
		allowed  int
		surplus  int
		pending  int
		leftOver int // loans after the surplus
	}{
		"no reply":                {pending: 2},
		"no reply for long":       {now: int64(set.LoanTime), pending: 1},
		"a refusal":               {refused: "l1", pending: 1},
		"a loan in use":           {replies: both[1:], inUse: 7, allowed: 5, pending: 1, leftOver: 1},
		"a reply that came twice": {replies: []Loan{both[1], both[1]}, inUse: 7, allowed: 5, pending: 1, leftOver: 1},
		"a reply of another":      {replies: []Loan{{ID: "l1", Customer: customer, Lender: "busan"}}, pending: 2},
		"one loan is enough":      {replies: both, inUse: 7, allowed: 8, surplus: 1, leftOver: 1},
		"none is needed":          {replies: both, inUse: 2, allowed: 8, surplus: 2},
		"draining covers nothing": {replies: both, now: drain, inUse: 6, allowed: 3, leftOver: 2},
		"draining is not needed":  {replies: both, now: drain, inUse: 5, allowed: 3, surplus: 1, leftOver: 1},
		"a loan that has ended":   {replies: both, now: end, inUse: 5, leftOver: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBorrower()
			b.AddRequest(asked)
			b.AddRequest(later)
			b.RemoveRequest(tc.refused)
			for _, l := range tc.replies {
				b.Accept(l)
			}
			b.Sweep(tc.now)
			allowed := b.Allowance(customer, tc.now).MaxRunning
			surplus := b.ReleaseSurplus(customer, Limits{MaxRunning: 2}, Limits{MaxRunning: tc.inUse}, tc.now)
			pending := len(b.PendingRequests())
			if allowed != tc.allowed || len(surplus) != tc.surplus || pending != tc.pending || len(b.held[customer]) != tc.leftOver {
				t.Errorf("got %d allowed, %d surplus, %d pending, %d left; want %+v",
					allowed, len(surplus), pending, len(b.held[customer]), tc)
			}
			if got := b.HasPending(customer); got != (pending > 0) {
				t.Errorf("got pending %t with %d requests", got, pending)
			}
		})
	}
}
