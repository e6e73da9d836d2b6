package bench

import "time"

// Sample holds the totals of one entry host from its start until At.
type Sample struct {
	Host            string
	At              time.Time
	Primary         bool          // of its data centre
	ListsLeader     bool          // leader of the lists group
	CPUSeconds      float64       // processor time
	Memory          float64       // resident bytes
	Sent            float64       // bytes sent on connections to other hosts
	Messages        float64       // messages delivered to other hosts
	MessageBytes    float64       // bytes of all messages to other hosts
	Tasks           float64       // task calls that have ended, with any result
	ReplicationTime time.Duration // of the last change of the lists
}

// Rate is the use of resources by one entry host, or the mean of several, in a window.
type Rate struct {
	Cores  float64 // processor time per second, in cores
	Memory float64 // resident bytes at the end of the window
	Sent   float64 // bytes per second
}

// Usage is the use of resources by all entry hosts in a window.
type Usage struct {
	Hosts           int
	Window          time.Duration
	TasksPerSecond  float64
	Mean            Rate
	Primaries       Rate
	Others          Rate
	ListsLeader     Rate
	SentPerTask     float64 // bytes sent, with HTTP headers
	MessagesPerTask float64
	BytesPerTask    float64       // bytes of messages, without HTTP headers
	ReplicationTime time.Duration // maximum over the hosts
}

// Compare returns the usage between two samples of each host. The roles of a host (primary,
// lists leader) are those in its second sample.
func Compare(before, after []Sample) Usage {
	firstByHost := map[string]Sample{}
	for _, s := range before {
		firstByHost[s.Host] = s
	}
	u := Usage{Hosts: len(after)}
	var all, primaries, others, leaders []Rate
	var tasks, sent, messages, bytes float64
	for _, a := range after {
		b := firstByHost[a.Host]
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

// mean returns the mean of the rates, or a zero Rate if there are none.
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
