package lists

import (
	"fmt"
	"testing"
)

func TestAdopt(t *testing.T) {
	update := func(version uint64, customers string) Update {
		return Update{Version: version, Customers: Text{Content: customers, Changed: version}, Plans: Text{Content: goldPlan, Changed: 1}}
	}
	tests := map[string]struct {
		updates []Update
		adopted bool // of the last update
		failed  bool
		version uint64
	}{
		"newer":      {updates: []Update{update(3, halnyGold)}, adopted: true, version: 3},
		"older":      {updates: []Update{update(3, halnyGold), update(2, "Customers: []\n")}, version: 3},
		"equal":      {updates: []Update{update(3, halnyGold), update(3, "Customers: []\n")}, version: 3},
		"unreadable": {updates: []Update{update(3, halnyGold), update(4, "{")}, failed: true, version: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var active Active
			var adopted bool
			var err error
			for _, u := range tt.updates {
				adopted, err = active.Adopt(u)
			}
			if adopted != tt.adopted || (err != nil) != tt.failed || active.Lists.Version != tt.version {
				t.Fatalf("adopted %v, error %v, version %d", adopted, err, active.Lists.Version)
			}
			if plan, ok := active.Plan("halny"); !ok || plan.MaxRunning != 200 {
				t.Fatalf("plan %+v, %v", plan, ok)
			}
		})
	}
}

func ExampleExplain() {
	r := NewRegistry()
	r.Apply(Command{Kind: KindPut, List: Plans, EditID: "1", Operator: "kim", Text: goldPlan})
	r.Apply(Command{Kind: KindPut, List: Customers, EditID: "2", Operator: "kim", Text: halnyGold})
	active := r.Active()
	e, _ := Explain(&active, "halny")
	fmt.Printf("%s, line %d, holds %s, line %d, version %d\n", e.Customer, e.CustomerLine, e.Plan.Name, e.PlanLine, e.Version)
	_, err := Explain(&active, "bora")
	fmt.Println(err)
	// Output:
	// halny, line 2, holds gold, line 2, version 2
	// UnknownCustomer: Customer: version 2 of the list of customers doesn't name "bora"
}

func ExampleDiff() {
	fmt.Print(Diff("version 1", "Customers:\n  - Name: halny\n    Plan: gold\n", "version 2", "Customers:\n  - Name: halny\n    Plan: silver\n"))
	// Output:
	// --- version 1
	// +++ version 2
	// @@ -1,3 +1,3 @@
	//  Customers:
	//    - Name: halny
	// -    Plan: gold
	// +    Plan: silver
}
