package metric

import "github.com/prometheus/client_golang/prometheus"

// Hosted holds the metrics of a host that discovers the others through the core. The metrics of its
// links are in Set.
type Hosted struct {
	Answers         *prometheus.CounterVec   // answers to callers, by Route, Outcome and Reason
	JobTime         *prometheus.HistogramVec // seconds from a job's arrival to its answer, by Route and Outcome
	JobWaitTime     *prometheus.HistogramVec // seconds from a job's arrival to the latest start of a task, by Route and Outcome
	JobRunTime      *prometheus.HistogramVec // seconds from the latest start of a task to the end of its job, by Route and Outcome
	JobsPlaced      *prometheus.CounterVec   // jobs that the placer ended, by Outcome
	JobsRefused     *prometheus.CounterVec   // jobs that the placer refused, by Route and Reason
	RunRetries      *prometheus.CounterVec   // tasks queued again, by Reason
	RunStops        *prometheus.CounterVec   // runs ordered to stop, by Reason
	DuplicateRuns   prometheus.Counter       // runs found in addition to another run of the same task
	JobsRejoined    prometheus.Counter       // jobs that a further entry host waits for
	JobsBarred      *prometheus.CounterVec   // jobs barred because a start may still be carried out, by Reason
	CancelsRefused  *prometheus.CounterVec   // cancels that an entry host didn't acknowledge, by Reason
	CancelsNotKept  prometheus.Counter       // cancels whose ids a placer had no room to keep
	StartLatency    prometheus.Histogram     // seconds until a start request was answered
	RunTime         *prometheus.HistogramVec // duration of runs in seconds, by How
	ServerChanges   *prometheus.CounterVec   // state changes of backend servers, by Change
	JobsRehanded    prometheus.Counter       // open jobs handed over to a new placer
	JobsMoved       *prometheus.CounterVec   // jobs handed over to another placer after a refusal, by Reason
	Epoch           prometheus.Gauge         // epoch of the placer on this host, 0 if it has none
	Shard           prometheus.Gauge         // shard that this host places, 0 if it has none
	Shards          prometheus.Gauge         // number of shards of the data centre while this host places, 0 otherwise
	RoutesVersion   prometheus.Gauge         // active version of the routes
	CoreLeading     prometheus.Gauge         // 1 on the core's leader
	CoreLost        prometheus.Counter       // times that contact with the core's leader was lost
	RoutesCommitted prometheus.Gauge         // version of the routes that this host of the core has committed
	RoutesRefused   *prometheus.CounterVec   // configurations that this host of the core refused, by Reason
	CoreReplicas    prometheus.Gauge         // replicas that follow the core's leader, itself included
	CoreUncommitted prometheus.Gauge         // uncommitted log entries of the core's leader
	DiskFull        prometheus.Gauge         // 1 while the disk of this host of the core is full
	PlacerJobs      *prometheus.GaugeVec     // open jobs of the placer on this host, by State
	BackendServers  *prometheus.GaugeVec     // backend servers of the placer on this host, by State

	Evacuated         prometheus.Gauge       // 1 while the data centre of this entry host is evacuated
	EvacuationVersion prometheus.Gauge       // version of the evacuations that this host knows
	JobsEvacuated     *prometheus.CounterVec // jobs that the placer ended because of the evacuation, by Outcome
}

var secondsBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6}

// NewHosted returns metrics registered in the registry of s. linesLeftOut returns the number of log
// lines dropped by the limits or for a slow reader; it is called for each scrape.
func NewHosted(s *Set, linesLeftOut func() float64) *Hosted {
	h := &Hosted{
		Answers:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodrock_Answers_total", Help: "Answers to callers."}, []string{"Route", "Outcome", "Reason"}),
		JobTime:         newHistogramVec("Job_seconds", "Time from the arrival of a job to its answer.", "Route", "Outcome"),
		JobWaitTime:     newHistogramVec("JobWaiting_seconds", "Time from the arrival of a job to the latest start of a task.", "Route", "Outcome"),
		JobRunTime:      newHistogramVec("JobRunning_seconds", "Time from the latest start of a task to the end of its job.", "Route", "Outcome"),
		JobsPlaced:      newCounterVec("JobsPlaced_total", "Jobs that the placer ended.", "Outcome"),
		RunRetries:      newCounterVec("RunRetries_total", "Tasks that wait for a backend server again.", "Reason"),
		RunStops:        newCounterVec("RunStops_total", "Runs that were ordered to stop.", "Reason"),
		DuplicateRuns:   prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_RunsBesides_total", Help: "Runs found beside another one of their task."}),
		JobsRejoined:    prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_JobsRejoined_total", Help: "Jobs for which another entry host waits too."}),
		CancelsNotKept:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_CancelsNotKept_total", Help: "Cancels whose ids a placer had no room to keep."}),
		JobsBarred:      newCounterVec("JobsBarred_total", "Jobs barred because a start of them may still be carried out.", "Reason"),
		StartLatency:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dogwoodrock_Start_seconds", Help: "Time until a start was answered.", Buckets: secondsBuckets}),
		RunTime:         newHistogramVec("Run_seconds", "Time that runs took.", "How"),
		ServerChanges:   newCounterVec("ServerChanges_total", "Changes of backend servers.", "Change"),
		JobsRehanded:    prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_JobsRehanded_total", Help: "Open jobs handed to a new placer."}),
		Epoch:           newGauge("Epoch", "Epoch under which this host places, 0 for none."),
		Shard:           newGauge("Shard", "Shard of the data centre that this host places, if Epoch isn't 0."),
		Shards:          newGauge("Shards", "Number of shards of the data centre while this host places, 0 otherwise."),
		RoutesVersion:   newGauge("RoutesVersion", "Version of the routes in force on this host."),
		CoreLeading:     newGauge("CoreLeading", "1 while this host leads the core."),
		CoreLost:        prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_CoreLost_total", Help: "Times the leader of the core fell silent."}),
		RoutesCommitted: newGauge("RoutesCommitted", "Version of the routes that this host of the core has committed."),
	}
	h.JobsRefused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodrock_JobsRefused_total", Help: "Jobs that the placer refused."}, []string{"Route", "Reason"})
	h.CancelsRefused = newCounterVec("CancelsRefused_total", "Cancels that this host did not acknowledge.", "Reason")
	h.RoutesRefused = newCounterVec("RoutesRefused_total", "Configurations that this host of the core refused.", "Reason")
	h.JobsMoved = newCounterVec("JobsMoved_total", "Jobs handed over to another placer after a refusal.", "Reason")
	h.CoreReplicas = newGauge("CoreCopies", "Members that follow this leader of the core, itself included.")
	h.CoreUncommitted = newGauge("CoreBehind", "Log entries of this leader of the core that aren't committed.")
	h.DiskFull = newGauge("CoreDiskFull", "1 while this host of the core has no room on its disk.")
	h.PlacerJobs = newGaugeVec("PlacerJobs", "Jobs of the placer on this host.", "State")
	h.BackendServers = newGaugeVec("BackendServers", "Backend servers of the placer on this host.", "State")
	h.Evacuated = newGauge("Evacuated", "1 while the data centre of this entry host is evacuated.")
	h.EvacuationVersion = newGauge("EvacuationVersion", "Version of the evacuated data centres that this host knows.")
	h.JobsEvacuated = newCounterVec("JobsEvacuated_total", "Jobs that the placer ended because its data centre is evacuated.", "Outcome")
	leftOut := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dogwoodrock_LogLinesLeftOut_total", Help: "Log lines left out by the limits or dropped for a slow reader."}, linesLeftOut)
	s.registry.MustRegister(h.Answers, h.JobTime, h.JobWaitTime, h.JobRunTime, h.JobsPlaced, h.RunRetries, h.RunStops, h.DuplicateRuns, h.JobsRejoined, h.JobsBarred, h.CancelsNotKept, h.StartLatency, h.RunTime, h.ServerChanges, h.JobsRehanded, h.JobsMoved,
		h.Epoch, h.Shard, h.Shards, h.RoutesVersion, h.CoreLeading, h.CoreLost, h.RoutesCommitted, h.CoreReplicas, h.CoreUncommitted, h.DiskFull, h.PlacerJobs, h.BackendServers, h.JobsRefused, leftOut,
		h.Evacuated, h.EvacuationVersion, h.JobsEvacuated, h.RoutesRefused, h.CancelsRefused)
	return h
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodrock_" + name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dogwoodrock_" + name, Help: help}, labels)
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dogwoodrock_" + name, Help: help, Buckets: secondsBuckets}, labels)
}
