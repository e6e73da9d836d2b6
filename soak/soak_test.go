package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSeeds plays seeds with the daemon as it is in this tree. Seeds that ever
// failed stay here.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs nine processes for half a minute a seed")
	}
	tests := map[string]struct {
		seed    uint64
		planned bool
	}{
		"faults": {seed: 1},
		"planned work only, where clients once counted refused connections as cut requests": {seed: 4, planned: true},
	}
	daemon := filepath.Join(t.TempDir(), "dogwoodrockd")
	if out, err := exec.Command("go", "build", "-o", daemon, "../cmd/dogwoodrockd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &Site{Seed: tt.seed, Duration: 6 * time.Second, Daemon: daemon, Folder: t.TempDir(), Planned: tt.planned}
			r, err := s.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Failures {
				t.Error(f)
			}
			t.Logf("%d faults, %d jobs, %d complete, %d refused, %d cut", len(r.Faults), r.Jobs, r.Complete, r.Refused, r.Cut)
			if t.Failed() {
				t.Logf("faults %q", r.Faults)
			}
		})
	}
}

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		mood Mood
		pass bool // bytes come through within a second
	}{
		"calm":      {mood: MoodCalm, pass: true},
		"delayed":   {mood: MoodDelayed, pass: true},
		"silent":    {mood: MoodSilent},
		"deaf":      {mood: MoodDeaf},
		"resetting": {mood: MoodResetting},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			echo, relay := echoRelay(t, ctx)
			relay.Set(tt.mood)
			if got := echo(); got != tt.pass {
				t.Fatalf("bytes came through: %v, want %v", got, tt.pass)
			}
		})
	}
}
