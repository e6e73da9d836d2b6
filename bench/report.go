package bench

import (
	"cmp"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwoodrock.example/dogwoodrock/stand"
)

// Report holds the measurements of a replay.
type Report struct {
	Jobs         int // submissions without resubmissions
	Complete     int
	WrongAnswers int     // complete with results of other tasks
	Tasks        int     // in all jobs
	RatioP50     float64 // response time of complete jobs divided by the ideal response time
	RatioP99     float64
	OnTime       float64 // share of jobs completed before the deadline, without cancelled jobs
	Customers    []CustomerReport
	Refusals     []CodeCount
	Wasted       Wasted
}

// CustomerReport holds the measurements of one customer's jobs.
type CustomerReport struct {
	Name     string
	Jobs     int
	Complete int
	OnTime   float64
}

// CodeCount is the number of submissions that ended with a code.
type CodeCount struct {
	Code  string
	Count int
}

// Wasted counts the messages to stand-in servers that led to no useful work.
type Wasted struct {
	Refused    int     // calls answered NotStarted
	OverSlots  int     // of these, because all slots were taken
	Stale      int     // of these, because of a stale fencing token
	Retried    int     // starts of a task that had already started under another id
	Duplicated int     // calls for a task that had already started
	Late       int     // answers after the deadline or to a caller that had disconnected
	PerTask    float64 // sum of Refused, Retried, Duplicated and Late per task of all jobs
}

// codeCancelled is the code of jobs cancelled by their customer.
const codeCancelled = "Cancelled"

// Measure returns the report on these outcomes and these counts of the stand-in servers.
func Measure(outcomes []Outcome, counts stand.Counts) Report {
	jobs := slices.DeleteFunc(slices.Clone(outcomes), func(o Outcome) bool {
		return o.Event.Kind != KindJob
	})
	r := Report{Jobs: len(jobs), Refusals: refusals(jobs), Customers: customers(jobs)}
	for _, o := range outcomes {
		if o.WrongResults {
			r.WrongAnswers++
		}
	}
	for _, o := range jobs {
		r.Tasks += len(o.Event.Tasks)
	}
	r.Complete = completeCount(jobs)
	r.OnTime = onTimeShare(jobs)
	r.RatioP50, r.RatioP99 = ratios(jobs)
	r.Wasted = wasted(counts, r.Tasks)
	return r
}

func completeCount(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Complete {
			n++
		}
	}
	return n
}

func onTimeShare(outcomes []Outcome) float64 {
	onTime, counted := 0, 0
	for _, o := range outcomes {
		if o.Code == codeCancelled {
			continue
		}
		counted++
		if o.Complete && o.ResponseTime <= o.Event.Deadline {
			onTime++
		}
	}
	return ratio(float64(onTime), counted)
}

func ratios(outcomes []Outcome) (p50, p99 float64) {
	const (
		stepsPerUnit      = 1000 // histogram steps per ratio of 1
		maxValue          = 1_000_000 * stepsPerUnit
		significantDigits = 3
	)
	h := hdrhistogram.New(1, maxValue, significantDigits)
	for _, o := range outcomes {
		if o.Complete {
			ratio := float64(o.ResponseTime) / float64(o.Event.Ideal())
			_ = h.RecordValue(min(int64(ratio*stepsPerUnit), maxValue))
		}
	}
	return float64(h.ValueAtQuantile(50)) / stepsPerUnit, float64(h.ValueAtQuantile(99)) / stepsPerUnit
}

func refusals(outcomes []Outcome) []CodeCount {
	counts := map[string]int{}
	for _, o := range outcomes {
		if !o.Complete {
			counts[o.Code]++
		}
	}
	var list []CodeCount
	for code, n := range counts {
		list = append(list, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(list, func(a, b CodeCount) int { return strings.Compare(a.Code, b.Code) })
	return list
}

func customers(outcomes []Outcome) []CustomerReport {
	byName := map[string][]Outcome{}
	for _, o := range outcomes {
		byName[o.Event.Customer] = append(byName[o.Event.Customer], o)
	}
	var list []CustomerReport
	for name, own := range byName {
		list = append(list, CustomerReport{
			Name: name, Jobs: len(own), Complete: completeCount(own), OnTime: onTimeShare(own),
		})
	}
	slices.SortFunc(list, func(a, b CustomerReport) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func wasted(counts stand.Counts, tasks int) Wasted {
	w := Wasted{
		Refused: counts.Refused, OverSlots: counts.OverSlots, Stale: counts.Stale,
		Duplicated: counts.Duplicated, Late: counts.Late,
	}
	for _, n := range counts.Starts {
		w.Retried += n - 1
	}
	w.PerTask = ratio(float64(w.Refused+w.Retried+w.Duplicated+w.Late), tasks)
	return w
}

func ratio(n float64, total int) float64 {
	if total == 0 {
		return 0
	}
	return n / float64(total)
}
