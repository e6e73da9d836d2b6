package claim

import "github.com/cespare/xxhash/v2"

// keySeparator separates the parts of a hashed key; names contain no NUL byte.
const keySeparator = "\x00"

// Home returns the data centre that owns the claims on a bare key, by rendezvous hashing: the order
// of the list doesn't matter, and a change of the list moves only keys of the data centres that
// were added or removed. It returns an empty string for an empty list.
func Home(dataCentres []string, customer, key string) string {
	var home string
	var highest uint64
	for _, dc := range dataCentres {
		weight := xxhash.Sum64String(dc + keySeparator + customer + keySeparator + key)
		if home == "" || weight > highest || (weight == highest && dc < home) {
			home, highest = dc, weight
		}
	}
	return home
}
