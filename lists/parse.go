package lists

import (
	"fmt"
	"regexp"
	"strings"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/model"
)

// Names of the two lists.
const (
	Customers = "customers"
	Plans     = "plans"
)

// The limits of the lists are constants rather than settings, because all replicas
// of a Registry must accept and refuse the same texts.
const (
	MaxTextBytes    = 1 << 20
	MaxEntries      = 10000
	MaxServices     = 100       // per plan
	MaxWeight       = 1000      // the smallest weight is 1
	MaxTasks        = 1_000_000 // running or queued tasks per customer
	MaxStartsPerSec = 1_000_000
	MaxJobTasks     = 10_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Parsed is one version of both lists, parsed from their texts.
type Parsed struct {
	Customers     []model.Customer
	Plans         []model.Plan
	CustomerLines map[string]int // line number by customer name
	PlanLines     map[string]int // line number by plan name
}

// Parse parses the texts of both lists and validates each list and the references
// between them. Its error is a config.FieldErrors with all errors found, whose File
// is the name of the list.
func Parse(customers, plans string) (Parsed, error) {
	cd, cs := parseCustomers(customers)
	pd, ps := parsePlans(plans)
	if len(cd.Errors)+len(pd.Errors) == 0 {
		checkPlansExist(cd, pd, cs, ps)
	}
	if all := append(fieldErrors(pd), fieldErrors(cd)...); len(all) > 0 {
		return Parsed{}, all
	}
	p := Parsed{Customers: cs, Plans: ps, CustomerLines: map[string]int{}, PlanLines: map[string]int{}}
	for i, c := range cs {
		p.CustomerLines[c.Name] = cd.Position(customerPath(i)).Line
	}
	for i, plan := range ps {
		p.PlanLines[plan.Name] = pd.Position(planPath(i)).Line
	}
	return p, nil
}

func fieldErrors(d *config.Document) config.FieldErrors {
	_ = d.Err() // sorts d.Errors
	return d.Errors
}

func parseCustomers(text string) (*config.Document, []model.Customer) {
	var list struct{ Customers []model.Customer }
	d := parse(Customers, "Customers", text, &list)
	if len(d.Errors) > 0 {
		return d, nil
	}
	checkCount(d, "Customers", len(list.Customers))
	names := map[string]int{}
	for i, c := range list.Customers {
		checkName(d, customerPath(i)+".Name", c.Name, names)
		if c.Plan == "" {
			d.Fail(customerPath(i)+".Plan", "names no plan")
		}
	}
	return d, list.Customers
}

func parsePlans(text string) (*config.Document, []model.Plan) {
	var list struct{ Plans []model.Plan }
	d := parse(Plans, "Plans", text, &list)
	if len(d.Errors) > 0 {
		return d, nil
	}
	checkCount(d, "Plans", len(list.Plans))
	names := map[string]int{}
	for i, p := range list.Plans {
		checkName(d, planPath(i)+".Name", p.Name, names)
		checkServices(d, planPath(i)+".Services", p.Services)
		checkRange(d, planPath(i)+".Weight", p.Weight, 1, MaxWeight)
		checkRange(d, planPath(i)+".MaxRunning", p.MaxRunning, 1, MaxTasks)
		checkRange(d, planPath(i)+".MaxQueued", p.MaxQueued, 0, MaxTasks)
		checkRange(d, planPath(i)+".StartsPerSecond", p.StartsPerSecond, 1, MaxStartsPerSec)
		checkRange(d, planPath(i)+".MaxJobTasks", p.MaxJobTasks, 1, MaxJobTasks)
	}
	return d, list.Plans
}

// parse decodes one list. The empty text is the list before its first edit. Any
// other text must contain the list's field, so that a truncated file isn't
// accepted as an empty list.
func parse(list, field, text string, v any) *config.Document {
	d := config.ParseDocument(list, []byte(text), MaxTextBytes)
	d.Into(v)
	if text != "" && len(d.Errors) == 0 && !d.Has(field) {
		d.Fail("", "the field %s is missing", field)
	}
	return d
}

func checkCount(d *config.Document, field string, n int) {
	if n > MaxEntries {
		d.Fail(field, "has %d entries, more than the %d allowed", n, MaxEntries)
	}
}

func checkName(d *config.Document, path, name string, seen map[string]int) {
	if !namePattern.MatchString(name) {
		d.Fail(path, "%q is not a name: 1 to 63 letters, digits, dots, dashes or underscores", name)
		return
	}
	if line, duplicate := seen[name]; duplicate {
		d.Fail(path, "%q is already named in line %d", name, line)
		return
	}
	seen[name] = d.Position(path).Line
}

func checkServices(d *config.Document, path string, services []string) {
	if len(services) == 0 || len(services) > MaxServices {
		d.Fail(path, "names %d services; it must be 1 to %d", len(services), MaxServices)
		return
	}
	seen := map[string]int{}
	for i, service := range services {
		checkName(d, fmt.Sprintf("%s[%d]", path, i), service, seen)
	}
}

func checkRange(d *config.Document, path string, n, lowest, highest int) {
	if !d.Has(path) {
		d.Fail(path, "is missing")
		return
	}
	if n < lowest || n > highest {
		d.Fail(path, "is %d; it must be %d to %d", n, lowest, highest)
	}
}

// checkPlansExist reports each customer whose plan is missing, and each missing
// plan once, with the lines of the customers subscribed to it.
func checkPlansExist(cd, pd *config.Document, customers []model.Customer, plans []model.Plan) {
	known := map[string]bool{}
	for _, p := range plans {
		known[p.Name] = true
	}
	subscribers := map[string][]string{}
	var missing []string
	for i, c := range customers {
		if known[c.Plan] {
			continue
		}
		line := cd.Position(customerPath(i)).Line
		cd.Fail(customerPath(i)+".Plan", "plan %q of customer %q doesn't exist", c.Plan, c.Name)
		if subscribers[c.Plan] == nil {
			missing = append(missing, c.Plan)
		}
		subscribers[c.Plan] = append(subscribers[c.Plan], fmt.Sprintf("%s (line %d)", c.Name, line))
	}
	for _, plan := range missing {
		pd.Fail("Plans", "plan %q is missing but held by customers %s", plan, strings.Join(subscribers[plan], ", "))
	}
}

func customerPath(i int) string {
	return fmt.Sprintf("Customers[%d]", i)
}

func planPath(i int) string {
	return fmt.Sprintf("Plans[%d]", i)
}
