package faultmatrix

import (
	"context"
	"testing/synctest"
	"time"
)

// kill simulates the death of an instance's process: from now on nothing it
// sends arrives. Its goroutines are stopped afterwards, without flushing bills.
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

// isolate disconnects an instance from its peers.
func (b *testbed) isolate(name string) {
	for _, l := range fleet {
		if l.ID != name {
			b.net.disconnect(name, l.ID)
		}
	}
}

// freeze simulates a paused process while f runs: the instance does not check
// the clock and receives nothing from the log or its peers. Its state is kept.
// Afterwards all instances are connected to each other, also if another fault
// had disconnected them.
func (b *testbed) freeze(in *instance, f func()) {
	in.frozen.Store(true)
	b.log.SetDisconnected(in.name, true)
	b.isolate(in.name)
	f()
	b.net.reconnectAll()
	b.log.SetDisconnected(in.name, false)
	in.frozen.Store(false)
}

// drain performs a planned stop in the same order as the daemon after its grace
// period.
func (b *testbed) drain(in *instance) {
	_ = in.server.Shutdown(context.Background())
	for in.driver.OpenRequests() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	b.heldAfterDrain <- in.peers.Drain(context.Background())
	b.kill(in)
}

// heal ends the faults of the log and of the connections and the effect of
// makeAllServersLeave, and waits until the instances are up to date. Instances
// and backend servers that are down stay down, and those backend servers that
// makeServerLeave made leave go on leaving.
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

// planFault sets the fault of a step. The returned await fails the cell if the
// step was not reached, and otherwise waits until fault has returned.
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
			b.t.Fatalf("step %q was not reached", step)
		}
		<-done
	}
}

// reachStep is called when instance in reaches a step; in is nil for a step at a
// backend server. It runs the fault planned for the step, if any, once. Steps of
// instances other than a are ignored.
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

// isPlanned reports whether a fault of instance in at the step is still to come.
func (b *testbed) isPlanned(in *instance, step string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return in.name == "a" && b.faults[step] != nil
}
