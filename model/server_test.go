package model

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

// TestValidateServer guards against entries of other writers: a server with a field out of its range
// is called in vain at each takeover, and sums over its capacity overflow.
func TestValidateServer(t *testing.T) {
	tests := map[string]struct {
		change func(s *Server)
		field  string // empty if the server is valid
	}{
		"valid": {change: func(*Server) {}},
		"largest of everything": {change: func(s *Server) {
			s.CPU, s.MemoryMB, s.Accelerators, s.Seq = MaxCPU, MaxMemoryMB, MaxAccelerators, MaxNumber
		}},
		"IPv6":                  {change: func(s *Server) { s.Address = "[fd00::1]:8080" }},
		"left":                  {change: func(s *Server) { *s = Server{Name: s.Name, Left: true} }},
		"left without a name":   {change: func(s *Server) { *s = Server{Left: true} }, field: "Name"},
		"no name":               {change: func(s *Server) { s.Name = "" }, field: "Name"},
		"name not UTF-8":        {change: func(s *Server) { s.Name = "\xff" }, field: "Name"},
		"line break in name":    {change: func(s *Server) { s.Name = "a\nb" }, field: "Name"},
		"no address":            {change: func(s *Server) { s.Address = "" }, field: "Address"},
		"port above the range":  {change: func(s *Server) { s.Address = "10.0.0.1:65536" }, field: "Address"},
		"multicast":             {change: func(s *Server) { s.Address = "224.0.0.1:80" }, field: "Address"},
		"no data centre":        {change: func(s *Server) { s.DataCentre = "" }, field: "DataCentre"},
		"no service":            {change: func(s *Server) { s.Service = "" }, field: "Service"},
		"started in 1970":       {change: func(s *Server) { s.Born = 1 }, field: "Born"},
		"started in the future": {change: func(s *Server) { s.Born = math.MaxInt64 }, field: "Born"},
		"seq above the range":   {change: func(s *Server) { s.Seq = math.MaxUint64 }, field: "Seq"},
		"no CPU":                {change: func(s *Server) { s.CPU = 0 }, field: "CPU"},
		"CPU above the range":   {change: func(s *Server) { s.CPU = math.MaxInt64 }, field: "CPU"},
		"negative memory":       {change: func(s *Server) { s.MemoryMB = math.MinInt64 }, field: "MemoryMB"},
		"accelerators":          {change: func(s *Server) { s.Accelerators = math.MaxInt64 }, field: "Accelerators"},
		"many labels":           {change: func(s *Server) { s.Labels = slices.Repeat(s.Labels, maxLabels) }, field: "Labels"},
		"long label":            {change: func(s *Server) { s.Labels[0] = strings.Repeat("a", MaxName+1) }, field: "Labels"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Server{
				Name: "i-1", Address: "10.0.0.1:8080", DataCentre: "a", Service: "s", Born: 1_700_000_000_000, Seq: 4,
				CPU: 16000, MemoryMB: 32768, Labels: []string{"a", "r1-3"},
			}
			tt.change(&s)
			err := s.Validate()
			var invalid *ServerError
			if tt.field == "" && err != nil {
				t.Fatal(err)
			}
			if tt.field != "" && (!errors.As(err, &invalid) || invalid.Field != tt.field) {
				t.Fatalf("error %v, want one for field %s", err, tt.field)
			}
		})
	}
}
