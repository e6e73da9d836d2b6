package lists

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/config"
)

const (
	goldPlan = `Plans:
  - Name: gold
    Services: [dispatch, entries]
    Weight: 4
    MaxRunning: 200
    MaxQueued: 2000
    StartsPerSecond: 500
    MaxJobTasks: 130
`
	halnyGold = "Customers:\n  - Name: halny\n    Plan: gold\n"
)

func TestParseErrors(t *testing.T) {
	tests := map[string]struct {
		customers string
		plans     string
		want      []string // prefixes of the errors, in order
	}{
		"valid": {customers: halnyGold, plans: goldPlan},
		"empty": {},
		"many":  {customers: "Customers:\n" + numberedCustomers(300), plans: goldPlan},
		"CRLF":  {customers: strings.ReplaceAll(halnyGold, "\n", "\r\n"), plans: strings.ReplaceAll(goldPlan, "\n", "\r\n")},
		"number as name": {
			customers: "Customers:\r\n  - Name: 12\r\n    Plan: gold\r\n", plans: goldPlan,
			want: []string{"customers:2: Customers[0].Name: must be text, but is Integer"},
		},
		"no plans":  {customers: "Customers: []\n", plans: "Plans: []\n"},
		"truncated": {customers: "# list\n", want: []string{"customers:1: the field Customers is missing"}},
		"errors in both lists": {
			customers: "Customers:\n  - Name: h/y\n    Plan: gold\n  - Name: a\n  - Name: a\n    Plan: gold\n",
			plans:     strings.NewReplacer("Weight: 4", "Weight: 0", "    MaxQueued: 2000\n", "").Replace(goldPlan),
			want: []string{
				"plans:2: Plans[0].MaxQueued: is missing", "plans:4: Plans[0].Weight: is 0; it must be 1 to 1000",
				"customers:2: Customers[0].Name: \"h/y\" is not a name", "customers:4: Customers[1].Plan: names no plan",
				"customers:5: Customers[2].Name: \"a\" is already named in line 4",
			},
		},
		"missing plan": {
			customers: halnyGold, plans: strings.Replace(goldPlan, "gold", "silver", 1),
			want: []string{
				"plans:1: Plans: plan \"gold\" is missing but held by customers halny (line 2)",
				"customers:3: Customers[0].Plan: plan \"gold\" of customer \"halny\" doesn't exist",
			},
		},
		"duplicate service": {plans: strings.Replace(goldPlan, "entries", "dispatch", 1), want: []string{"plans:3: Plans[0].Services[1]: \"dispatch\" is already"}},
		"no services":       {plans: strings.Replace(goldPlan, "dispatch, entries", "", 1), want: []string{"plans:3: Plans[0].Services: names 0 services"}},
		"unknown field":     {plans: strings.Replace(goldPlan, "Weight", "Wait", 1), want: []string{"plans:4: Plans[0].Wait: is not a known field"}},
		"alias":             {customers: "Customers: *x\n", want: []string{"customers:1: \"*\" is not allowed"}},
		"two documents":     {customers: halnyGold + "---\n" + halnyGold, want: []string{"customers:1: text holds 2 YAML documents"}},
		"too many bytes":    {customers: strings.Repeat("#\n", MaxTextBytes), want: []string{"customers: has 2097152 bytes"}},
		"long line":         {customers: "#" + strings.Repeat("x", 2000), want: []string{"customers:1: line has more than 1024 bytes"}},
		"too many entries": {
			customers: "Customers:\n" + strings.Repeat("- {Name: '', Plan: p}\n", MaxEntries+1), plans: goldPlan,
			want: append([]string{"customers:1: Customers: has 10001 entries"}, repeat("customers:", 99)...),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(tt.customers, tt.plans)
			var all config.FieldErrors
			errors.As(err, &all)
			if len(all) != len(tt.want) {
				t.Fatalf("got\n%v\nwant %d errors", err, len(tt.want))
			}
			for i, prefix := range tt.want {
				if !strings.HasPrefix(all[i].Error(), prefix) {
					t.Errorf("got %q\nwant %q", all[i].Error(), prefix)
				}
			}
		})
	}
}

func numberedCustomers(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "  - Name: customer-%d\n    Plan: gold\n", i)
	}
	return b.String()
}

func repeat(s string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = s
	}
	return all
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{halnyGold, goldPlan, "", "Customers:\n- \n", "Plans: [{Services: {}}]", "Customers: 5", "Plans:\n  Name: gold"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, err := range []error{parseError(text, ""), parseError("", text)} {
			var all config.FieldErrors
			if err != nil && !errors.As(err, &all) {
				t.Fatalf("error of type %T", err)
			}
		}
	})
}

func parseError(customers, plans string) error {
	_, err := Parse(customers, plans)
	return err
}
