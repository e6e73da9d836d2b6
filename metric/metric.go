// Package metric defines the Prometheus metrics that a daemon exposes at /metrics. All label values
// come from fixed sets, which bounds their number.
package metric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Set holds the metrics of one daemon.
type Set struct {
	Refusals        *prometheus.CounterVec // requests of callers and operators that this host refused, by Code
	PlacingRefusals *prometheus.CounterVec // jobs that the placer of this host refused, by Code
	Failures        *prometheus.CounterVec // accepted jobs that failed, by Code
	Retries         *prometheus.CounterVec // messages or tasks sent again, by Reason
	Jobs            *prometheus.CounterVec // jobs ended, by State
	TaskResults     *prometheus.CounterVec // task calls ended, by Result
	PeerMessages    *prometheus.CounterVec // messages to other hosts, by Outcome
	PeerBytes       *prometheus.CounterVec // bytes to other hosts, by Lane
	PeerRefused     *prometheus.CounterVec // batches of other hosts that weren't accepted, by Reason
	PeerSentBytes   prometheus.Counter     // bytes sent to other hosts, HTTP headers included
	ClientsClosed   *prometheus.CounterVec // connections of clients that were closed, by Listener and Reason
	ResponseRatio   prometheus.Histogram   // response time of a job divided by the run time of its slowest task
	ListsVersion    prometheus.Gauge
	ListsDelay      prometheus.Histogram // seconds from an edit until it is active on this host
	JobsInFlight    prometheus.Gauge
	AloneTasks      prometheus.Counter // task calls started while this host served without a lease

	registry *prometheus.Registry
}

// New returns a Set whose metrics are registered in a registry of its own.
func New() *Set {
	s := &Set{
		Refusals:        newCounterVec("Refusals_total", "Requests refused.", "Code"),
		PlacingRefusals: newCounterVec("PlacingRefusals_total", "Jobs that the placer refused.", "Code"),
		Failures:        newCounterVec("Failures_total", "Accepted jobs that failed.", "Code"),
		Retries:         newCounterVec("Retries_total", "Messages or tasks sent again.", "Reason"),
		Jobs:            newCounterVec("Jobs_total", "Jobs ended.", "State"),
		TaskResults:     newCounterVec("TaskResults_total", "Task calls ended.", "Result"),
		PeerMessages:    newCounterVec("PeerMessages_total", "Messages to other hosts.", "Outcome"),
		PeerBytes:       newCounterVec("PeerBytes_total", "Bytes to other hosts.", "Lane"),
		PeerRefused:     newCounterVec("PeerRefused_total", "Batches of other hosts that weren't accepted.", "Reason"),
		PeerSentBytes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "dogwoodrock_PeerSent_bytes_total", Help: "Bytes sent to other hosts, HTTP heads included."}),
		ClientsClosed:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodrock_ClientsClosed_total", Help: "Connections of clients that were closed by the limits."}, []string{"Listener", "Reason"}),
		ResponseRatio: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dogwoodrock_ResponseRatio",
			Help:    "Response time of a job over the run time of its slowest task.",
			Buckets: []float64{1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30},
		}),
		ListsVersion: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodrock_ListsVersion", Help: "Version of the lists in force."}),
		ListsDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dogwoodrock_ListsDelay_seconds",
			Help:    "Time from an edit of a list to its being in force on this host.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2, 4, 10},
		}),
		JobsInFlight: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dogwoodrock_JobsInFlight", Help: "Jobs in flight on this host."}),
		AloneTasks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodrock_AloneTasks_total", Help: "Task calls begun while this host served alone.",
		}),
		registry: prometheus.NewRegistry(),
	}
	s.registry.MustRegister(s.Refusals, s.PlacingRefusals, s.Failures, s.Retries, s.Jobs, s.TaskResults, s.PeerMessages, s.PeerBytes, s.PeerSentBytes, s.PeerRefused,
		s.ClientsClosed, s.ResponseRatio, s.ListsVersion, s.ListsDelay, s.JobsInFlight, s.AloneTasks,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Handler returns the HTTP handler for /metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dogwoodrock_" + name, Help: help}, []string{label})
}
