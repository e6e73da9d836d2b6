package routes

import (
	"errors"
	"testing"
	"time"
)

func document(change func(d *Document)) Document {
	d := Document{
		Version: 7,
		Routes: []Route{
			{Name: "r1", Authority: "a.example", Prefix: "/x/", Service: "s", Timeout: time.Second},
			{Name: "r2", Authority: "a.example", Prefix: "/x/y/", Service: "s", Timeout: time.Second},
		},
		Services: []Service{{Name: "s"}},
	}
	change(&d)
	return d
}

func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(d *Document)
		route  int
		field  string // empty when the document is valid
	}{
		"valid":                     {change: func(*Document) {}},
		"unknown service":           {change: func(d *Document) { d.Routes[1].Service = "none" }, route: 1, field: "Service"},
		"same host and prefix":      {change: func(d *Document) { d.Routes[1].Prefix = "/x/" }, route: 1, field: "Prefix"},
		"same host in another case": {change: func(d *Document) { d.Routes[1].Prefix, d.Routes[1].Authority = "/x/", "A.example" }, route: 1, field: "Prefix"},
		"no timeout":                {change: func(d *Document) { d.Routes[0].Timeout = 0 }, route: 0, field: "Timeout"},
		"a negative timeout":        {change: func(d *Document) { d.Routes[0].Timeout = -1 }, route: 0, field: "Timeout"},
		"no version":                {change: func(d *Document) { d.Version = 0 }, route: -1, field: "Version"},
		"no routes are valid":       {change: func(d *Document) { d.Routes = nil }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := document(tt.change).Validate()
			var bad *InvalidError
			if errors.As(err, &bad) != (tt.field != "") {
				t.Fatalf("error %v", err)
			}
			if bad != nil && (bad.Field != tt.field || bad.Route != tt.route) {
				t.Fatalf("error %+v, want route %d, field %s", bad, tt.route, tt.field)
			}
		})
	}
}

func TestMatch(t *testing.T) {
	tests := map[string]struct {
		authority string
		path      string
		route     string
		rest      string
	}{
		"the longest prefix": {authority: "a.example", path: "/x/y/1", route: "r2", rest: "1"},
		"a shorter prefix":   {authority: "a.example", path: "/x/z", route: "r1", rest: "z"},
		"any case of host":   {authority: "A.Example", path: "/x/1", route: "r1", rest: "1"},
		"another host":       {authority: "b.example", path: "/x/1"},
		"no matching prefix": {authority: "a.example", path: "/z/1"},
	}
	table := NewTable(document(func(*Document) {}))
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, rest, ok := table.Match(tt.authority, tt.path)
			if r.Name != tt.route || rest != tt.rest || ok != (tt.route != "") {
				t.Fatalf("route %q, rest %q, found %v", r.Name, rest, ok)
			}
		})
	}
}
