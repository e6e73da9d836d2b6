package lists

import "dogwoodrock.example/dogwoodrock/model"

// Text is the text of one list and the version in which it last changed.
type Text struct {
	Content string
	Changed uint64
}

// Update is one version of both lists, as hosts replicate it.
type Update struct {
	Version   uint64
	Customers Text
	Plans     Text
}

// Text returns the text of the list with the given name, Customers or Plans.
func (u Update) Text(list string) Text {
	if list == Plans {
		return u.Plans
	}
	return u.Customers
}

// Active is the version of both lists that a host enforces; messages to operators
// say that it is in force. Adopt replaces the fields and never modifies the maps
// and slices that they refer to, so a shallow copy may be shared.
type Active struct {
	Update Update
	Parsed Parsed
	Lists  model.Lists

	customers map[string]model.Customer
	plans     map[string]model.Plan
}

// Newer reports whether a host with the active version b may activate a. A host
// never returns to an earlier version.
func Newer(a, b Update) bool {
	return a.Version > b.Version
}

// Adopt activates an update. It reports whether the update was newer than the
// active version. An update that can't be parsed changes nothing; its error is a
// config.FieldErrors.
func (a *Active) Adopt(u Update) (bool, error) {
	if !Newer(u, a.Update) {
		return false, nil
	}
	parsed, err := Parse(u.Customers.Content, u.Plans.Content)
	if err != nil {
		return false, err
	}
	*a = newActive(u, parsed)
	return true, nil
}

// Plan returns the plan of a customer, or false if the active version doesn't
// list the customer.
func (a *Active) Plan(customer string) (model.Plan, bool) {
	c, ok := a.customers[customer]
	if !ok {
		return model.Plan{}, false
	}
	return a.plans[c.Plan], true
}

func newActive(u Update, p Parsed) Active {
	a := Active{
		Update:    u,
		Parsed:    p,
		Lists:     model.Lists{Version: u.Version, Customers: p.Customers, Plans: p.Plans},
		customers: map[string]model.Customer{},
		plans:     map[string]model.Plan{},
	}
	for _, c := range p.Customers {
		a.customers[c.Name] = c
	}
	for _, plan := range p.Plans {
		a.plans[plan.Name] = plan
	}
	return a
}
