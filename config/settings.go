// Package config decodes the settings of the daemon into typed, validated
// structs with defaults.
package config

import "time"

// Settings holds all settings of a daemon.
type Settings struct {
	Host   Host
	Hosts  []HostAddress // all entry hosts of the system, including this one
	Lists  Lists
	Limits Limits
	Timing Timing
	Log    Log
}

// Host holds the identity, the listen address and the data folder of this host.
type Host struct {
	Name       string
	DataCentre string
	Listen     string // IP and port for callers, backend servers and operators
	DataFolder string // empty on a host without a disk
}

// HostAddress holds the addresses of an entry host.
type HostAddress struct {
	Name       string
	DataCentre string
	Address    string // IP and port for the other hosts
	Front      string // IP and port for callers, backend servers and operators
}

// Lists names the hosts that store the operators' two lists.
type Lists struct {
	Hosts []string // names of hosts with a disk, at most 7
}

// Limits bounds the input that the daemon accepts.
type Limits struct {
	BodyBytes       int // size of one HTTP body
	Bodies          int // HTTP bodies of BodyBytes that may be read at the same time on a listener; smaller ones may be more
	TaskBodyBytes   int // size of the body of one task
	ResultBytes     int // size of the result of one task
	JobTasks        int // tasks in one job, even if the plan allows more
	Jobs            int // jobs in flight on this host
	Connections     int // connections from callers, backend servers and operators
	ListBytes       int // size of the text of one list
	ListLines       int // customers or plans in one list
	MailboxMessages int // requests queued for one service
}

// Timing holds the intervals of the protocols between hosts.
type Timing struct {
	Heartbeat       time.Duration // interval between heartbeats of a primary
	Lease           time.Duration // how long a primary or a host may act without renewing its lease
	Election        time.Duration // time without messages from the primary before an election
	CallTimeout     time.Duration // timeout of one message exchange between hosts
	TaskTimeout     time.Duration // timeout of one task call without a deadline
	BackendLease    time.Duration // maximum lease of a backend server
	KeyWindow       time.Duration // how long an idempotency key without a session is kept
	SessionEpoch    time.Duration // how long new sessions are opened in one epoch
	ShutdownTimeout time.Duration // maximum duration of a graceful shutdown
}

// Log configures the log.
type Log struct {
	Level string // Debug, Info, Warn or Error
}
