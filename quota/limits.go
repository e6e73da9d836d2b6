package quota

// Limits are the parts of a plan that are split over data centres.
type Limits struct {
	MaxRunning      int
	MaxQueued       int
	StartsPerSecond int
}

// Plus returns the sums.
func (l Limits) Plus(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return x + y })
}

// Minus returns the differences, at least 0.
func (l Limits) Minus(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return max(x-y, 0) })
}

// AtMost returns the lesser ones.
func (l Limits) Min(o Limits) Limits {
	return l.combine(o, func(x, y int) int { return min(x, y) })
}

// Half returns the halves, rounded up so that a single one can be lent.
func (l Limits) Half() Limits {
	return l.combine(l, func(x, _ int) int { return (x + 1) / 2 })
}

// Wanted returns the limits with those set to 0 of which want has none.
func (l Limits) MaskedBy(want Limits) Limits {
	return l.combine(want, func(x, y int) int {
		if y <= 0 {
			return 0
		}
		return x
	})
}

// Within tells whether no limit is above the one of o.
func (l Limits) Within(o Limits) bool {
	return l.Min(o) == l
}

// Total returns the sum over the limits, to compare amounts.
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
