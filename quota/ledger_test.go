package quota

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/model"
)

func TestLedger(t *testing.T) {
	two := []string{"changwon", "gimhae"}
	cfg := DefaultSettings()
	settle, reuse := int64(cfg.SettleTime()), int64(cfg.LoanTime+cfg.Margin)
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
		opts      []Option
		steps     []Command
		code      model.Code // of the last step
		allowance int        // out of a share of 10
	}{
		"not begun":                         {steps: []Command{lend("l1", 3, 0)}, code: model.CodeUnavailable},
		"nothing lent":                      {steps: []Command{start(true)}, allowance: 10},
		"a loan":                            {steps: []Command{start(true), lend("l1", 3, 0)}, allowance: 7},
		"a request sent again":              {steps: []Command{start(true), lend("l1", 3, 0), lend("l1", 3, 0)}, allowance: 7},
		"a loan just before its end":        {steps: []Command{start(true), lend("l1", 3, 0), tick(reuse - 1)}, allowance: 7},
		"a loan at its end":                 {steps: []Command{start(true), lend("l1", 3, 0), tick(reuse)}, allowance: 10},
		"a returned loan":                   {steps: []Command{start(true), lend("l1", 3, 0), returned, returned}, allowance: 10},
		"more than half of the share":       {steps: []Command{start(true), lend("l1", 3, 0), lend("l2", 3, 0)}, code: model.CodeQuotaExhausted, allowance: 7},
		"nothing":                           {steps: []Command{start(true), lend("l1", 0, 0)}, code: model.CodeQuotaExhausted, allowance: 10},
		"a full table":                      {opts: []Option{WithMaxLoans(1)}, steps: []Command{start(true), lend("l1", 1, 0), lend("l2", 1, 0)}, code: model.CodeOverloaded, allowance: 9},
		"a primary with another clock":      {steps: []Command{start(true), lend("l1", 3, 500), {Kind: KindNewView, At: 100}, tick(100 + reuse - 1)}, allowance: 7},
		"a primary with a later clock":      {steps: []Command{start(true), lend("l1", 3, 0), {Kind: KindNewView, At: 9 * reuse}, tick(10*reuse - 1)}, allowance: 7},
		"after a loss of state":             {steps: []Command{start(false), tick(settle - 1)}, allowance: 5},
		"no loan after a loss of state":     {steps: []Command{start(false), lend("l1", 1, 0)}, code: model.CodeQuotaExhausted, allowance: 5},
		"a loss of state and a new primary": {steps: []Command{start(false), {Kind: KindNewView, At: 7 * settle}, tick(8*settle - 1)}, allowance: 5},
		"SettleTime after a loss of state":  {steps: []Command{start(false), tick(settle)}, allowance: 10},
		"a share that grows, early":         {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[:1]}, tick(settle - 1)}, allowance: 10},
		"a share that grows, settled":       {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[:1]}, tick(settle)}, allowance: 20},
		"a data centre that is removed":     {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[1:]}}},
		"too many unsettled changes":        {steps: append([]Command{start(true)}, changes(two, maxUnsettled+1)...), code: model.CodeOverloaded, allowance: 2},
		"a data centre that is added again": {steps: []Command{start(true), {Kind: KindDataCentres, DataCentres: two[1:]}, {Kind: KindDataCentres, DataCentres: two}, tick(settle - 1)}},
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
			if code != tc.code || got != tc.allowance {
				t.Errorf("got code %q and allowance %d, want %q and %d", code, got, tc.code, tc.allowance)
			}
		})
	}
}

// changes returns n changes, each of which adds one more data centre.
func changes(dcs []string, n int) []Command {
	var steps []Command
	for range n {
		dcs = append(dcs[:len(dcs):len(dcs)], dcs[0])
		steps = append(steps, Command{Kind: KindDataCentres, DataCentres: dcs})
	}
	return steps
}
