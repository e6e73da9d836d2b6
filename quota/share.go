package quota

import "github.com/cespare/xxhash/v2"

// keySeparator separates the parts of a hashed key; names contain no NUL byte.
const keySeparator = "\x00"

// Share returns the part of a customer's limits that the data centre own has without borrowing. The
// shares of all data centres add up to the limits. Remainders are assigned to data centres by a
// hash of the customer's name.
//
// With the same data centres, a greater limit gives no data centre a smaller share. While a change
// of a limit propagates, the shares in use therefore never add up to more than the greater of the
// old and the new limit.
func Share(customer string, l Limits, dataCentres []string, own string) Limits {
	n := len(dataCentres)
	r, ok := rank(customer, dataCentres, own)
	if !ok {
		return Limits{}
	}
	part := func(limit int) int { return (max(limit, 0) + n - 1 - r) / n }
	return Limits{
		MaxRunning:      part(l.MaxRunning),
		MaxQueued:       part(l.MaxQueued),
		StartsPerSecond: part(l.StartsPerSecond),
	}
}

// rank returns the position of a data centre in the customer's order of data centres, and whether
// the list contains it.
func rank(customer string, dataCentres []string, own string) (int, bool) {
	r, found := 0, false
	weight := hash(customer, own)
	for _, dc := range dataCentres {
		if dc == own {
			found = true
			continue
		}
		other := hash(customer, dc)
		if other > weight || (other == weight && dc < own) {
			r++
		}
	}
	return r, found
}

func hash(customer, dataCentre string) uint64 {
	return xxhash.Sum64String(dataCentre + keySeparator + customer)
}
