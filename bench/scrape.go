package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"dogwoodrock.example/dogwoodrock/client"
)

// listsGroup is the name of the lists group in the status of a host.
const listsGroup = "lists"

// ScrapeError reports a host that did not return its metrics.
type ScrapeError struct {
	Host   string
	Reason string
}

// Error returns the host and the reason.
func (e *ScrapeError) Error() string {
	return fmt.Sprintf("metrics of %s: %s", e.Host, e.Reason)
}

// Scrape returns a sample of the status and metrics of the host at each address (IP and port).
func Scrape(ctx context.Context, addresses []string) ([]Sample, error) {
	var samples []Sample
	for _, address := range addresses {
		s, err := scrape(ctx, address)
		if err != nil {
			return nil, err
		}
		samples = append(samples, s)
	}
	return samples, nil
}

func scrape(ctx context.Context, address string) (Sample, error) {
	c, err := client.New([]string{address})
	if err != nil {
		return Sample{}, err
	}
	status, err := c.Status(ctx)
	if err != nil {
		return Sample{}, err
	}
	families, err := fetchMetrics(ctx, address)
	if err != nil {
		return Sample{}, err
	}
	s := Sample{
		Host:            status.GetHost(),
		At:              time.Now(),
		CPUSeconds:      sumOf(families["process_cpu_seconds_total"], ""),
		Memory:          sumOf(families["process_resident_memory_bytes"], ""),
		Sent:            sumOf(families["dogwoodrock_PeerSent_bytes_total"], ""),
		Messages:        sumOf(families["dogwoodrock_PeerMessages_total"], "Delivered"),
		MessageBytes:    sumOf(families["dogwoodrock_PeerBytes_total"], ""),
		Tasks:           sumOf(families["dogwoodrock_TaskResults_total"], ""),
		ReplicationTime: time.Duration(status.GetLastChangeSpreadMs()) * time.Millisecond,
	}
	for _, g := range status.GetGroups() {
		s.Primary = s.Primary || g.GetLeading() && g.GetName() == status.GetDataCentre()
		s.ListsLeader = s.ListsLeader || g.GetLeading() && g.GetName() == listsGroup
	}
	return s, nil
}

func fetchMetrics(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &ScrapeError{Host: address, Reason: resp.Status}
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	return parser.TextToMetricFamilies(resp.Body)
}

// sumOf adds up the values of a metric family: those with a label of this value, or all if value
// is empty.
func sumOf(f *dto.MetricFamily, value string) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		if value == "" || hasLabelValue(m, value) {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

func hasLabelValue(m *dto.Metric, value string) bool {
	for _, l := range m.GetLabel() {
		if l.GetValue() == value {
			return true
		}
	}
	return false
}
