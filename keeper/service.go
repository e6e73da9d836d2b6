package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

// tick is how often a Node looks at the clock.
const tick = 100 * time.Millisecond

// Service returns the Node as a service that holds at most depth requests.
func (n *Keeper) Service(depth int) kernel.Service {
	return kernel.Service{
		Name:   msgs.ServiceLists,
		Depth:  depth,
		Every:  tick,
		Start:  n.connect,
		Handle: func(_ *kernel.Task, msg any) { n.Handle(msg) },
		Tick:   func(*kernel.Task) { n.Tick() },
		Drain:  n.handover,
	}
}

func (n *Keeper) connect(t *kernel.Task) error {
	n.Now = t.Env.Now
	n.Random = t.Env.Random
	n.Send = peers.NewMailer(n.Self.Name, t.Find).Send
	n.Start()
	return nil
}

// drained hands the lead of the lists group over before the service stops.
func (n *Keeper) handover(*kernel.Task) bool {
	if n.replica == nil || len(n.Members) == 1 || !n.replica.Status(n.Now()).Leading {
		return true
	}
	n.replica.Handover(n.Now())
	n.process(n.Now())
	return !n.replica.Status(n.Now()).Leading
}
