package stand

// Counts holds the counters of a stand-in server since its start.
type Counts struct {
	Announced       int            // announcements accepted by an entry host
	Calls           int            // task calls received
	Total           int            // tasks started
	Refused         int            // calls answered NotStarted, for any reason
	OverSlots       int            // refused because all slots were taken
	Stale           int            // refused because of a stale fencing token
	Duplicated      int            // calls for a task that had already started
	Revoked         int            // revocations received
	Late            int            // answers after the deadline or to a caller that had disconnected
	Failed          int            // answers with status Failed
	PeakRunning     int            // most tasks running at the same time
	PeakConnections int            // most connections open at the same time
	Starts          map[string]int // starts by label
	Tasks           map[string]int // starts by task id
}

// Sum adds up the counts of several stand-in servers. The peaks are the maxima over the
// individual servers, not sums.
func Sum(all ...Counts) Counts {
	sum := Counts{Starts: map[string]int{}, Tasks: map[string]int{}}
	for _, c := range all {
		sum.Announced += c.Announced
		sum.Calls += c.Calls
		sum.Total += c.Total
		sum.Refused += c.Refused
		sum.OverSlots += c.OverSlots
		sum.Stale += c.Stale
		sum.Duplicated += c.Duplicated
		sum.Revoked += c.Revoked
		sum.Late += c.Late
		sum.Failed += c.Failed
		sum.PeakRunning = max(sum.PeakRunning, c.PeakRunning)
		sum.PeakConnections = max(sum.PeakConnections, c.PeakConnections)
		merge(sum.Starts, c.Starts)
		merge(sum.Tasks, c.Tasks)
	}
	return sum
}

// Repeated returns the labels that were started more than once.
func (c Counts) Repeated() []string {
	var labels []string
	for label, n := range c.Starts {
		if n > 1 {
			labels = append(labels, label)
		}
	}
	return labels
}

func merge(into, from map[string]int) {
	for key, n := range from {
		into[key] += n
	}
}
