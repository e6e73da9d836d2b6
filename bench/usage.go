package bench

import "time"

// Sample is what one entry host had used at a moment since its start.
type Sample struct {
	Host            string
	At              time.Time
	Primary         bool // of its data centre
	ListsLeader     bool // leads the lists group
	CPUSeconds      float64
	Memory          float64 // resident bytes
	Sent            float64 // bytes on the connections between hosts
	Messages        float64 // delivered to other hosts
	MessageBytes    float64 // bytes of all messages to other hosts
	Tasks           float64 // task calls ended
	ReplicationTime time.Duration
}

// Rate is what one entry host, or some on average, used in a window.
type Rate struct {
	Cores  float64 // part of one core
	Memory float64 // bytes at the end
	Sent   float64 // bytes a second
}

// Usage is what all entry hosts used in a window.
type Usage struct {
	Hosts           int
	Window          time.Duration
	TasksPerSecond  float64
	Mean            Rate
	Primaries       Rate
	Others          Rate
	ListsLeader     Rate
	SentPerTask     float64 // bytes with HTTP heads
	MessagesPerTask float64
	BytesPerTask    float64 // of messages, without HTTP heads
	ReplicationTime time.Duration
}

// Compare returns what was used between two samples of each host. A host counts
// as the primary that it was at the end.
func Compare(before, after []Sample) Usage {
	first := map[string]Sample{}
	for _, s := range before {
		first[s.Host] = s
	}
	u := Usage{Hosts: len(after)}
	var all, primaries, others, leaders []Rate
	var tasks, sent, messages, bytes float64
	for _, a := range after {
		b := first[a.Host]
		r := rateOf(b, a)
		all = append(all, r)
		if a.Primary {
			primaries = append(primaries, r)
		} else {
			others = append(others, r)
		}
		if a.ListsLeader {
			leaders = append(leaders, r)
		}
		u.Window = max(u.Window, a.At.Sub(b.At))
		u.ReplicationTime = max(u.ReplicationTime, a.ReplicationTime)
		tasks += a.Tasks - b.Tasks
		sent += a.Sent - b.Sent
		messages += a.Messages - b.Messages
		bytes += a.MessageBytes - b.MessageBytes
	}
	u.Mean, u.Primaries, u.Others, u.ListsLeader = mean(all), mean(primaries), mean(others), mean(leaders)
	if tasks > 0 {
		u.TasksPerSecond = tasks / u.Window.Seconds()
		u.SentPerTask, u.MessagesPerTask, u.BytesPerTask = sent/tasks, messages/tasks, bytes/tasks
	}
	return u
}

func rateOf(before, after Sample) Rate {
	seconds := after.At.Sub(before.At).Seconds()
	return Rate{
		Cores:  (after.CPUSeconds - before.CPUSeconds) / seconds,
		Memory: after.Memory,
		Sent:   (after.Sent - before.Sent) / seconds,
	}
}

// mean returns the average, zero of none.
func mean(rates []Rate) Rate {
	var sum Rate
	for _, r := range rates {
		sum.Cores += r.Cores
		sum.Memory += r.Memory
		sum.Sent += r.Sent
	}
	n := max(float64(len(rates)), 1)
	return Rate{Cores: sum.Cores / n, Memory: sum.Memory / n, Sent: sum.Sent / n}
}
