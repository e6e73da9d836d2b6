package lists

import (
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dogwoodrock.example/dogwoodrock/model"
)

// refModel is the reference model: a naive implementation that keeps every version
// and every result.
type refModel struct {
	versions []refVersion // version n at index n
	results  map[string]refResult
}

type refVersion struct{ text, changed map[string]string }

type refResult struct {
	request string
	outcome string
}

func newRefModel() *refModel {
	return &refModel{
		versions: []refVersion{{text: map[string]string{}, changed: map[string]string{Plans: "0", Customers: "0"}}},
		results:  map[string]refResult{},
	}
}

// apply returns the outcome of a command in the form that outcome gives a Result.
func (m *refModel) apply(c Command) string {
	request := fmt.Sprint(c.List, c.BaseVersion, c.Text)
	if previous, ok := m.results[c.EditID]; ok {
		if previous.request == request {
			return previous.outcome
		}
		return string(model.CodeKeyReused)
	}
	outcome := m.decide(c)
	m.results[c.EditID] = refResult{request: request, outcome: outcome}
	return outcome
}

func (m *refModel) decide(c Command) string {
	last := len(m.versions) - 1
	if c.BaseVersion > uint64(last) {
		return string(model.CodeConflict)
	}
	for _, v := range m.versions[c.BaseVersion:] {
		if v.text[c.List] != m.versions[c.BaseVersion].text[c.List] || v.changed[c.List] != m.versions[c.BaseVersion].changed[c.List] {
			return string(model.CodeConflict)
		}
	}
	if m.versions[last].text[c.List] == c.Text {
		return fmt.Sprintf("accepted %d", last)
	}
	next := refVersion{text: map[string]string{}, changed: map[string]string{}}
	for _, list := range []string{Plans, Customers} {
		next.text[list], next.changed[list] = m.versions[last].text[list], m.versions[last].changed[list]
	}
	next.text[c.List], next.changed[c.List] = c.Text, fmt.Sprint(last+1)
	if !validTexts(next.text) {
		return string(model.CodeBadRequest)
	}
	m.versions = append(m.versions, next)
	return fmt.Sprintf("accepted %d", last+1)
}

// validTexts validates only the texts that drawCommand draws.
func validTexts(text map[string]string) bool {
	for _, line := range strings.Split(text[Customers], "\n") {
		if plan, ok := strings.CutPrefix(line, "    Plan: "); ok && !strings.Contains(text[Plans], "Name: "+plan+"\n") {
			return false
		}
	}
	return !strings.Contains(text[Customers]+text[Plans], "broken")
}

func outcome(res Result) string {
	if res.Refusal != nil {
		return string(res.Refusal.Code)
	}
	return fmt.Sprintf("accepted %d", res.Version)
}

func drawCommand(t *rapid.T, version uint64) Command {
	plan := func(name string) string {
		return strings.TrimPrefix(strings.Replace(goldPlan, "gold", name, 1), "Plans:\n")
	}
	texts := map[string][]string{
		Plans:     {"Plans: []\n", "Plans:\n" + plan("gold"), "Plans:\n" + plan("silver"), "Plans:\n" + plan("gold") + plan("silver"), "broken"},
		Customers: {"Customers: []\n", halnyGold, strings.Replace(halnyGold, "gold", "silver", 1), "broken"},
	}
	list := rapid.SampledFrom([]string{Plans, Customers}).Draw(t, "list")
	back := rapid.Uint64Range(0, 3).Draw(t, "back")
	return Command{
		Kind:        KindPut,
		List:        list,
		BaseVersion: version + 1 - min(back, version+1),
		EditID:      fmt.Sprint(rapid.IntRange(0, 200).Draw(t, "id")),
		Operator:    rapid.SampledFrom([]string{"kim", "nowak"}).Draw(t, "operator"),
		Text:        rapid.SampledFrom(texts[list]).Draw(t, "text"),
	}
}

// TestRegistryAgainstReference compares a registry that restarts from snapshots with
// the reference model and with a registry that never restarts. Commands conflict, are
// resent and reuse edit ids.
func TestRegistryAgainstReference(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		r, uninterrupted, ref := NewRegistry(), NewRegistry(), newRefModel()
		var sent []Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := drawCommand(t, r.Update().Version)
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				c = rapid.SampledFrom(sent).Draw(t, "sent")
			}
			sent = append(sent, c)
			if got, want := outcome(r.Apply(c)), ref.apply(c); got != want {
				t.Fatalf("%+v: got %s, want %s", c, got, want)
			}
			uninterrupted.Apply(c)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored, err := Restore(r.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				r = restored
			}
		}
		checkVersions(t, r, ref)
		if !reflect.DeepEqual(r.Snapshot(), uninterrupted.Snapshot()) {
			t.Fatal("the snapshots of the restored and the uninterrupted registry differ")
		}
	})
}

func checkVersions(t *rapid.T, r *Registry, ref *refModel) {
	if got, want := r.Update().Version, uint64(len(ref.versions)-1); got != want {
		t.Fatalf("version %d, want %d", got, want)
	}
	for version, want := range ref.versions {
		for _, list := range []string{Plans, Customers} {
			got, err := r.Text(list, uint64(version))
			if err != nil && want.changed[list] != "0" {
				t.Fatal(err)
			}
			if got.Content != want.text[list] {
				t.Fatalf("%s at version %d: got %q, want %q", list, version, got.Content, want.text[list])
			}
		}
	}
}

// fixSeed makes rapid draw the same cases in every run.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
