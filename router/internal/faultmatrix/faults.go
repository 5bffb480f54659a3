package faultmatrix

import (
	"context"
	"testing/synctest"
	"time"
)

// kill ends an instance as the death of its process does: nothing it does from
// now on reaches anybody. Its goroutines are ended later, without a flush.
func (b *testbed) kill(in *instance) {
	in.killed.Do(func() {
		b.log.SetDisconnected(in.name, true)
		b.net.takeDown(in.name)
		in.cancel()
		in.spawn(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = in.server.Close()
			_ = in.Stop(ctx)
		})
	})
}

// isolate cuts an instance from its peers.
func (b *testbed) isolate(name string) {
	for _, l := range fleet {
		if l.ID != name {
			b.net.disconnect(name, l.ID)
		}
	}
}

// freeze holds an instance still while f runs: it looks at no clock and hears
// nothing, and is as it was when f has ended.
func (b *testbed) freeze(in *instance, f func()) {
	in.frozen.Store(true)
	b.log.SetDisconnected(in.name, true)
	b.isolate(in.name)
	f()
	b.net.reconnectAll()
	b.log.SetDisconnected(in.name, false)
	in.frozen.Store(false)
}

// drain is a planned stop, in the daemon's order.
func (b *testbed) drain(in *instance) {
	_ = in.server.Shutdown(context.Background())
	for in.driver.OpenRequests() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	b.heldAfterDrain <- in.peers.Drain(context.Background())
	b.kill(in)
}

// heal ends all faults and lets the fleet settle.
func (b *testbed) heal() {
	b.log.SetDown(false)
	b.log.SetSlow(0)
	b.net.reconnectAll()
	b.mu.Lock()
	b.allServersLeaving = false
	b.mu.Unlock()
	for _, in := range b.instances {
		if !b.net.isDown(in.name) {
			b.log.SetDisconnected(in.name, false)
		}
	}
	time.Sleep(4 * time.Second)
	synctest.Wait()
}

// plan sets the fault of a step. met fails the cell where the step did not come,
// and returns once the fault is over.
func (b *testbed) planFault(step string, fault func()) (await func()) {
	done := make(chan struct{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[step] = func() {
		defer close(done)
		fault()
	}
	return func() {
		b.t.Helper()
		b.mu.Lock()
		_, pending := b.faults[step]
		b.mu.Unlock()
		if pending {
			b.t.Fatalf("the step %q was not met", step)
		}
		<-done
	}
}

// at is a step of instance in: the fault planned for it happens now.
func (b *testbed) reachStep(in *instance, step string) {
	if in != nil && in.name != "a" {
		return
	}
	b.mu.Lock()
	fault := b.faults[step]
	delete(b.faults, step)
	b.mu.Unlock()
	if fault != nil {
		fault()
	}
}

func (b *testbed) isPlanned(in *instance, step string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return in.name == "a" && b.faults[step] != nil
}
