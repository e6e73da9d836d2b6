package claim

import "time"

// Settings are the windows and limits of a Registry. All members of a replication group use the
// same Settings; a restored Registry takes them from its snapshot.
type Settings struct {
	DataCentre             string
	EpochWindow            time.Duration // how long sessions of an epoch stay valid after rotation
	KeptEpochs             int           // maximum number of rotated epochs that are still valid
	BareKeyWindow          time.Duration // how long a bare key is kept after its job has ended
	AnswerWindow           time.Duration // how long an answer is kept after its job has ended
	AnswerBytes            int64         // maximum total size of the answers in memory
	KeyTombstoneWindow     time.Duration // how long a cancelled key without a claim is refused
	GroupTombstoneWindow   time.Duration // how long submissions to a cancelled group are refused
	MaxSessionsPerCustomer int
	MaxClaims              int
	MaxClaimsPerCustomer   int
	MaxTombstones          int // for keys, and the same number for groups
	MaxHosts               int
}

// DefaultSettings returns the Settings of a Registry without options.
func DefaultSettings() Settings {
	return Settings{
		EpochWindow:            20 * time.Minute,
		KeptEpochs:             4,
		BareKeyWindow:          10 * time.Minute,
		AnswerWindow:           10 * time.Minute,
		AnswerBytes:            64 << 20,
		KeyTombstoneWindow:     10 * time.Minute,
		GroupTombstoneWindow:   time.Minute,
		MaxSessionsPerCustomer: 10_000,
		MaxClaims:              1 << 20,
		MaxClaimsPerCustomer:   1 << 18,
		MaxTombstones:          1 << 16,
		MaxHosts:               1024,
	}
}

// Option changes the Settings of a new Registry.
type Option func(*Settings)

// WithSettings replaces all Settings except the data centre.
func WithSettings(s Settings) Option {
	return func(old *Settings) {
		s.DataCentre = old.DataCentre
		*old = s
	}
}

// WithBareKeyWindow sets how long a bare key is kept after its job has ended.
func WithBareKeyWindow(d time.Duration) Option {
	return func(s *Settings) { s.BareKeyWindow = d }
}

// WithEpochs sets how many rotated epochs stay valid, and for how long.
func WithEpochs(kept int, window time.Duration) Option {
	return func(s *Settings) { s.KeptEpochs, s.EpochWindow = kept, window }
}

// WithAnswers limits the answers in memory by age and by total size in bytes.
func WithAnswers(window time.Duration, bytes int64) Option {
	return func(s *Settings) { s.AnswerWindow, s.AnswerBytes = window, bytes }
}

// WithMaxClaims limits the number of claims, in total and per customer.
func WithMaxClaims(all, perCustomer int) Option {
	return func(s *Settings) { s.MaxClaims, s.MaxClaimsPerCustomer = all, perCustomer }
}
