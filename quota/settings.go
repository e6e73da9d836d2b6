package quota

import "time"

// Settings are the times and bounds of loans. All data centres use the same
// LoanTime, Margin and Drain.
type Settings struct {
	LoanTime time.Duration // from the request until the lender may count on its part
	Margin   time.Duration // at each end, for the drift of the clocks over LoanTime
	Drain    time.Duration // longest time that a task runs; it is stopped then
	Lag      time.Duration // until a change of configuration is in force everywhere
	MaxLoans int           // out at the same time
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

// WithLoanTime sets the time of a loan and the margin at each end of it.
func WithLoanTime(d, margin time.Duration) Option {
	return func(s *Settings) { s.LoanTime, s.Margin = d, margin }
}

// WithDrain sets the longest time that a task runs.
func WithDrain(d time.Duration) Option {
	return func(s *Settings) { s.Drain = d }
}

// WithMaxLoans bounds the loans out at the same time.
func WithMaxLoans(n int) Option {
	return func(s *Settings) { s.MaxLoans = n }
}

// Settle returns the time after which a change of limits or data centres has
// taken full effect: it has reached every data centre, the loans made before
// are over, and what was started under the old limits has ended.
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
