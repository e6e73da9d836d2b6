package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

const (
	learnedInterval  = 30 * time.Second // between broadcasts of the learned run times
	handoverInterval = time.Second      // the same while leadership is handed over
)

// broadcastLearned sends the run times that the placer has learned to the other members, so that the
// next primary starts from them. It does nothing if the last broadcast is less than every ago.
func (n *Member) broadcastLearned(every time.Duration, now time.Time) {
	if now.Sub(n.primary.learnedSentAt) < every {
		return
	}
	n.primary.learnedSentAt = now
	m := wireLearned(n.primary.placer.Learned())
	for _, h := range n.Members {
		if h.Name != n.Self.Name {
			_ = n.Send(h.Name, msgs.ServiceGroup, m) // a lost message is superseded by the next one
		}
	}
}

// storeLearned stores the run times that the primary has learned.
func (n *Member) storeLearned(m msgs.Learned) {
	if n.primary == nil {
		n.learned = placeLearned(m)
	}
}

func wireLearned(l place.Learned) msgs.Learned {
	var m msgs.Learned
	for _, s := range l.Speeds {
		m.Speeds = append(m.Speeds, msgs.LearnedSpeed(s))
	}
	for _, r := range l.Runs {
		m.Runs = append(m.Runs, msgs.LearnedRun(r))
	}
	return m
}

func placeLearned(m msgs.Learned) place.Learned {
	var l place.Learned
	for _, s := range m.Speeds {
		l.Speeds = append(l.Speeds, place.LearnedSpeed(s))
	}
	for _, r := range m.Runs {
		l.Runs = append(l.Runs, place.LearnedRun(r))
	}
	return l
}
