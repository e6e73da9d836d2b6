package config

import "time"

// Default returns the default settings: a single host in a single data centre, on loopback.
func Default() Settings {
	return Settings{
		Host:   Host{Name: "local", DataCentre: "local", Listen: "127.0.0.1:8080"},
		Hosts:  []HostAddress{{Name: "local", DataCentre: "local", Address: "127.0.0.1:7080", Front: "127.0.0.1:8080"}},
		Lists:  Lists{Hosts: []string{"local"}},
		Limits: DefaultLimits(),
		Timing: DefaultTiming(),
		Log:    Log{Level: "Info"},
	}
}

// DefaultLimits returns the limits that apply unless the settings override them.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:       8 << 20,
		Bodies:          8,
		TaskBodyBytes:   64 << 10,
		ResultBytes:     64 << 10,
		JobTasks:        1000,
		Jobs:            20000,
		Connections:     10000,
		ListBytes:       1 << 20,
		ListLines:       10000,
		MailboxMessages: 16384,
	}
}

// DefaultTiming returns the intervals that apply unless the settings override them.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:       250 * time.Millisecond,
		Lease:           time.Second,
		Election:        1500 * time.Millisecond,
		CallTimeout:     2 * time.Second,
		TaskTimeout:     30 * time.Second,
		BackendLease:    5 * time.Second,
		KeyWindow:       5 * time.Minute,
		SessionEpoch:    2 * time.Minute,
		ShutdownTimeout: 30 * time.Second,
	}
}
