package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route is one queue of jobs.
type Route struct {
	Name        string
	Authority   string // host name in the requests
	Prefix      string // of the path
	Service     string
	Timeout     time.Duration
	Objective   time.Duration // added to the run time that a job is allowed
	SlackFactor float64       // times the run time of a job
	Priority    int           // 0 comes first
	Attempts    int           // runs of a task that may fail
	Advised     bool          // another service has to approve the backend servers
}

// Service is one pool of backend servers.
type Service struct {
	Name             string
	AdmissionControl bool // its backend servers refuse what doesn't fit
	Standby          bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of all routes and services.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Validate returns an InvalidError for the first field that makes the document
// unusable.
func (d Document) Validate() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	places := map[string]string{}
	for i, r := range d.Routes {
		place := strings.ToLower(r.Authority) + " " + r.Prefix
		other, taken := places[place]
		switch {
		case taken:
			return invalid(i, "Prefix", "route %q has the host and prefix of route %q", r.Name, other)
		case !services[r.Service]:
			return invalid(i, "Service", "route %q names service %q, which isn't listed", r.Name, r.Service)
		case r.Timeout <= 0:
			return invalid(i, "Timeout", "route %q has no timeout", r.Name)
		}
		places[place] = r.Name
	}
	if d.Version == 0 {
		return &InvalidError{Route: -1, Field: "Version", Reason: "is missing"}
	}
	return nil
}

// Table finds the route of a request.
type Table struct {
	Document Document

	byAuthority map[string][]Route // longest prefix first
}

// NewTable returns the table of a valid document.
func NewTable(d Document) *Table {
	t := &Table{Document: d, byAuthority: map[string][]Route{}}
	for _, r := range d.Routes {
		key := strings.ToLower(r.Authority)
		t.byAuthority[key] = append(t.byAuthority[key], r)
	}
	for _, list := range t.byAuthority {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of the path, and what follows
// the prefix.
func (t *Table) Match(authority, path string) (Route, string, bool) {
	for _, r := range t.byAuthority[strings.ToLower(authority)] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}
