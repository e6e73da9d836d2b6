package codec

import (
	"errors"
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/wire"
)

// TestText guards against messages with names of any length, which services keep, and against leaving out one with a
// long text of a list or with a spec of the largest size.
func TestText(t *testing.T) {
	long, spec := strings.Repeat("x", maxText+1), strings.Repeat("x", 4000)
	tests := map[string]struct {
		envelope *wire.Envelope
		refused  bool
	}{
		"a name":             {envelope: &wire.Envelope{Body: &wire.Envelope_HostLeave{HostLeave: &wire.HostLeave{Host: long}}}, refused: true},
		"a name in a list":   {envelope: &wire.Envelope{Body: &wire.Envelope_HostRenew{HostRenew: &wire.HostRenew{Suspects: []string{"a", long}}}}, refused: true},
		"a name in an entry": {envelope: &wire.Envelope{Body: &wire.Envelope_Renew{Renew: &wire.Renew{Outstanding: []*wire.Grant{{}, {Job: long}}}}}, refused: true},
		"a spec":             {envelope: &wire.Envelope{Body: &wire.Envelope_JobHand{JobHand: &wire.JobHand{Job: "j", Spec: spec}}}},
		"a list":             {envelope: &wire.Envelope{Body: &wire.Envelope_ListsAsk{ListsAsk: &wire.ListsAsk{Text: long}}}},
		"lists in force":     {envelope: &wire.Envelope{Body: &wire.Envelope_ListsUpdate{ListsUpdate: &wire.ListsUpdate{Update: &wire.Lists{Plans: &wire.ListContent{Content: long}}}}}},
		"a configuration": {envelope: &wire.Envelope{Body: &wire.Envelope_HostRenewed{HostRenewed: &wire.HostRenewed{
			Routes: &wire.RoutesText{Source: []byte(long)},
		}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := FromWire(tt.envelope)
			var textErr *TextError
			if errors.As(err, &textErr) != tt.refused || err != nil && !tt.refused {
				t.Errorf("error %v, refused %v wanted", err, tt.refused)
			}
		})
	}
}
