package metric

import "github.com/prometheus/client_golang/prometheus"

// Hosted is the metrics of a host that finds the others through the core, beside
// those of its links in Set.
type Hosted struct {
	Answers   *prometheus.CounterVec   // answers to callers, by Route, Outcome and Reason
	Total     *prometheus.HistogramVec // seconds from a job's arrival to its answer, by Route and Outcome
	Waiting   *prometheus.HistogramVec // seconds from a job's arrival to the latest start of a task, by Route and Outcome
	Worked    *prometheus.HistogramVec // seconds from that start to the end of the job, by Route and Outcome
	Placed    *prometheus.CounterVec   // jobs that the placer ended, by Outcome
	RunRetry  *prometheus.CounterVec   // tasks that wait again, by Reason
	RunStops  *prometheus.CounterVec   // runs ordered to stop, by Reason
	Besides   prometheus.Counter       // runs found beside another one of their task
	Rejoined  prometheus.Counter       // jobs for which another entry host waits too
	Starting  prometheus.Histogram     // seconds until a start was answered
	Running   *prometheus.HistogramVec // seconds that runs took, by How
	Servers   *prometheus.CounterVec   // changes of backend servers, by Change
	Rehanded  prometheus.Counter       // open jobs handed to a new placer
	Epoch     prometheus.Gauge         // of this host's placing, 0 while it doesn't place
	Routes    prometheus.Gauge         // version of the routes in force
	Leading   prometheus.Gauge         // 1 on the core's leader
	CoreLost  prometheus.Counter       // times the core's leader fell silent
	Committed prometheus.Gauge         // version of the routes that this host of the core has committed
	Copies    prometheus.Gauge         // members that follow the core's leader
	Behind    prometheus.Gauge         // log entries of the core's leader that aren't committed
	DiskFull  prometheus.Gauge         // 1 while this host of the core has no room on its disk
	Jobs      *prometheus.GaugeVec     // open jobs of the placer on this host, by State
	States    *prometheus.GaugeVec     // backend servers of the placer on this host, by State
}

var seconds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6}

// NewHosted returns a fresh set, registered with the metrics of the links. Lines
// tells how many log lines were left out or dropped.
func NewHosted(s *Set, lines func() float64) *Hosted {
	h := &Hosted{
		Answers:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodrock_Answers_total", Help: "Answers to callers."}, []string{"Route", "Outcome", "Reason"}),
		Total:     histograms("Job_seconds", "Time from the arrival of a job to its answer.", "Route", "Outcome"),
		Waiting:   histograms("JobWaiting_seconds", "Time from the arrival of a job to the latest start of a task.", "Route", "Outcome"),
		Worked:    histograms("JobRunning_seconds", "Time from the latest start of a task to the end of its job.", "Route", "Outcome"),
		Placed:    counters("JobsPlaced_total", "Jobs that the placer ended.", "Outcome"),
		RunRetry:  counters("RunRetries_total", "Tasks that wait for a backend server again.", "Reason"),
		RunStops:  counters("RunStops_total", "Runs that were ordered to stop.", "Reason"),
		Besides:   prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_RunsBesides_total", Help: "Runs found beside another one of their task."}),
		Rejoined:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_JobsRejoined_total", Help: "Jobs for which another entry host waits too."}),
		Starting:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dogwoodrock_Start_seconds", Help: "Time until a start was answered.", Buckets: seconds}),
		Running:   histograms("Run_seconds", "Time that runs took.", "How"),
		Servers:   counters("ServerChanges_total", "Changes of backend servers.", "Change"),
		Rehanded:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_JobsRehanded_total", Help: "Open jobs handed to a new placer."}),
		Epoch:     gauge("Epoch", "Epoch under which this host places, 0 for none."),
		Routes:    gauge("RoutesVersion", "Version of the routes in force on this host."),
		Leading:   gauge("CoreLeading", "1 while this host leads the core."),
		CoreLost:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_CoreLost_total", Help: "Times the leader of the core fell silent."}),
		Committed: gauge("RoutesCommitted", "Version of the routes that this host of the core has committed."),
	}
	h.Copies = gauge("CoreCopies", "Members that follow this leader of the core, itself included.")
	h.Behind = gauge("CoreBehind", "Log entries of this leader of the core that aren't committed.")
	h.DiskFull = gauge("CoreDiskFull", "1 while this host of the core has no room on its disk.")
	h.Jobs = gauges("PlacerJobs", "Jobs of the placer on this host.", "State")
	h.States = gauges("BackendServers", "Backend servers of the placer on this host.", "State")
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dogwoodrock_LogLinesLeftOut_total", Help: "Log lines left out by the limits or dropped for a slow reader."}, lines)
	s.registry.MustRegister(h.Answers, h.Total, h.Waiting, h.Worked, h.Placed, h.RunRetry, h.RunStops, h.Besides, h.Rejoined, h.Starting, h.Running, h.Servers, h.Rehanded,
		h.Epoch, h.Routes, h.Leading, h.CoreLost, h.Committed, h.Copies, h.Behind, h.DiskFull, h.Jobs, h.States, dropped)
	return h
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodrock_" + name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dogwoodrock_" + name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dogwoodrock_" + name, Help: help, Buckets: seconds}, labels)
}
