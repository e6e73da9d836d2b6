package daemon

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// recorder records a session of requests and answers for the golden file.
type recorder struct {
	cluster *cluster
	out     strings.Builder
	names   map[string]string // stable placeholder by id
}

var (
	unstable = regexp.MustCompile(`changwon\.[0-9a-v]+\.[0-9a-v]+|changwon\.changwon-\d\.[0-9a-f]{16}`)
	times    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
)

func (r *recorder) note(text string) { fmt.Fprintf(&r.out, "# %s\n", text) }

// send makes and records a request, and returns the ids in the answer.
func (r *recorder) send(method, host, path, body string) []string {
	status, text := r.cluster.call("client", method, host, path, body)
	r.write("%s %s\n%s\n", method, path, body)
	r.write("%d %s\n%s\n\n", status, http.StatusText(status), strings.TrimSpace(indent(text)))
	return unstable.FindAllString(text, -1)
}

func (r *recorder) write(format string, args ...any) {
	text := unstable.ReplaceAllStringFunc(fmt.Sprintf(format, args...), func(id string) string {
		if r.names[id] == "" {
			r.names[id] = fmt.Sprintf("ID%d", len(r.names)+1)
		}
		return r.names[id]
	})
	r.out.WriteString(times.ReplaceAllString(text, "TIME"))
}

func (r *recorder) put(host, list, text, editID string, base int) {
	r.send(http.MethodPut, host, "/v1/lists/"+list, fmt.Sprintf(`{"BaseVersion": %d, "EditID": %q, "Operator": "ola", "Text": %q}`, base, editID, text))
}

// TestSession compares a typical session of operators and a caller with the golden file. The
// requests go to different hosts, which must not affect the answers.
func TestSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3)
		c.startBackend(t, "changwon", 1, 100*time.Millisecond)
		time.Sleep(replicationTarget)
		r := &recorder{cluster: c, names: map[string]string{}}
		r.editLists()
		time.Sleep(replicationTarget)
		r.submitJobs()
		r.note("what operators see afterwards")
		r.send("GET", "gimhae-1", "/v1/lists/history", "")
		r.send("GET", c.primary(t, "changwon"), "/v1/customers/gyeongnam/explain", "")
		r.send("GET", "changwon-1", "/v1/customers/nobody/explain", "")
		r.send("GET", "changwon-1", "/v1/lists/teams", "")
		r.send("GET", "changwon-1", "/v1/nothing", "")
		goldie.New(t).Assert(t, "session", []byte(r.out.String()))
	})
}

func (r *recorder) editLists() {
	r.note("before the first lists")
	r.send("POST", "gimhae-2", "/v1/jobs", submission("", "", "early", 1))
	r.note("the operators' first lists")
	r.put("changwon-3", "plans", plansText, "plans-1", 0)
	r.put("jinju-2", "customers", customersText, "customers-1", 1)
	r.note("a resend gets the first answer, a reused edit id and an old base do not")
	r.put("gimhae-1", "customers", customersText, "customers-1", 1)
	r.put("gimhae-1", "customers", customersText+"\n", "customers-1", 1)
	r.put("gimhae-3", "customers", customersText+"# late\n", "customers-2", 1)
	r.note("bad lists name the field and the line")
	r.put("gimhae-3", "plans", strings.Replace(plansText, "Weight: 4", "Weight: 0", 1), "plans-2", 2)
	r.put("gimhae-3", "customers", customersText+"  - Name: halny\n    Plan: platinum\n", "customers-3", 2)
	r.put("gimhae-3", "customers", customersText+"    Colour: red\n", "customers-4", 2)
}

func (r *recorder) submitJobs() {
	r.note("a session, a job and its resubmission elsewhere")
	session := r.send("POST", "changwon-1", "/v1/sessions", `{"Customer": "gyeongnam"}`)[0]
	job := r.send("POST", "changwon-2", "/v1/jobs", submission(session, "swap-1", "swap", 2))[0]
	r.send("POST", "jinju-1", "/v1/jobs", submission(session, "swap-1", "swap", 2))
	r.send("GET", "gimhae-3", "/v1/jobs/"+job, "")
	r.note("refused requests")
	r.send("POST", "gimhae-1", "/v1/jobs", submission(session, "swap-1", "another", 2))
	r.send("POST", "gimhae-1", "/v1/jobs", submission("changwon.1.1", "swap-2", "swap", 1))
	r.send("POST", "gimhae-1", "/v1/jobs", strings.Replace(submission("", "", "swap", 1), "gyeongnam", "nobody", 1))
	r.send("POST", "gimhae-1", "/v1/jobs", strings.Replace(submission("", "", "swap", 1), "dispatch", "entries", 1))
	r.send("POST", "gimhae-1", "/v1/jobs", submission("", "", "swap", 9))
	r.send("POST", "gimhae-1", "/v1/jobs", "{\n  \"Customer\": \"gyeongnam\",\n  \"Color\": 1\n}")
	r.send("POST", "gimhae-1", "/v1/jobs", submission(session, "", "swap", 1))
	r.send("GET", "gimhae-1", "/v1/jobs/changwon.changwon-9.0123456789abcdef", "")
	r.note("a job that is not waited for")
	late := r.send("POST", "changwon-1", "/v1/jobs", strings.Replace(submission(session, "swap-3", "late", 1), "{", `{"NoWait": true, `, 1))[0]
	r.send("GET", "jinju-3", "/v1/jobs/"+late, "")
	r.send("GET", "jinju-3", "/v1/jobs/"+late+"?WaitMs=1000", "")
	r.note("a cancel before the submission")
	r.send("POST", "gimhae-2", "/v1/cancel", fmt.Sprintf(`{"Customer": "gyeongnam", "Session": %q, "Key": "swap-4"}`, session))
	r.send("POST", "changwon-3", "/v1/jobs", submission(session, "swap-4", "gone", 1))
	r.send("POST", "gimhae-2", "/v1/cancel", `{"Customer": "gyeongnam"}`)
}
