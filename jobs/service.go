package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

// tickInterval is the interval at which a Runner checks leases, deadlines and timeouts.
const tickInterval = 100 * time.Millisecond

// Service returns the Runner as a kernel service that queues at most depth requests.
func (r *Runner) Service(depth int) kernel.Service {
	return kernel.Service{
		Name:   msgs.ServiceJobs,
		Depth:  depth,
		Every:  tickInterval,
		Start:  r.connect,
		Handle: func(_ *kernel.Task, msg any) { r.Handle(msg) },
		Tick:   func(*kernel.Task) { r.Tick() },
		Drain:  func(*kernel.Task) bool { return r.Drain() },
		Stop:   func(*kernel.Task) { r.announceLeave() },
	}
}

func (r *Runner) connect(t *kernel.Task) error {
	caller, err := t.Find(msgs.ServiceCalls)
	if err != nil {
		return err
	}
	r.Now = t.Env.Now
	r.Random = t.Env.Random
	r.Send = peers.NewMailer(r.Self.Name, t.Find).Send
	r.Call = func(c Call) { caller.Reply(c) }
	r.Revoke = func(v Revoke) { caller.Reply(v) }
	r.Start()
	return nil
}
