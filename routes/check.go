package routes

import (
	"cmp"
	"fmt"
	"iter"
	"strings"
)

// Severity ranks a finding.
type Severity string

// The severities of findings.
const (
	SeverityError      Severity = "error"      // the document is refused
	SeverityWarning    Severity = "warning"    // the document is accepted, and probably not what was meant
	SeverityDifference Severity = "difference" // from the document in force
)

// Part is the part of a document that a finding is about.
type Part string

// The parts of a document. The document itself is the empty part.
const (
	PartRoutes   Part = "Routes"
	PartServices Part = "Services"
	PartLimits   Part = "Limits"
)

// Finding describes one field of a document.
type Finding struct {
	Severity Severity
	Part     Part
	Index    int    // in Routes or Services, -1 if the entry isn't in the document
	Field    string // empty if the finding is about the whole entry
	Reason   string
}

// Check returns all errors of the document, by the rules of Validate, and warnings about entries that
// never match and limits that contradict each other. needed are the sizes below which requests of the services
// would be refused.
func (d Document) Check(needed Limits) []Finding {
	var all []Finding
	for e := range d.invalidFields() {
		f := Finding{Severity: SeverityError, Part: PartRoutes, Index: e.Route, Field: e.Field, Reason: e.Reason}
		if e.Route < 0 {
			f.Part = ""
		}
		all = append(all, f)
	}
	used := map[string]bool{}
	for i, r := range d.Routes {
		used[r.Service] = true
		all = append(all, r.warnings(i)...)
	}
	for i, s := range d.Services {
		if !used[s.Name] {
			all = append(all, warning(PartServices, i, "Name", "no route names service %q", s.Name))
		}
	}
	return append(all, d.Limits.warnings(needed)...)
}

// invalidFields yields the invalid fields of the document.
func (d Document) invalidFields() iter.Seq[*InvalidError] {
	return func(yield func(*InvalidError) bool) {
		services, names := map[string]bool{}, map[string]string{}
		for _, s := range d.Services {
			services[s.Name] = true
		}
		for i, r := range d.Routes {
			key := strings.ToLower(r.Authority) + " " + r.Prefix
			other, duplicate := names[key]
			if duplicate && !yield(invalid(i, "Prefix", "route %.100q has the host and prefix of route %.100q", r.Name, other)) {
				return
			}
			if !services[r.Service] && !yield(invalid(i, "Service", "route %.100q names service %.100q, which isn't listed", r.Name, r.Service)) {
				return
			}
			if r.Timeout <= 0 && !yield(invalid(i, "Timeout", "route %.100q has no timeout", r.Name)) {
				return
			}
			if !duplicate {
				names[key] = r.Name
			}
		}
		if d.Version == 0 {
			yield(&InvalidError{Route: -1, Field: "Version", Reason: "is missing"})
		}
	}
}

func (r Route) warnings(i int) []Finding {
	var all []Finding
	warn := func(field, format string, args ...any) {
		all = append(all, warning(PartRoutes, i, field, "route %q "+format, append([]any{r.Name}, args...)...))
	}
	if r.Authority == "" || strings.ContainsFunc(r.Authority, notInHost) {
		warn("Authority", "never matches: no request has the host %q", r.Authority)
	}
	// The empty prefix matches every path.
	if r.Prefix != "" && r.Prefix[0] != '/' {
		warn("Prefix", "never matches: prefix %q doesn't begin with a slash", r.Prefix)
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		warn("Timeout", "has a timeout of %v, below the %v of its objective", r.Timeout, r.Objective)
	}
	if r.Attempts < 1 {
		warn("Attempts", "has %d attempts, below 1", r.Attempts)
	}
	if r.SlackFactor < 1 {
		warn("SlackFactor", "has a slack factor of %v, below 1", r.SlackFactor)
	}
	return all
}

// notInHost reports whether the HTTP server refuses a Host header with this character.
func notInHost(c rune) bool {
	alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return !alphanumeric && !strings.ContainsRune("!$%&'()*+,-.:;=[]_~", c)
}

func (l Limits) warnings(needed Limits) []Finding {
	var all []Finding
	size := func(field string, n, limit int) {
		if n <= 0 || n < limit {
			all = append(all, warning(PartLimits, -1, field, "is %d, below the %d that requests need", n, limit))
		}
	}
	size("HeaderBytes", l.HeaderBytes, needed.HeaderBytes)
	size("BodyBytes", l.BodyBytes, needed.BodyBytes)
	if l.IdleTimeout < l.HeaderTimeout {
		all = append(all, warning(PartLimits, -1, "IdleTimeout", "is %v, below the header timeout of %v", l.IdleTimeout, l.HeaderTimeout))
	}
	return all
}

func warning(part Part, index int, field, format string, args ...any) Finding {
	return Finding{Severity: SeverityWarning, Part: part, Index: index, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Compare returns the differences from the document in force. Entries are identified by their name. A
// version that isn't higher is a warning: the document would be acknowledged and change nothing.
func (d Document) Compare(inForce Document) []Finding {
	var all []Finding
	if d.Version <= inForce.Version {
		all = append(all, warning("", -1, "Version", "is %d, not higher than version %d in force: nothing would change", d.Version, inForce.Version))
	}
	all = append(all, compareEntries(PartRoutes, inForce.Routes, d.Routes, func(r Route) string { return r.Name }, Route.fields)...)
	all = append(all, compareEntries(PartServices, inForce.Services, d.Services, func(s Service) string { return s.Name }, Service.fields)...)
	return append(all, compareFields(PartLimits, -1, "", inForce.Limits.fields(), d.Limits.fields())...)
}

// field is a field of an entry with its value.
type field struct {
	name  string
	value any
}

func (r Route) fields() []field {
	return []field{
		{"Authority", r.Authority},
		{"Prefix", r.Prefix},
		{"Service", r.Service},
		{"Timeout", r.Timeout},
		{"Objective", r.Objective},
		{"SlackFactor", r.SlackFactor},
		{"Priority", r.Priority},
		{"Attempts", r.Attempts},
		{"Advised", r.Advised},
	}
}

func (s Service) fields() []field {
	return []field{{"AdmissionControl", s.AdmissionControl}, {"Standby", s.Standby}}
}

func (l Limits) fields() []field {
	return []field{
		{"HeaderBytes", l.HeaderBytes},
		{"BodyBytes", l.BodyBytes},
		{"HeaderTimeout", l.HeaderTimeout},
		{"IdleTimeout", l.IdleTimeout},
	}
}

// compareEntries compares entries by name. Names needn't be unique: the nth entry of a name is compared
// with the nth entry of that name.
func compareEntries[E any](part Part, before, after []E, name func(E) string, fields func(E) []field) []Finding {
	earlier := map[string][]E{}
	for _, e := range before {
		earlier[name(e)] = append(earlier[name(e)], e)
	}
	var all []Finding
	for i, e := range after {
		label := fmt.Sprintf("%q ", name(e))
		list := earlier[name(e)]
		if len(list) == 0 {
			all = append(all, Finding{Severity: SeverityDifference, Part: part, Index: i, Reason: label + "is added"})
			continue
		}
		earlier[name(e)] = list[1:]
		all = append(all, compareFields(part, i, label, fields(list[0]), fields(e))...)
	}
	for _, e := range before {
		if n := name(e); len(earlier[n]) > 0 {
			earlier[n] = earlier[n][1:]
			all = append(all, Finding{Severity: SeverityDifference, Part: part, Index: -1, Reason: fmt.Sprintf("%q is removed", n)})
		}
	}
	return all
}

func compareFields(part Part, index int, label string, before, after []field) []Finding {
	var all []Finding
	for i, f := range after {
		if f.value != before[i].value {
			reason := fmt.Sprintf("%schanges from %v to %v", label, text(before[i].value), text(f.value))
			all = append(all, Finding{Severity: SeverityDifference, Part: part, Index: index, Field: f.name, Reason: reason})
		}
	}
	return all
}

// text formats a value. An empty string is shown as "".
func text(value any) string {
	return cmp.Or(fmt.Sprint(value), `""`)
}
