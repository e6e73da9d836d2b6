package pages

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/daemon"
	"dogwoodrock.example/dogwoodrock/stand"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	pollInterval = 20 * time.Millisecond // between two checks of a condition
	testTimeout  = time.Minute           // after which the wait for a condition fails the test
	testService  = "dispatch"            // service of the stand-in
)

// startHost starts one entry host, puts both example lists, waits until the host is ready and returns the
// address for callers.
func startHost(t *testing.T) string {
	t.Helper()
	s := config.Default()
	s.Host.Listen = freeAddress(t)
	s.Host.DataFolder = t.TempDir()
	s.Hosts[0].Front = s.Host.Listen
	s.Hosts[0].Address = freeAddress(t)
	h, err := daemon.New(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		h.Kernel.Stop(ctx)
	})
	c, err := client.New([]string{s.Host.Listen})
	if err != nil {
		t.Fatal(err)
	}
	for i, list := range []string{"plans", "customers"} {
		text, err := os.ReadFile(filepath.Join("..", "examples", list+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		edit := &wire.PutList{BaseVersion: uint64(i), EditID: "first-" + list, Operator: "kim", Text: string(text)}
		waitUntil(t, func() bool {
			_, err := c.PutList(t.Context(), list, edit)
			return err == nil
		})
	}
	waitUntil(t, func() bool { return ready(t, s.Host.Listen) })
	return s.Host.Listen
}

// startBackend starts one stand-in, which announces itself to the entry hosts, and returns its address.
func startBackend(t *testing.T, entries ...string) string {
	t.Helper()
	g := stand.NewGroup()
	err := g.Add(stand.Config{Name: "mrozna", DataCentre: "local", Entries: entries, Services: []string{testService}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		g.Stop(ctx)
	})
	address, err := g.Address(t.Context(), "mrozna")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		waitUntil(t, func() bool { return serves(t, entry) })
	}
	return address
}

// ready reports whether the host is ready for requests.
func ready(t *testing.T, host string) bool {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host+"/readyz", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serves reports whether the host completes a job.
func serves(t *testing.T, host string) bool {
	c, err := client.New([]string{host})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Submit(t.Context(), &wire.Submission{
		Customer: "field-crews", Tasks: []*wire.Task{{Service: testService, Body: "ms=1"}},
	})
	return err == nil && answer.GetState() == "Complete"
}

// waitUntil polls a condition and fails the test if it doesn't hold within testTimeout.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return
		}
	}
	t.Fatal("timed out waiting for condition")
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
