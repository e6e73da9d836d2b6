package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route maps requests to a service and bounds the jobs that they submit.
type Route struct {
	Name        string
	Authority   string // host name of the requests, compared without case
	Prefix      string // of the path of the requests
	Service     string
	Timeout     time.Duration
	Objective   time.Duration // fixed part of a job's response time objective
	SlackFactor float64       // factor of a job's expected run time; the product is the other part
	Priority    int           // 0 is the highest
	Attempts    int           // failed runs of a task after which its job fails
	Advised     bool          // another service has to approve the backend servers
}

// Service is a pool of backend servers.
type Service struct {
	Name             string
	AdmissionControl bool // the backend servers refuse runs that exceed their resources
	Standby          bool
}

// Limits bound the requests of callers.
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

// Validate returns an InvalidError for the first invalid field.
func (d Document) Validate() error {
	for err := range d.invalidFields() {
		return err
	}
	return nil
}

// Table looks up the route of a request.
type Table struct {
	Document Document

	byAuthority map[string][]Route // longest prefix first
}

// NewTable returns the table of a document, which must be valid.
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

// Match returns the route with the longest prefix of the path, and the rest of the path after the
// prefix. It returns false if no route matches.
func (t *Table) Match(authority, path string) (Route, string, bool) {
	for _, r := range t.byAuthority[strings.ToLower(authority)] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}
