package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Names that the platform draws.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// config returns a configuration with one route.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"prefix":%q,"kind":"mutating","timeout_ms":1500,"slo_ms":60,"priority":0,"service":%q,"attempts":3,"slack_factor":1.6}],"services":[{"name":%q,"health_path":"/health","max_conns":64,"proto":"h1","tls":false,"admission_control":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeHost, routePrefix, serviceName, serviceName)
}

// put sends a version to the given core machines in turn until one acknowledges it, and returns that
// machine and how long it took; nil if none did within the limit.
func (p *play) put(version int, cores []*host, limit time.Duration) (*host, time.Duration) {
	began := time.Now()
	for n := 0; time.Since(began) < limit; n++ {
		h := cores[n%len(cores)]
		status, body := call(http.MethodPut, "http://"+h.address(controlPort)+"/config", config(version), time.Second)
		p.note("PUT version %d at %s: %d %.80s", version, h.name, status, body)
		switch {
		case status == http.StatusOK:
			return h, time.Since(began)
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			p.fail("version %d is refused", version)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, 0
}

// get reads the configuration at one core machine. It returns its version, 0 if it doesn't come.
func (p *play) get(h *host) int {
	status, body := call(http.MethodGet, "http://"+h.address(controlPort)+"/config", "", time.Second)
	var read struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &read) != nil {
		p.note("GET at %s: unreadable", h.name)
	}
	p.note("GET at %s: %d, version %d %.60s", h.name, status, read.Version, map[bool]string{true: "", false: body}[status == http.StatusOK])
	return read.Version
}

// startUp starts the machines, puts version 1 and waits until the fronts are ready.
func (p *play) startUp(cores, fronts []*host) {
	for _, h := range append(append([]*host{}, cores...), fronts...) {
		h.start()
	}
	if h, _ := p.put(1, cores, 20*time.Second); h == nil {
		p.fail("the first configuration isn't acknowledged")
	}
	for _, h := range fronts {
		if !until(10*time.Second, h.ready) {
			p.fail("%s isn't ready", h.name)
		}
	}
	p.note("all fronts are ready")
}
