package model

import (
	"fmt"
	"net/netip"
	"slices"
	"unicode"
	"unicode/utf8"
)

// Server is the report of a backend server that runs tasks under a lease.
type Server struct {
	Name         string
	Address      string // IP and port on which it accepts orders
	DataCentre   string
	Service      string
	Born         int64  // start of its process in Unix milliseconds, 0 if not reported
	Seq          uint64 // sequence number, increases with each report of a process
	CPU          int64  // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Labels       []string // the first one is its kind
	Draining     bool
	Left         bool
}

// Kind returns the first label, which servers of the same hardware share, or "" if there is none.
func (s Server) Kind() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[0]
}

// Newer reports whether the report is newer than another report of the same server. The process that
// started later has the newer reports.
func (s Server) Newer(other Server) bool {
	if s.Born != other.Born {
		return s.Born > other.Born
	}
	return s.Seq > other.Seq
}

// Upper limits of what a server has and a task asks for. They are far above any real server, so that
// what is beyond them comes from a faulty writer, and sums over a table stay within an int64.
const (
	MaxCPU          = 1_000_000_000 // thousandths of a core, a million cores
	MaxMemoryMB     = 1 << 30       // a petabyte
	MaxAccelerators = 1_000_000
)

// MaxNumber is the largest whole number that every JSON reader keeps exactly.
const MaxNumber = 1 << 53

// MaxName is the size in bytes of the longest name or label.
const MaxName = 255

const (
	maxLabels = 64 // per server

	minBorn = 946_684_800_000   // Unix milliseconds, the year 2000
	maxBorn = 4_102_444_800_000 // Unix milliseconds, the year 2100
)

// ServerError reports a field of a server's report that names no server to use.
type ServerError struct {
	Server string
	Field  string // of Server
	Reason string
}

// Error returns the server, the field and the reason.
func (e *ServerError) Error() string {
	return fmt.Sprintf("backend server %q: field %s %s", e.Server, e.Field, e.Reason)
}

// Validate returns a ServerError for the first field that is missing or out of range, or nil. Of a server
// that has left only the name counts.
func (s Server) Validate() error {
	if !ValidName(s.Name) {
		return &ServerError{Server: s.Name, Field: "Name", Reason: nameReason}
	}
	if s.Left {
		return nil
	}
	for _, check := range []func() (field, reason string){s.checkNames, s.checkProcess, s.checkCapacity} {
		if field, reason := check(); field != "" {
			return &ServerError{Server: s.Name, Field: field, Reason: reason}
		}
	}
	return nil
}

// checkNames returns the first invalid field among the address, names and labels, and the reason.
func (s Server) checkNames() (field, reason string) {
	switch {
	case !validAddress(s.Address):
		return "Address", "is not the IP address and port of one host"
	case !ValidName(s.DataCentre):
		return "DataCentre", nameReason
	case !ValidName(s.Service):
		return "Service", nameReason
	case len(s.Labels) > maxLabels:
		return "Labels", fmt.Sprintf("has %d entries, more than %d", len(s.Labels), maxLabels)
	case slices.ContainsFunc(s.Labels, func(label string) bool { return !ValidName(label) }):
		return "Labels", "has an entry that " + nameReason
	}
	return "", ""
}

// checkProcess does the same for the start of the process and the number of the report.
func (s Server) checkProcess() (field, reason string) {
	switch {
	case s.Born != 0 && (s.Born < minBorn || s.Born > maxBorn):
		return "Born", fmt.Sprintf("is %d, not a time from 2000 to 2100 in Unix milliseconds", s.Born)
	case s.Seq > MaxNumber:
		return "Seq", fmt.Sprintf("is %d, above %d", s.Seq, uint64(MaxNumber))
	}
	return "", ""
}

// checkCapacity does the same for the resources.
func (s Server) checkCapacity() (field, reason string) {
	switch {
	case s.CPU < 1 || s.CPU > MaxCPU:
		return "CPU", fmt.Sprintf("is %d, not 1 to %d", s.CPU, MaxCPU)
	case s.MemoryMB < 1 || s.MemoryMB > MaxMemoryMB:
		return "MemoryMB", fmt.Sprintf("is %d, not 1 to %d", s.MemoryMB, MaxMemoryMB)
	case s.Accelerators < 0 || s.Accelerators > MaxAccelerators:
		return "Accelerators", fmt.Sprintf("is %d, not 0 to %d", s.Accelerators, MaxAccelerators)
	}
	return "", ""
}

const nameReason = "is not a name: 1 to 255 bytes of printable UTF-8"

// ValidName reports whether a name from outside may be used: 1 to 255 bytes of printable UTF-8. Other
// strings can't be encoded in messages to other hosts or break up log lines.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxName || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// validAddress reports whether the address has the IP address of a single host and a port.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
