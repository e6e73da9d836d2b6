package calls

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/kernel/memnet"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const serverAddress = "10.0.0.1:9001"

// fixture is a Caller between a fake jobs service and one fake backend server.
type fixture struct {
	kernel *kernel.Kernel
	caller kernel.Ref
	ended  map[uint64][]jobs.CallEnded // by grant
	bodies map[string]int              // complete task calls that the server read, by task
	serve  func(f *fixture, w http.ResponseWriter, m *wire.TaskCall)
	revoke string                                      // status in the answers to revocations
	dial   func(ctx context.Context) (net.Conn, error) // replaces connecting to the server if set
	mu     sync.Mutex
}

// startFixture runs a fixture until the test ends.
func startFixture(t *testing.T, f *fixture) {
	t.Helper()
	f.ended = map[uint64][]jobs.CallEnded{}
	f.bodies = map[string]int{}
	network := memnet.New()
	env := network.Env("h1", 1)
	dial := env.Dial
	env.Dial = func(ctx context.Context, protocol, address string) (net.Conn, error) {
		if f.dial != nil {
			return f.dial(ctx)
		}
		return dial(ctx, protocol, address)
	}
	f.kernel = kernel.New(kernel.WithEnv(env))
	caller := &Caller{Timeout: time.Minute, ResultBytes: 64}
	for _, s := range []kernel.Service{caller.Service(64), {
		Name:  msgs.ServiceJobs,
		Depth: 64,
		Handle: func(_ *kernel.Task, msg any) {
			m := msg.(jobs.CallEnded)
			f.ended[m.Grant] = append(f.ended[m.Grant], m)
		},
	}} {
		if err := f.kernel.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.caller, _ = f.kernel.Find(msgs.ServiceCalls)
	server := &http.Server{Handler: f}
	l, err := network.Listen("b1", serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Close()
		f.kernel.Stop(ctx)
	})
}

// ServeHTTP passes task calls to serve and answers revocations.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/v1/revoke" {
		reply(w, &wire.Revoked{Status: f.revoke})
		return
	}
	var m wire.TaskCall
	if err := codec.FromJSON(data, &m); err != nil || m.GetFence() != grantFence {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.bodies[m.GetTask()]++
	f.mu.Unlock()
	f.serve(f, w, &m)
}

func reply(w http.ResponseWriter, m proto.Message) {
	_, _ = w.Write(codec.JSON(m))
}

// resultOf returns the successful result of a task call.
func resultOf(m *wire.TaskCall) *wire.TaskResult {
	return &wire.TaskResult{Task: m.GetTask(), Digest: m.GetDigest(), Status: statusDone, Result: "result of " + m.GetBody()}
}

// grantFence is the fence of every grant; the server refuses calls with another one.
const grantFence = 7

// call sends the Caller the task with number n (a, b, ...) under a grant with the same number.
func (f *fixture) call(t *testing.T, n uint64, lease time.Duration) {
	t.Helper()
	name := string(rune('a' + n))
	err := f.caller.Offer(jobs.Call{
		Grant: msgs.Grant{ID: n, Address: serverAddress, Connections: 2, Service: "dispatch", Fence: grantFence},
		Task:  name, Body: []byte("body " + name), LeaseExpires: time.Now().Add(lease),
	})
	if err != nil {
		t.Fatal(err)
	}
}
