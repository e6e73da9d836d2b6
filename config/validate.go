package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// maxListsHosts is the maximum number of hosts that may be set aside for control.
const maxListsHosts = 7

// maxBodies is the maximum number of bodies that may be read at the same time.
const maxBodies = 100_000

// minDuration is the shortest interval that a setting may have.
const minDuration = time.Millisecond

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	logLevels   = []string{"Debug", "Info", "Warn", "Error"}
)

func validate(d *Document, s Settings) {
	validateHost(d, s)
	validateHosts(d, s)
	validateLists(d, s)
	validateLimits(d, s.Limits)
	validateTiming(d, s.Timing)
	if !slices.Contains(logLevels, s.Log.Level) {
		d.Fail("Log.Level", "%q is none of %v", s.Log.Level, logLevels)
	}
}

// Warnings returns one sentence for each valid but inadvisable setting.
func Warnings(s Settings) []string {
	if n := len(s.Lists.Hosts); n%2 == 0 {
		return []string{fmt.Sprintf("Lists.Hosts names %d hosts, which tolerate no more failures than %d would", n, n-1)}
	}
	return nil
}

func validateHost(d *Document, s Settings) {
	validateName(d, "Host.Name", s.Host.Name)
	validateName(d, "Host.DataCentre", s.Host.DataCentre)
	validateAddress(d, "Host.Listen", s.Host.Listen)
	i := slices.IndexFunc(s.Hosts, func(h HostAddress) bool { return h.Name == s.Host.Name })
	if i < 0 {
		d.Fail("Host.Name", "%q is not among Hosts", s.Host.Name)
		return
	}
	if s.Hosts[i].DataCentre != s.Host.DataCentre {
		d.Fail("Host.DataCentre", "is %q here and %q in Hosts", s.Host.DataCentre, s.Hosts[i].DataCentre)
	}
}

func validateHosts(d *Document, s Settings) {
	names, addresses := unique{}, unique{}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("Hosts[%d]", i)
		validateName(d, path+".Name", h.Name)
		validateName(d, path+".DataCentre", h.DataCentre)
		validateAddress(d, path+".Address", h.Address)
		validateAddress(d, path+".Front", h.Front)
		names.check(d, path+".Name", h.Name)
		addresses.check(d, path+".Address", h.Address)
		addresses.check(d, path+".Front", h.Front)
	}
}

func validateLists(d *Document, s Settings) {
	if n := len(s.Lists.Hosts); n == 0 || n > maxListsHosts {
		d.Fail("Lists.Hosts", "names %d hosts; it must be 1 to %d", n, maxListsHosts)
	}
	names := unique{}
	for i, name := range s.Lists.Hosts {
		path := fmt.Sprintf("Lists.Hosts[%d]", i)
		if !slices.ContainsFunc(s.Hosts, func(h HostAddress) bool { return h.Name == name }) {
			d.Fail(path, "%q is not among Hosts", name)
		}
		names.check(d, path, name)
	}
}

func validateLimits(d *Document, l Limits) {
	limits := map[string]int{
		"BodyBytes": l.BodyBytes, "Bodies": l.Bodies, "TaskBodyBytes": l.TaskBodyBytes, "ResultBytes": l.ResultBytes,
		"JobTasks": l.JobTasks, "Jobs": l.Jobs, "Connections": l.Connections,
		"ListBytes": l.ListBytes, "ListLines": l.ListLines, "MailboxMessages": l.MailboxMessages,
	}
	for name, n := range limits {
		if n < 1 {
			d.Fail("Limits."+name, "is %d; it must be at least 1", n)
		}
	}
	if l.Bodies > maxBodies {
		d.Fail("Limits.Bodies", "is %d; it must be at most %d", l.Bodies, maxBodies)
	}
	if l.TaskBodyBytes > l.BodyBytes {
		d.Fail("Limits.TaskBodyBytes", "is %d, more than BodyBytes of %d", l.TaskBodyBytes, l.BodyBytes)
	}
	if l.ListBytes > l.BodyBytes {
		d.Fail("Limits.ListBytes", "is %d, more than BodyBytes of %d", l.ListBytes, l.BodyBytes)
	}
}

func validateTiming(d *Document, t Timing) {
	times := map[string]time.Duration{
		"Heartbeat": t.Heartbeat, "Lease": t.Lease, "Election": t.Election,
		"CallTimeout": t.CallTimeout, "TaskTimeout": t.TaskTimeout, "BackendLease": t.BackendLease,
		"KeyWindow": t.KeyWindow, "SessionEpoch": t.SessionEpoch, "ShutdownTimeout": t.ShutdownTimeout,
	}
	for name, interval := range times {
		if interval < minDuration {
			d.Fail("Timing."+name, "is %v; it must be at least %v", interval, minDuration)
		}
	}
	order := []struct{ less, more string }{
		{"Heartbeat", "Lease"},
		{"Lease", "Election"},
		{"Heartbeat", "CallTimeout"},
		{"Heartbeat", "BackendLease"},
		{"CallTimeout", "KeyWindow"},
	}
	for _, r := range order {
		if times[r.less] >= times[r.more] {
			d.Fail("Timing."+r.less, "is %v; it must be shorter than %s of %v", times[r.less], r.more, times[r.more])
		}
	}
}

func validateName(d *Document, path, name string) {
	if !namePattern.MatchString(name) {
		d.Fail(path, "%q is not a name: 1 to 63 letters, digits, dots, dashes or underscores", name)
	}
}

func validateAddress(d *Document, path, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 {
		d.Fail(path, "%q is not an IP address and port such as 127.0.0.1:8080", address)
	}
}

// unique maps each value to the path of the field that named it first.
type unique map[string]string

func (u unique) check(d *Document, path, value string) {
	if first, ok := u[value]; ok {
		d.Fail(path, "%q is already named by %s in line %d", value, first, d.Position(first).Line)
		return
	}
	u[value] = path
}
