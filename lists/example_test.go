package lists_test

import (
	"fmt"
	"os"

	"dogwoodrock.example/dogwoodrock/lists"
)

func ExampleParse() {
	customers, _ := os.ReadFile("../examples/customers.yaml")
	plans, _ := os.ReadFile("../examples/plans.yaml")
	p, err := lists.Parse(string(customers), string(plans))
	fmt.Println(len(p.Customers), len(p.Plans), p.CustomerLines["wall-panels"], err)
	_, err = lists.Parse("Customers:\n  - Name: wall-panels\n    Plan: pannels\n", string(plans))
	fmt.Println(err)
	// Output:
	// 3 2 7 <nil>
	// plans:3: Plans: plan "pannels" is missing but held by customers wall-panels (line 2)
	// customers:3: Customers[0].Plan: plan "pannels" of customer "wall-panels" doesn't exist
}

func ExampleRegistry_Apply() {
	r := lists.NewRegistry()
	edit := lists.Command{Kind: lists.KindPut, List: lists.Customers, EditID: "e1", Operator: "kim", Text: "Customers: []\n"}
	fmt.Println(r.Apply(edit).Version)
	fmt.Println(r.Apply(edit).Repeated)
	rival := lists.Command{Kind: lists.KindPut, List: lists.Customers, EditID: "e2", Operator: "nowak", Text: "Customers: [] # none\n"}
	fmt.Println(r.Apply(rival).Refusal)
	// Output:
	// 1
	// true
	// Conflict: BaseVersion: customers changed in version 1 by kim, after base version 0
}
