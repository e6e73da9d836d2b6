package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

const (
	learnedInterval  = 30 * time.Second // between tellings of what was learned
	handoverInterval = time.Second      // the same while the lead is handed over
)

// tellLearned lets the other members know what the placer has learned, so that
// the next primary starts from it.
func (n *Node) broadcastLearned(every time.Duration, now time.Time) {
	if now.Sub(n.primary.learnedSentAt) < every {
		return
	}
	n.primary.learnedSentAt = now
	m := wireLearned(n.primary.placer.Learned())
	for _, h := range n.Members {
		if h.Name != n.Self.Name {
			_ = n.Send(h.Name, msgs.ServiceGroup, m) // the next one makes up for a lost one
		}
	}
}

// noteLearned keeps what the primary has learned.
func (n *Node) storeLearned(m msgs.Learned) {
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
