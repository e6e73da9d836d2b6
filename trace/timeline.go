package trace

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
)

// around is how long before and after a job's own lines those of its hosts and
// backend servers belong to its story: a host is missed within a second.
const around = 2 * time.Second

// Story is what the logs tell of one job.
type Story struct {
	Lines    []Line // in the order of their times
	Deciding int    // position of the line that decided the end, -1 for none
}

// weights order the lines by how much they say of why a job ended as it did; all
// others weigh nothing.
var weights = map[int]int{
	events.JobAnswered.Code:  1,
	events.JobRehanded.Code:  4,
	events.CallerLeft.Code:   3,
	events.CallerGone.Code:   3,
	events.PlacerSilent.Code: 5,
}

// Of returns the story of a job.
func Of(job string, lines []Line) Story {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Job != job })
	if len(own) == 0 {
		return Story{Deciding: -1}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	about := map[string]bool{}
	for _, l := range own {
		for _, name := range []string{l.BackendServer, l.Placer} {
			if name != "" {
				about[name] = true
			}
		}
	}
	waited := waiters(own)
	for _, l := range lines {
		if l.Job == "" && !l.Time.Before(from) && !l.Time.After(to) && l.concerns(about, waited) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return Story{Lines: own, Deciding: deciding(own)}
}

// waiters returns the entry hosts that waited for the job: what others knew of its
// placer didn't matter to it.
func waiters(lines []Line) map[string]bool {
	hosts := map[string]bool{}
	for _, l := range lines {
		switch l.Event {
		case events.JobTaken.Code, events.JobAnswered.Code, events.CallerLeft.Code, events.CallerGone.Code, events.JobRehanded.Code:
			hosts[l.Host] = true
		}
	}
	return hosts
}

// concerns tells whether a line without a job tells of one of the backend servers
// or, on one of the hosts, of one of the placers.
func (l Line) concerns(names, hosts map[string]bool) bool {
	switch l.Event {
	case events.ServerChanged.Code:
		return names[l.BackendServer]
	case events.PlacerSilent.Code, events.PlacerAnswers.Code, events.PlacerKnown.Code:
		return names[l.Placer] && hosts[l.Host]
	default:
		return false
	}
}

// deciding returns the last of the lines that weigh most, up to the last one of
// the job. A job that is complete was decided by its end.
func deciding(lines []Line) int {
	end := 0
	for i, l := range lines {
		if l.Job != "" {
			end = i
		}
	}
	best, most := -1, -1
	for i, l := range lines[:end+1] {
		if w := l.weight(); w >= most {
			best, most = i, w
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
	return weights[l.Event]
}
