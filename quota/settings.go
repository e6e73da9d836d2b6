package quota

import "time"

// Settings are the durations and limits of loans. All data centres must use the same LoanTime,
// Margin and Drain.
type Settings struct {
	LoanTime time.Duration // nominal duration of a loan; see the package comment
	Margin   time.Duration // safety margin on either side, for the clock drift over LoanTime
	Drain    time.Duration // maximum run time of a task, after which it is stopped
	Lag      time.Duration // maximum delay until a configuration change is active everywhere
	MaxLoans int           // maximum number of loans recorded at the same time
}

// DefaultSettings returns the Settings without options.
func DefaultSettings() Settings {
	return Settings{
		LoanTime: 30 * time.Second,
		Margin:   time.Second,
		Drain:    10 * time.Second,
		Lag:      4 * time.Second,
		MaxLoans: 4096,
	}
}

// Option changes Settings.
type Option func(*Settings)

// WithLoanTime sets the duration of a loan and the safety margin on either side.
func WithLoanTime(d, margin time.Duration) Option {
	return func(s *Settings) { s.LoanTime, s.Margin = d, margin }
}

// WithDrain sets the maximum run time of a task.
func WithDrain(d time.Duration) Option {
	return func(s *Settings) { s.Drain = d }
}

// WithMaxLoans limits the number of loans recorded at the same time.
func WithMaxLoans(n int) Option {
	return func(s *Settings) { s.MaxLoans = n }
}

// SettleTime returns how long a change of limits or data centres takes to have full effect: it has
// reached every data centre, the loans made before it have expired, and the tasks started under the
// old limits have ended.
func (s Settings) SettleTime() time.Duration {
	return s.Lag + s.LoanTime + 2*s.Margin + s.Drain
}

func newSettings(opts []Option) Settings {
	s := DefaultSettings()
	for _, opt := range opts {
		opt(&s)
	}
	return s
}
