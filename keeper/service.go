package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

// tick is the interval between calls of Tick.
const tick = 100 * time.Millisecond

// Service returns the kernel service of the keeper, whose mailbox holds at most
// depth requests.
func (k *Keeper) Service(depth int) kernel.Service {
	return kernel.Service{
		Name:   msgs.ServiceLists,
		Depth:  depth,
		Every:  tick,
		Start:  k.connect,
		Handle: func(_ *kernel.Task, msg any) { k.Handle(msg) },
		Tick:   func(*kernel.Task) { k.Tick() },
		Drain:  k.handover,
	}
}

func (k *Keeper) connect(t *kernel.Task) error {
	k.Now = t.Env.Now
	k.Random = t.Env.Random
	k.Send = peers.NewMailer(k.Self.Name, t.Find).Send
	k.Start()
	return nil
}

// handover transfers the leadership of the lists group to another member before
// the service stops. It returns true when this host is not the primary, or is the
// only member.
func (k *Keeper) handover(*kernel.Task) bool {
	if k.replica == nil || len(k.Members) == 1 || !k.replica.Status(k.Now()).Leading {
		return true
	}
	k.replica.Handover(k.Now())
	k.process(k.Now())
	return !k.replica.Status(k.Now()).Leading
}
