package kernel

import (
	"context"
	"slices"
)

// Launch starts a service immediately, also after Start. Stop stops it after the
// registered services, since they use it. Launch returns a DuplicateError if the
// name is already registered and a StartError if the service fails to start.
func (k *Kernel) Launch(ctx context.Context, s Service) error {
	k.mu.Lock()
	t, err := k.add(s)
	if err == nil {
		k.order = slices.Insert(k.order, 0, t)
	}
	k.mu.Unlock()
	if err != nil {
		return err
	}
	if err := t.launch(ctx); err != nil {
		k.unregister(t)
		return err
	}
	return nil
}

func (k *Kernel) unregister(t *Task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.tasks, t.service.Name)
	k.order = slices.DeleteFunc(k.order, func(other *Task) bool { return other == t })
}

// launch starts the goroutine of the task and waits until it has started.
func (t *Task) launch(ctx context.Context) error {
	t.ctx, t.cancel = context.WithCancel(context.WithoutCancel(ctx))
	started := make(chan error, 1)
	go t.run(started)
	err := <-started
	if err != nil {
		t.cancel()
	}
	return err
}
