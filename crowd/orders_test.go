package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

// orderMemoryMB is the memory of the smallest core hosts.
const orderMemoryMB = 408

// order returns a configuration of size bytes, with routes like those of operators.
func order(version, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"svc"}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":60000},"routes":[`, version)
	fmt.Fprintf(&b, `{"name":"first","host":"n.example","prefix":"/l/","timeout_ms":4000,"slo_ms":1000,"service":"svc","attempts":2}`)
	for i := 0; b.Len() < size-300; i++ {
		fmt.Fprintf(&b, `,{"name":"route-%08d","host":"host-%06d.n.example","prefix":"/jobs/of/customer/%08d/","timeout_ms":4000,"slo_ms":1000,"priority":1,"service":"svc","attempts":2,"slack_factor":1.6}`, i, i/10, i)
	}
	b.WriteString("]}")
	b.WriteString(strings.Repeat(" ", size-b.Len()))
	return b.Bytes()
}

// sent is the answer to an order.
type sent struct {
	status     int
	retryAfter string
	body       string
	took       time.Duration
}

func sendOrder(address string, body []byte) sent {
	began := time.Now()
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/config", bytes.NewReader(body))
	if err != nil {
		return sent{body: err.Error()}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	a, err := client.Do(r)
	if err != nil {
		return sent{body: err.Error(), took: time.Since(began)}
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 300))
	return sent{status: a.StatusCode, retryAfter: a.Header.Get("Retry-After"), body: string(text), took: time.Since(began)}
}

// routesVersion returns the line of the entry host's metrics that tells which version is in force there.
func (s *site) routesVersion() string {
	a, err := http.Get("http://" + at(s.entryIP, operatorsPort) + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "dogwoodrock_RoutesVersion ") {
			return lines.Text()
		}
	}
	return "no metric"
}

// TestLargeOrders guards against a core host that runs out of memory, or refuses orders that it could serve
// one after the other, when operators send many large configurations at once, and against configurations that
// are acknowledged though an entry host can't receive them. Orders that wait for longer than 5 s are refused.
func TestLargeOrders(t *testing.T) {
	skipUnlessMeasurable(t)
	const orders, first = 8, 10 // first is the version of the first one
	tests := map[string]struct {
		entryMB int
		size    int
		refused bool
	}{
		"20 MiB, large entry hosts":                          {entryMB: 1024, size: 20 << 20},
		"20 MiB, an entry host that can't receive them":      {entryMB: 144, size: 20 << 20, refused: true},
		"as large as an entry host of 144 MB can receive":    {entryMB: 144, size: 8 << 20},
		"a little larger":                                    {entryMB: 144, size: 8<<20 + 1000, refused: true},
		"the largest that is served, with small entry hosts": {entryMB: 184, size: 10 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSized(t, orderMemoryMB, tt.entryMB)
			stop := make(chan struct{})
			core, entry := s.core.watch(stop), s.entry.watch(stop)
			results := make(chan sent, orders)
			for i := range orders {
				body := order(first+i, tt.size)
				go func() { results <- sendOrder(at(s.coreIP, controlPort), body) }()
			}
			served := 0
			for range orders {
				switch got := <-results; {
				case got.status == http.StatusOK && !tt.refused:
					served++
				case got.status == http.StatusRequestEntityTooLarge && tt.refused:
				case got.refusedLate() && !tt.refused:
				default:
					t.Errorf("an order is answered with %+v", got)
				}
			}
			if !tt.refused && served == 0 {
				t.Error("no order is served")
			}
			if tt.refused {
				if version, _ := mimic.Get(t.Context(), at(s.coreIP, controlPort)); version != 1 {
					t.Errorf("version %d is in force, though all orders were refused", version)
				}
			}
			waitUntil(t, "an ordinary order", func() bool { return s.put(first + orders) })
			want := fmt.Sprintf("dogwoodrock_RoutesVersion %d", first+orders)
			waitUntil(t, "the ordinary order to be in force", func() bool { return s.routesVersion() == want })
			waitUntil(t, "a complete job", s.submit)
			close(stop)
			checkMemory(t, "core", s.core, <-core, orderMemoryMB)
			checkMemory(t, "entry", s.entry, <-entry, tt.entryMB)
			t.Logf("%d orders served", served)
		})
	}
}

// refusedLate reports whether an order was refused after it had waited for those ahead of it for 5 s, or was
// answered after 3 s as its outcome wasn't known yet.
func (a sent) refusedLate() bool {
	return a.status == http.StatusServiceUnavailable && (a.retryAfter == "5" && a.took >= 5*time.Second || a.retryAfter == "1" && a.took >= 3*time.Second)
}

func checkMemory(t *testing.T, class string, p *process, most use, limitMB int) {
	t.Helper()
	memory := most.memory
	t.Logf("%s host: %d MB, of which %d MB aren't read", class, memory>>20, most.unread>>20)
	if !p.alive() {
		t.Errorf("the %s host has ended", class)
	}
	if memory > int64(limitMB)<<20 {
		t.Errorf("the %s host used %d MB, its limit is %d MB", class, memory>>20, limitMB)
	}
}
