package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel/memnet"
)

const (
	plansText = `Plans:
  - Name: gold
    Services: [dispatch]
    Weight: 4
    MaxRunning: 200
    MaxQueued: 2000
    StartsPerSecond: 500
    MaxJobTasks: 8
`
	customersText = "Customers:\n  - Name: gyeongnam\n    Plan: gold\n"
)

// replicationTarget is the target time until an edit is active on all hosts.
const replicationTarget = 4 * time.Second

var dataCentres = []string{"changwon", "gimhae", "jinju"}

// cluster runs the entry hosts of three data centres in one process.
type cluster struct {
	network  *memnet.Network
	settings map[string]config.Settings
	hosts    map[string]*Host // running hosts
	backends []*backend
	log      *logBuffer
}

// startCluster starts three data centres with n entry hosts each. The first host of each data
// centre has a data folder.
func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{network: memnet.New(), settings: map[string]config.Settings{}, hosts: map[string]*Host{}, log: &logBuffer{}}
	c.log.logger = events.New(c.log, "Info", "any")
	var all []config.HostAddress
	var listsHosts []string
	for d, dc := range dataCentres {
		listsHosts = append(listsHosts, dc+"-1")
		for i := 1; i <= n; i++ {
			ip := fmt.Sprintf("10.0.%d.%d", d, i)
			all = append(all, config.HostAddress{
				Name: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Address: ip + ":7080", Front: ip + ":8080",
			})
		}
	}
	folder := t.TempDir()
	for _, a := range all {
		s := config.Default()
		s.Host = config.Host{Name: a.Name, DataCentre: a.DataCentre, Listen: a.Front}
		s.Hosts = all
		s.Lists.Hosts = listsHosts
		if slices.Contains(listsHosts, a.Name) {
			s.Host.DataFolder = filepath.Join(folder, a.Name)
		}
		c.settings[a.Name] = s
	}
	for i, a := range all {
		c.start(t, a.Name, uint64(i+1))
	}
	t.Cleanup(c.stopAll)
	return c
}

// start starts a host with its settings.
func (c *cluster) start(t *testing.T, name string, seed uint64) {
	t.Helper()
	c.startWith(t, c.settings[name], seed)
}

func (c *cluster) startWith(t *testing.T, s config.Settings, seed uint64) {
	t.Helper()
	name := s.Host.Name
	h, err := New(s, WithEnv(c.network.Env(name, seed)), WithLog(c.log.logger))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.hosts[name] = h
}

// kill partitions a host and stops it, so that it sends nothing while it ends.
func (c *cluster) kill(name string) {
	all := c.names()
	c.network.Partition([]string{name}, all)
	c.network.Partition(all, []string{name})
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	c.hosts[name].Kernel.Stop(expired)
	delete(c.hosts, name)
}

// stop shuts a host down gracefully.
func (c *cluster) stop(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.settings[name].Timing.ShutdownTimeout)
	defer cancel()
	c.hosts[name].Kernel.Stop(ctx)
	delete(c.hosts, name)
}

// restart starts a killed host as a new incarnation.
func (c *cluster) restart(t *testing.T, name string, seed uint64) {
	t.Helper()
	all := c.names()
	c.network.Heal([]string{name}, all)
	c.network.Heal(all, []string{name})
	c.start(t, name, seed)
}

func (c *cluster) stopAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		wg.Go(func() { h.Kernel.Stop(ctx) })
	}
	wg.Wait()
	time.Sleep(2 * memnet.MaxSYNWait) // until the last connection attempt has timed out
}

// names returns all entry hosts and backend servers.
func (c *cluster) names() []string {
	var names []string
	for name := range c.settings {
		names = append(names, name)
	}
	for _, b := range c.backends {
		names = append(names, b.name)
	}
	return names
}

func hostsOf(dataCentre string) []string {
	return []string{dataCentre + "-1", dataCentre + "-2", dataCentre + "-3"}
}

// call makes one request on its own connection. Status 0 means that the connection failed.
func (c *cluster) call(from, method, host, path, body string) (int, string) {
	env := c.network.Env(from, 1)
	client := &http.Client{Transport: &http.Transport{DialContext: env.Dial, DisableKeepAlives: true}, Timeout: callTimeout}
	r, err := http.NewRequest(method, "http://"+c.settings[host].Host.Listen+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	w, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer w.Body.Close()
	data, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err.Error()
	}
	return w.StatusCode, string(data)
}

func (c *cluster) post(from, host, path, body string) (int, string) {
	return c.call(from, http.MethodPost, host, path, body)
}

func (c *cluster) get(host, path string) (int, string) {
	return c.call("operator", http.MethodGet, host, path, "")
}

// put replaces a list by a request to a host.
func (c *cluster) put(host, list, text, editID string, base uint64) (int, string) {
	body, err := json.Marshal(map[string]any{"BaseVersion": base, "EditID": editID, "Operator": "ola", "Text": text})
	if err != nil {
		panic(err)
	}
	return c.call("operator", http.MethodPut, host, "/v1/lists/"+list, string(body))
}

// putLists puts the first lists and waits until they are active on every host.
func (c *cluster) putLists(t *testing.T) {
	t.Helper()
	time.Sleep(replicationTarget) // until the groups have a primary
	for i, text := range []string{plansText, customersText} {
		list := []string{"plans", "customers"}[i]
		if status, body := c.put("gimhae-1", list, text, "first-"+list, uint64(i)); status != http.StatusOK {
			t.Fatalf("put of %s: %d %s", list, status, body)
		}
	}
	time.Sleep(replicationTarget)
	for name := range c.hosts {
		if status, _ := c.get(name, "/readyz"); status != http.StatusOK {
			t.Errorf("%s is not ready", name)
		}
		if v := c.listsVersion(t, name); v != 2 {
			t.Errorf("%s has version %d active, want 2", name, v)
		}
	}
}

func (c *cluster) listsVersion(t *testing.T, host string) uint64 {
	t.Helper()
	var s struct {
		ListsVersion uint64 `json:",string"`
	}
	c.decode(t, host, "/v1/status", &s)
	return s.ListsVersion
}

func (c *cluster) decode(t *testing.T, host, path string, v any) {
	t.Helper()
	status, body := c.get(host, path)
	if status != http.StatusOK {
		t.Fatalf("%s %s: %d %s", host, path, status, body)
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		t.Fatal(err)
	}
}

// primary returns the host that is the primary of a data centre.
func (c *cluster) primary(t *testing.T, dataCentre string) string {
	t.Helper()
	for _, name := range hostsOf(dataCentre) {
		if c.hosts[name] == nil {
			continue
		}
		var s struct{ Groups []struct{ Leading bool } }
		c.decode(t, name, "/v1/status", &s)
		if s.Groups[0].Leading {
			return name
		}
	}
	t.Fatalf("%s has no primary", dataCentre)
	return ""
}

// openSession opens a session at a host.
func (c *cluster) openSession(t *testing.T, host string) string {
	t.Helper()
	status, body := c.post("client", host, "/v1/sessions", `{"Customer": "gyeongnam"}`)
	var s struct{ Session string }
	if err := json.Unmarshal([]byte(body), &s); err != nil || status != http.StatusOK {
		t.Fatalf("open session: %d %s %v", status, body, err)
	}
	return s.Session
}

// callTimeout limits how long a caller waits for one answer.
const callTimeout = 10 * time.Second

// answer is the part of a job's answer that the tests check.
type answer struct {
	Job     string
	State   string
	Results []string
	Refusal *struct {
		Code   string
		NotRun bool
	}
	Code   string // of a refused request, or the reason why there is no answer
	NotRun bool
}

// submission returns the body of a job of n tasks, which are named after its label.
func submission(session, key, label string, n int) string {
	var tasks []map[string]string
	for i := range n {
		tasks = append(tasks, map[string]string{"Service": "dispatch", "Body": taskBody(label, i)})
	}
	body, err := json.Marshal(map[string]any{"Customer": "gyeongnam", "Session": session, "Key": key, "Tasks": tasks})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// taskBody instructs the backend server to return the task's own label as its result.
func taskBody(label string, i int) string {
	return fmt.Sprintf("label=%[1]s result=%[1]s", taskLabel(label, i))
}

func taskLabel(label string, i int) string {
	return fmt.Sprintf("%s-%d", label, i)
}

// submit submits a job once and returns the status and the answer.
func (c *cluster) submit(host, body string) (int, answer) {
	status, text := c.post("client", host, "/v1/jobs", body)
	var a answer
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		return 0, answer{Code: text}
	}
	return status, a
}

// complete reports whether an answer is complete and holds the right result of each of n tasks.
func (a answer) complete(label string, n int) bool {
	if a.State != "Complete" || len(a.Results) != n {
		return false
	}
	for i, r := range a.Results {
		if r != taskLabel(label, i) {
			return false
		}
	}
	return true
}

func indent(text string) string {
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(text), "", "  "); err != nil {
		return text
	}
	return out.String()
}
