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

// naiveBook keeps every version and every answer for ever.
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

// apply returns the answer in words, as say does for a Result.
func (b *refModel) apply(c Command) string {
	asked := fmt.Sprint(c.List, c.BaseVersion, c.Text)
	if first, ok := b.results[c.EditID]; ok {
		if first.request == asked {
			return first.outcome
		}
		return string(model.CodeKeyReused)
	}
	said := b.decide(c)
	b.results[c.EditID] = refResult{request: asked, outcome: said}
	return said
}

func (b *refModel) decide(c Command) string {
	last := len(b.versions) - 1
	if c.BaseVersion > uint64(last) {
		return string(model.CodeConflict)
	}
	for _, v := range b.versions[c.BaseVersion:] {
		if v.text[c.List] != b.versions[c.BaseVersion].text[c.List] || v.changed[c.List] != b.versions[c.BaseVersion].changed[c.List] {
			return string(model.CodeConflict)
		}
	}
	if b.versions[last].text[c.List] == c.Text {
		return fmt.Sprintf("accepted %d", last)
	}
	next := refVersion{text: map[string]string{}, changed: map[string]string{}}
	for _, list := range []string{Plans, Customers} {
		next.text[list], next.changed[list] = b.versions[last].text[list], b.versions[last].changed[list]
	}
	next.text[c.List], next.changed[c.List] = c.Text, fmt.Sprint(last+1)
	if !validTexts(next.text) {
		return string(model.CodeBadRequest)
	}
	b.versions = append(b.versions, next)
	return fmt.Sprintf("accepted %d", last+1)
}

// naiveValid knows only the texts that the test draws.
func validTexts(text map[string]string) bool {
	for _, line := range strings.Split(text[Customers], "\n") {
		if plan, ok := strings.CutPrefix(line, "    Plan: "); ok && !strings.Contains(text[Plans], "Name: "+plan+"\n") {
			return false
		}
	}
	return !strings.Contains(text[Customers]+text[Plans], "broken")
}

func outcome(r Result) string {
	if r.Refusal != nil {
		return string(r.Refusal.Code)
	}
	return fmt.Sprintf("accepted %d", r.Version)
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

// TestBookAgainstNaive lets operators race, resend and reuse edit ids while the
// book restarts from snapshots.
func TestRegistryAgainstReference(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		b, twin, naive := NewRegistry(), NewRegistry(), newRefModel()
		var sent []Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := drawCommand(t, b.Update().Version)
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				c = rapid.SampledFrom(sent).Draw(t, "sent")
			}
			sent = append(sent, c)
			if got, want := outcome(b.Apply(c)), naive.apply(c); got != want {
				t.Fatalf("%+v: got %s, want %s", c, got, want)
			}
			twin.Apply(c)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored, err := Restore(b.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				b = restored
			}
		}
		checkVersions(t, b, naive)
		if !reflect.DeepEqual(b.Snapshot(), twin.Snapshot()) {
			t.Fatal("the book that never restarted has another snapshot")
		}
	})
}

func checkVersions(t *rapid.T, b *Registry, naive *refModel) {
	if got, want := b.Update().Version, uint64(len(naive.versions)-1); got != want {
		t.Fatalf("version %d, want %d", got, want)
	}
	for version, want := range naive.versions {
		for _, list := range []string{Plans, Customers} {
			got, err := b.Text(list, uint64(version))
			if err != nil && want.changed[list] != "0" {
				t.Fatal(err)
			}
			if got.Content != want.text[list] {
				t.Fatalf("%s at version %d: got %q, want %q", list, version, got.Content, want.text[list])
			}
		}
	}
}

// pinSeed makes rapid draw the same cases in every run.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
