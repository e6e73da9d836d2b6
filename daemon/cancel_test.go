package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestCancelGroupDuringPartition cancels a group with jobs in two data centres. The answer counts
// the cancelled jobs and names the data centres that didn't answer.
func TestCancelGroupDuringPartition(t *testing.T) {
	const localJobs, remoteJobs = 3, 2 // jobs in changwon and in jinju
	tests := map[string]struct {
		fault      func(c *cluster)
		status     int
		jobs       int
		unanswered []string
		code       string
	}{
		"all reachable": {fault: func(*cluster) {}, status: http.StatusOK, jobs: localJobs + remoteJobs},
		"jinju partitioned": {
			fault:  func(c *cluster) { c.partition(hostsOf("jinju")) },
			status: http.StatusAccepted, jobs: localJobs, unanswered: []string{"jinju"}, code: "OutcomeUnknown",
		},
		"changwon partitioned": {
			fault: func(c *cluster) {
				c.partition(hostsOf("gimhae"))
				c.partition(hostsOf("jinju"))
			},
			status: http.StatusAccepted, jobs: localJobs, unanswered: []string{"gimhae", "jinju"}, code: "OutcomeUnknown",
		},
		"only the requested host partitioned": {
			fault:  func(c *cluster) { c.partition([]string{"changwon-2"}) },
			status: http.StatusGatewayTimeout, code: "OutcomeUnknown",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 8*time.Second)
				for i := range localJobs + remoteJobs {
					host := "changwon-1"
					if i >= localJobs {
						host = "jinju-1"
					}
					body := strings.Replace(submission("", "", fmt.Sprint(i), 1), "{", `{"NoWait": true, "Group": "gala", `, 1)
					if status, a := c.submit(host, body); status != http.StatusAccepted {
						t.Fatalf("%d %+v", status, a)
					}
				}
				tt.fault(c)
				time.Sleep(3 * time.Second)
				status, text := c.post("client", "changwon-2", "/v1/cancel", `{"Customer": "gyeongnam", "Group": "gala"}`)
				var got struct {
					Jobs        int
					Code        string // of a refusal
					Refusal     struct{ Code, Reason string }
					DataCentres []struct {
						DataCentre string
						Answered   bool
					}
				}
				if err := json.Unmarshal([]byte(text), &got); err != nil {
					t.Fatalf("%d %s", status, text)
				}
				var unanswered []string
				for _, at := range got.DataCentres {
					if !at.Answered {
						unanswered = append(unanswered, at.DataCentre)
					}
				}
				if status != tt.status || got.Jobs != tt.jobs || !slices.Equal(unanswered, tt.unanswered) || got.Refusal.Code+got.Code != tt.code {
					t.Errorf("got %d %s", status, text)
				}
				for _, name := range tt.unanswered {
					if !strings.Contains(got.Refusal.Reason, name) {
						t.Errorf("the reason %q doesn't name %s", got.Refusal.Reason, name)
					}
				}
			})
		})
	}
}
