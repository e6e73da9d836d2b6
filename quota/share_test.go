package quota

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestShare(t *testing.T) {
	all := []string{"changwon", "gimhae", "jinju", "busan", "ulsan"}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "customer")
		dcs := all[:rapid.IntRange(1, len(all)).Draw(t, "data centres")]
		reordered := slices.Clone(dcs)
		slices.Reverse(reordered)
		l := Limits{MaxRunning: rapid.IntRange(0, 1000).Draw(t, "running"), MaxQueued: 7, StartsPerSecond: 1}
		var sum Limits
		for _, dc := range dcs {
			share := Share(name, l, dcs, dc)
			sum = sum.Plus(share)
			if Share(name, l, reordered, dc) != share {
				t.Fatalf("%s: the order of the data centres matters", dc)
			}
			if more := Share(name, l.Plus(Limits{MaxRunning: 1}), dcs, dc); !share.Within(more) {
				t.Fatalf("%s: a greater limit decreased the share from %+v to %+v", dc, share, more)
			}
		}
		if sum != l {
			t.Fatalf("the shares add up to %+v, want %+v", sum, l)
		}
	})
}

func TestShareSpreadsRemainders(t *testing.T) {
	dcs := []string{"changwon", "gimhae", "jinju"}
	remainders := map[string]int{}
	for i := range 300 {
		for _, dc := range dcs {
			remainders[dc] += Share(fmt.Sprint(i), Limits{MaxRunning: 1}, dcs, dc).MaxRunning
		}
	}
	for _, dc := range dcs {
		if remainders[dc] < 60 {
			t.Errorf("%s has %d of 300 remainders, want at least 60", dc, remainders[dc])
		}
	}
	if got := Share("club", Limits{MaxRunning: 9}, dcs, "busan"); got != (Limits{}) {
		t.Errorf("got a share of %+v for a data centre that is not in the list, want none", got)
	}
}

func TestLoanAmount(t *testing.T) {
	tests := map[string]struct{ want, share, lent, inUse, amount int }{
		"half of the unused quota":   {want: 9, share: 10, inUse: 4, amount: 3},
		"no more than is wanted":     {want: 1, share: 10, amount: 1},
		"half of the share in all":   {want: 9, share: 10, lent: 4, amount: 1},
		"a share of 1":               {want: 1, share: 1, amount: 1},
		"nothing unused":             {want: 9, share: 10, inUse: 10},
		"more in use than the share": {want: 9, share: 10, inUse: 12},
		"more lent than the share":   {want: 9, share: 3, lent: 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			limits := func(n int) Limits { return Limits{MaxRunning: n} }
			got := LoanAmount(limits(tc.want), limits(tc.share), limits(tc.lent), limits(tc.inUse))
			if got != limits(tc.amount) {
				t.Errorf("got %+v, want %d", got, tc.amount)
			}
		})
	}
}

func TestChooseLender(t *testing.T) {
	spares := []Spare{
		{DataCentre: "jinju", Limits: Limits{MaxRunning: 8}},
		{DataCentre: "gimhae", Limits: Limits{MaxRunning: 8, MaxQueued: 1}},
		{DataCentre: "busan", Limits: Limits{MaxQueued: 50}},
	}
	tests := map[string]struct {
		want    Limits
		waiting int
		lender  string
		ask     Limits
	}{
		"the most unused, then by name": {want: Limits{MaxRunning: 9}, waiting: 1, lender: "gimhae", ask: Limits{MaxRunning: 4}},
		"only wanted kinds count":       {want: Limits{MaxQueued: 9}, waiting: 1, lender: "busan", ask: Limits{MaxQueued: 9}},
		"no task is waiting":            {want: Limits{MaxRunning: 9}},
		"no data centre has any":        {want: Limits{StartsPerSecond: 9}, waiting: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lender, ask, ok := ChooseLender(tc.want, tc.waiting, spares)
			if lender != tc.lender || ask != tc.ask || ok != (tc.lender != "") {
				t.Errorf("got %q %+v %t, want %q %+v", lender, ask, ok, tc.lender, tc.ask)
			}
		})
	}
}
