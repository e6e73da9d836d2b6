package claim

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

func TestParseSession(t *testing.T) {
	tests := map[string]struct {
		text string
		want SessionName
		part string // the malformed one
	}{
		"plain":               {text: "changwon.1v.3", want: SessionName{"changwon", 63, 3}},
		"dots in data centre": {text: "kr.south.0.a", want: SessionName{"kr.south", 0, 10}},
		"too few parts":       {text: "changwon", part: "number of parts"},
		"no data centre":      {text: ".1.2", part: "data centre"},
		"no epoch":            {text: "changwon..2", part: "epoch"},
		"upper case":          {text: "changwon.1.A", part: "id"},
		"leading zero":        {text: "changwon.1.02", part: "id"},
		"too large":           {text: "changwon.zzzzzzzzzzzzzz.2", part: "epoch"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseSession(tc.text)
			var bad *SessionNameError
			if errors.As(err, &bad) != (tc.part != "") || (bad != nil && bad.Part != tc.part) {
				t.Fatalf("got error %v, want part %q", err, tc.part)
			}
			if got != tc.want || (err == nil && FormatSession(got) != tc.text) {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestExpiredEpochRemovedInBatches resubmits the keys of an expired session while its epoch is
// being removed, sweepBatch claims per command. It guards against a key whose claim is already
// removed starting again.
func TestExpiredEpochRemovedInBatches(t *testing.T) {
	reg := New(testDC)
	session := sessionName(testEpoch, 1)
	for _, c := range []Command{begin(true), join(1), open("club", 1)} {
		reg.Apply(c)
	}
	const keys = 2*sweepBatch + 1
	for i := range keys {
		job := fmt.Sprint("j", i)
		checkStep(t, i, step{verdict: VerdictClaimed}, reg.Apply(submit(session, job, job)))
		checkStep(t, i, step{verdict: VerdictAnswered}, reg.Apply(complete(job, "a", 1)))
	}
	reg.Apply(rotate(41))
	for i := range keys {
		res := reg.Apply(at(submit(session, fmt.Sprint("j", i), "again"), 20*time.Minute))
		checkStep(t, i, step{verdict: VerdictRefused, code: model.CodeSessionExpired}, res)
	}
}

func ExampleFormatSession() {
	fmt.Println(FormatSession(SessionName{DataCentre: "gimhae", Epoch: 33, ID: 5}))
	// Output: gimhae.11.5
}

func TestHome(t *testing.T) {
	dcs := []string{"changwon", "gimhae", "jinju", "busan", "ulsan"}
	reordered := slices.Clone(dcs)
	slices.Reverse(reordered)
	counts := map[string]int{}
	for i := range 5000 {
		key := fmt.Sprint("key", i)
		home := Home(dcs, "club", key)
		counts[home]++
		if got := Home(reordered, "club", key); got != home {
			t.Fatalf("%s: got %s after reordering, want %s", key, got, home)
		}
		if got := Home(dcs[:4], "club", key); home != dcs[4] && got != home {
			t.Fatalf("%s: moved from %s to %s", key, home, got)
		}
	}
	for _, dc := range dcs {
		if counts[dc] < 800 {
			t.Errorf("%s is the home of %d of 5000 keys, want at least 800", dc, counts[dc])
		}
	}
}
