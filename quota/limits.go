package quota

// Limits are the limits of a plan that are divided among data centres.
type Limits struct {
	MaxRunning      int
	MaxQueued       int
	StartsPerSecond int
}

// Plus returns the sum of each limit.
func (l Limits) Plus(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return x + y })
}

// Minus returns the difference of each limit, at least 0.
func (l Limits) Minus(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return max(x-y, 0) })
}

// Min returns the lesser of each limit.
func (l Limits) Min(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return min(x, y) })
}

// Half returns half of each limit, rounded up so that a limit of 1 can be lent.
func (l Limits) Half() Limits {
	return l.combine(l, func(x, _ int) int { return (x + 1) / 2 })
}

// MaskedBy returns the limits, with 0 for those that are 0 in want.
func (l Limits) MaskedBy(want Limits) Limits {
	return l.combine(want, func(x, y int) int {
		if y <= 0 {
			return 0
		}
		return x
	})
}

// Within reports whether no limit exceeds that of o.
func (l Limits) Within(o Limits) bool {
	return l.Min(o) == l
}

// Total returns the sum of the three limits, to compare amounts.
func (l Limits) Total() int {
	return l.MaxRunning + l.MaxQueued + l.StartsPerSecond
}

func (l Limits) combine(o Limits, f func(x, y int) int) Limits {
	return Limits{
		MaxRunning:      f(l.MaxRunning, o.MaxRunning),
		MaxQueued:       f(l.MaxQueued, o.MaxQueued),
		StartsPerSecond: f(l.StartsPerSecond, o.StartsPerSecond),
	}
}
