package quota

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/model"
)

func TestLedger(t *testing.T) {
	two := []string{"changwon", "gimhae"}
	settings := DefaultSettings()
	settle, over := int64(settings.SettleTime()), int64(settings.LoanTime+settings.Margin)
	start := func(first bool) Command { return Command{Kind: KindBegin, DataCentres: two, FirstInstallation: first} }
	lend := func(id string, n int, at int64) Command {
		return Command{
			Kind: KindLend, At: at, Share: Limits{MaxRunning: 10},
			Loan: Loan{ID: id, Customer: customer, Amount: Limits{MaxRunning: n}},
		}
	}
	tick := func(at int64) Command { return Command{Kind: KindTick, At: at} }
	returned := Command{Kind: KindReturn, Loan: Loan{ID: "l1"}}
	tests := map[string]struct {
		opts  []Option
		steps []Command
		code  model.Code // of the last step
		left  int        // of a share of 10
	}{
		"not begun":                    {steps: []Command{lend("l1", 3, 0)}, code: model.CodeUnavailable},
		"nothing lent":                 {steps: []Command{start(true)}, left: 10},
		"a loan":                       {steps: []Command{start(true), lend("l1", 3, 0)}, left: 7},
		"a request sent again":         {steps: []Command{start(true), lend("l1", 3, 0), lend("l1", 3, 0)}, left: 7},
		"a loan just before its end":   {steps: []Command{start(true), lend("l1", 3, 0), tick(over - 1)}, left: 7},
		"a loan at its end":            {steps: []Command{start(true), lend("l1", 3, 0), tick(over)}, left: 10},
		"a returned loan":              {steps: []Command{start(true), lend("l1", 3, 0), returned, returned}, left: 10},
		"more than half":               {steps: []Command{start(true), lend("l1", 3, 0), lend("l2", 3, 0)}, code: model.CodeQuotaExhausted, left: 7},
		"nothing":                      {steps: []Command{start(true), lend("l1", 0, 0)}, code: model.CodeQuotaExhausted, left: 10},
		"a full table":                 {opts: []Option{WithMaxLoans(1)}, steps: []Command{start(true), lend("l1", 1, 0), lend("l2", 1, 0)}, code: model.CodeOverloaded, left: 9},
		"a primary with another clock": {steps: []Command{start(true), lend("l1", 3, 500), {Kind: KindNewView, At: 100}, tick(100 + over - 1)}, left: 7},
		"a primary with a later clock": {steps: []Command{start(true), lend("l1", 3, 0), {Kind: KindNewView, At: 9 * over}, tick(10*over - 1)}, left: 7},
		"after a loss of memory":       {steps: []Command{start(false), tick(settle - 1)}, left: 5},
		"no loan after a loss":         {steps: []Command{start(false), lend("l1", 1, 0)}, code: model.CodeQuotaExhausted, left: 5},
		"a loss and a new primary":     {steps: []Command{start(false), {Kind: KindNewView, At: 7 * settle}, tick(8*settle - 1)}, left: 5},
		"long after a loss":            {steps: []Command{start(false), tick(settle)}, left: 10},
		"a share that grows, early":    {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[:1]}, tick(settle - 1)}, left: 10},
		"a share that grows, settled":  {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[:1]}, tick(settle)}, left: 20},
		"a share that goes":            {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[1:]}}},
		"too many changes":             {steps: append([]Command{start(true)}, changes(two, maxUnsettled+1)...), code: model.CodeOverloaded, left: 2},
		"a share that comes back":      {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[1:]}, {Kind: KindDataCentres, DataCentres: two}, tick(settle - 1)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger("changwon", tc.opts...)
			var code model.Code
			for _, c := range tc.steps {
				code = ""
				if res := l.Apply(c); res.Refusal != nil {
					code = res.Refusal.Code
				}
			}
			got := l.Allowance(customer, Limits{MaxRunning: 20}).MaxRunning
			if code != tc.code || got != tc.left {
				t.Errorf("got code %q and %d left, want %q and %d", code, got, tc.code, tc.left)
			}
		})
	}
}

// changes returns commands that share with ever more data centres.
func changes(dcs []string, n int) []Command {
	var steps []Command
	for range n {
		dcs = append(dcs[:len(dcs):len(dcs)], dcs[0])
		steps = append(steps, Command{Kind: KindDataCentres, DataCentres: dcs})
	}
	return steps
}
