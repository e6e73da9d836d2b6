package lists

import "dogwoodrock.example/dogwoodrock/model"

// Text is the text of one list and the version at which it last changed.
type Text struct {
	Content string
	Changed uint64
}

// Update carries one version of both lists from host to host.
type Update struct {
	Version   uint64
	Customers Text
	Plans     Text
}

// Text returns the text of a list by its name.
func (u Update) Text(list string) Text {
	if list == Plans {
		return u.Plans
	}
	return u.Customers
}

// Force is what is in force on one host. An adopted update replaces its fields
// and never changes what they refer to, so a copy may be handed to others.
type Active struct {
	Update Update
	Parsed Parsed
	Lists  model.Lists

	customers map[string]model.Customer
	plans     map[string]model.Plan
}

// Newer reports whether a host that enforces b adopts a. A host never goes back
// to an earlier version.
func Newer(a, b Update) bool {
	return a.Version > b.Version
}

// Adopt puts an update in force. It reports whether the update was newer than
// what was in force, and the config.FieldErrors of an update that can't be
// read, which changes nothing.
func (f *Active) Adopt(u Update) (bool, error) {
	if !Newer(u, f.Update) {
		return false, nil
	}
	parsed, err := Parse(u.Customers.Content, u.Plans.Content)
	if err != nil {
		return false, err
	}
	*f = newActive(u, parsed)
	return true, nil
}

// Plan returns the plan that a customer holds.
func (f *Active) Plan(customer string) (model.Plan, bool) {
	c, ok := f.customers[customer]
	if !ok {
		return model.Plan{}, false
	}
	return f.plans[c.Plan], true
}

func newActive(u Update, p Parsed) Active {
	f := Active{
		Update:    u,
		Parsed:    p,
		Lists:     model.Lists{Version: u.Version, Customers: p.Customers, Plans: p.Plans},
		customers: map[string]model.Customer{},
		plans:     map[string]model.Plan{},
	}
	for _, c := range p.Customers {
		f.customers[c.Name] = c
	}
	for _, plan := range p.Plans {
		f.plans[plan.Name] = plan
	}
	return f
}
