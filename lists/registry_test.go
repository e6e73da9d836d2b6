package lists

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

func put(list, id string, base uint64, text string) Command {
	return Command{Kind: KindPut, List: list, EditID: id, Operator: "kim", BaseVersion: base, Text: text, At: time.Unix(1, 0)}
}

func TestApply(t *testing.T) {
	plans, customers := put(Plans, "e1", 0, goldPlan), put(Customers, "e2", 0, halnyGold)
	otherCustomer := strings.Replace(halnyGold, "halny", "bora", 1)
	tests := map[string]struct {
		log  []Command
		want Result // of the last command; the refusal's reason is ignored
	}{
		"first put":                       {log: []Command{plans}, want: Result{Version: 1, InForce: 1, Changed: true}},
		"base before other list's change": {log: []Command{plans, customers}, want: Result{Version: 2, InForce: 2, Changed: true}},
		"base after list's change":        {log: []Command{plans, customers, put(Plans, "e3", 2, goldPlan+"\n")}, want: Result{Version: 3, InForce: 3, Changed: true}},
		"base before list's change":       {log: []Command{plans, customers, put(Customers, "e3", 1, otherCustomer)}, want: refused(2, 2, model.CodeConflict, "BaseVersion", 0)},
		"base doesn't exist yet":          {log: []Command{plans, put(Plans, "e2", 2, goldPlan)}, want: refused(1, 1, model.CodeConflict, "BaseVersion", 0)},
		"equal text":                      {log: []Command{plans, put(Plans, "e2", 1, goldPlan)}, want: Result{Version: 1, InForce: 1}},
		"equal text, old base":            {log: []Command{plans, put(Plans, "e2", 0, goldPlan)}, want: refused(1, 1, model.CodeConflict, "BaseVersion", 0)},
		"resend":                          {log: []Command{plans, customers, plans}, want: Result{Version: 1, InForce: 1, Changed: true, Repeated: true}},
		"resend of a refused edit": {
			log:  []Command{customers, plans, customers},
			want: Result{Refusal: refused(0, 0, model.CodeBadRequest, "Customers[0].Plan", 3).Refusal, Repeated: true},
		},
		"edit id reused": {log: []Command{plans, put(Plans, "e1", 1, goldPlan+"\n")}, want: refused(1, 1, model.CodeKeyReused, "EditID", 0)},
		"plan in use": {
			log:  []Command{plans, customers, put(Plans, "e3", 2, "Plans: []\n")},
			want: refused(2, 1, model.CodeBadRequest, "Plans", 1),
		},
		"unknown list": {log: []Command{put("hosts", "e1", 0, "x")}, want: refused(0, 0, model.CodeNotFound, "List", 0)},
		"no edit id":   {log: []Command{put(Plans, "", 0, goldPlan)}, want: refused(0, 0, model.CodeBadRequest, "EditID", 0)},
		"empty text":   {log: []Command{put(Plans, "e1", 0, "")}, want: refused(0, 0, model.CodeBadRequest, "Text", 0)},
		"too large":    {log: []Command{put(Plans, "e1", 0, strings.Repeat("\n", MaxTextBytes+1))}, want: refused(0, 0, model.CodeTooLarge, "Text", 0)},
		"none":         {log: []Command{plans, {}}, want: Result{Version: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			var got Result
			for _, c := range tt.log {
				got = r.Apply(c)
			}
			if got.Refusal != nil {
				cleared := *got.Refusal
				cleared.Reason = ""
				got.Refusal = &cleared
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Fatalf("got %+v %+v\nwant %+v %+v", got, got.Refusal, tt.want, tt.want.Refusal)
			}
		})
	}
}

func refused(version, inForce uint64, code model.Code, field string, line int) Result {
	return Result{Version: version, InForce: inForce, Refusal: &model.RefusalError{Code: code, Field: field, Line: line, NotRun: true}}
}

// numberedPlans returns a valid list of plans with a different text for each n.
func numberedPlans(n int) string {
	return fmt.Sprintf("# edit %d\n%s", n, goldPlan)
}

// TestRestartAfterManyChanges guards against a restored registry that differs or no longer
// recognizes resends, with histories below and above the limits.
func TestRestartAfterManyChanges(t *testing.T) {
	tests := map[string]struct{ changes int }{
		"hundreds":             {changes: 700},
		"more than maxChanges": {changes: maxChanges + 10},
		"more than maxEdits":   {changes: maxEdits + 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			for n := range tt.changes {
				r.Apply(put(Plans, fmt.Sprint(n), uint64(n), numberedPlans(n)))
			}
			restarted, err := Restore(r.Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(restarted, r) {
				t.Fatal("the restored registry differs")
			}
			oldest := max(tt.changes-maxEdits, 0)
			for n := oldest; n < tt.changes; n++ {
				res := restarted.Apply(put(Plans, fmt.Sprint(n), uint64(n), numberedPlans(n)))
				if !res.Repeated || !res.Changed || res.Version != uint64(n+1) {
					t.Fatalf("resend of edit %d got %+v", n, res)
				}
			}
		})
	}
}

func TestText(t *testing.T) {
	const last = 2*maxTexts + 1
	r := NewRegistry()
	for n := range uint64(last) {
		r.Apply(put(Plans, fmt.Sprint(n), n, numberedPlans(int(n))))
	}
	tests := map[string]struct {
		list    string
		version uint64
		want    Text
		code    model.Code
	}{
		"active version": {list: Plans, version: last, want: Text{Content: numberedPlans(last - 1), Changed: last}},
		"kept":           {list: Plans, version: last - 1, want: Text{Content: numberedPlans(last - 2), Changed: last - 1}},
		"dropped":        {list: Plans, version: 1, code: model.CodeNotFound},
		"future":         {list: Plans, version: last + 1, code: model.CodeNotFound},
		"other list":     {list: Customers, version: 1, want: Text{}},
		"unknown list":   {list: "hosts", code: model.CodeNotFound},
		"oldest kept":    {list: Plans, version: last - maxTexts + 1, want: Text{Content: numberedPlans(last - maxTexts), Changed: last - maxTexts + 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := r.Text(tt.list, tt.version)
			if refusal, _ := err.(*model.RefusalError); (refusal != nil && refusal.Code != tt.code) || (refusal == nil) != (tt.code == "") {
				t.Fatalf("error %v, want %s", err, tt.code)
			}
			if got != tt.want {
				t.Fatalf("got %+v", got)
			}
		})
	}
}
