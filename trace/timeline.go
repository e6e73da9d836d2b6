package trace

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
)

// contextWindow is how long before and after the job's own lines the lines about its hosts and
// backend servers are included. The failure of a host is detected within a second.
const contextWindow = 2 * time.Second

// Timeline holds the log lines about one job.
type Timeline struct {
	Lines    []Line // sorted by time
	Deciding int    // index of the line that explains the outcome, -1 if there is none
}

// eventWeights rates events by how much they explain a job's outcome. Line.weight rates further
// events by their fields; the weight of all others is 0.
var eventWeights = map[int]int{
	events.JobAnswered.Code:  1,
	events.JobRehanded.Code:  4,
	events.CallerLeft.Code:   3,
	events.CallerGone.Code:   3,
	events.PlacerSilent.Code: 5,
}

// ForJob returns the timeline of a job. The lines may be in any order.
func ForJob(job string, lines []Line) Timeline {
	selected := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Job != job })
	if len(selected) == 0 {
		return Timeline{Deciding: -1}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(selected, byTime)
	start, end := selected[0].Time.Add(-contextWindow), selected[len(selected)-1].Time.Add(contextWindow)
	names := map[string]bool{}
	for _, l := range selected {
		for _, name := range []string{l.BackendServer, l.Placer} {
			if name != "" {
				names[name] = true
			}
		}
	}
	hosts := entryHosts(selected)
	for _, l := range lines {
		if l.Job == "" && !l.Time.Before(start) && !l.Time.After(end) && l.isRelated(names, hosts) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return Timeline{Lines: selected, Deciding: decidingLine(selected)}
}

// entryHosts returns the entry hosts that waited for the job. What other hosts logged about its
// placer did not affect the job.
func entryHosts(lines []Line) map[string]bool {
	hosts := map[string]bool{}
	for _, l := range lines {
		switch l.Event {
		case events.JobTaken.Code, events.JobAnswered.Code, events.CallerLeft.Code, events.CallerGone.Code, events.JobRehanded.Code:
			hosts[l.Host] = true
		}
	}
	return hosts
}

// isRelated reports whether a line without a job is about one of the named backend servers or, if
// logged by one of the hosts, about one of the named placers.
func (l Line) isRelated(names, hosts map[string]bool) bool {
	switch l.Event {
	case events.ServerChanged.Code:
		return names[l.BackendServer]
	case events.PlacerSilent.Code, events.PlacerAnswers.Code, events.PlacerKnown.Code:
		return names[l.Placer] && hosts[l.Host]
	default:
		return false
	}
}

// decidingLine returns the index of the last line with the highest weight, up to the job's own last
// line. The answer of a complete job has the highest weight of all.
func decidingLine(lines []Line) int {
	end := 0
	for i, l := range lines {
		if l.Job != "" {
			end = i
		}
	}
	best, bestWeight := -1, -1
	for i, l := range lines[:end+1] {
		if w := l.weight(); w >= bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

func (l Line) weight() int {
	switch {
	case l.Event == events.JobPlaced.Code && l.Outcome == "Refused":
		return 8
	case l.Event == events.RunChanged.Code && l.Change == "Ended" && l.Reason == "Failed":
		return 7
	case l.Event == events.RunChanged.Code && l.Change == "Retried":
		return 4
	case l.Event == events.JobPlaced.Code:
		return 2
	case l.Event == events.JobAnswered.Code && l.Outcome == "Refused":
		return 6
	case l.Event == events.JobAnswered.Code && l.Outcome == "Complete":
		return 9
	}
	return eventWeights[l.Event]
}
