package faultmatrix

import (
	"time"
)

// stepDrain is a planned stop of the instance in the middle of an answer.
const stepDrain = "drain"

// requestCell is one fault at one step of a request. The expected outcomes of
// each kind are "first>again": of the request at instance a, and of a resend
// with the same key at b after the fault. An empty string means that the kind
// has no such step or fault.
type requestCell struct {
	step, fault            string
	plain, stream, reserve string
}

// pauseWithinBound is how long a freeze goes on after the withdrawal in it.
// With the 1.1 s of withdraw, the freeze is longer than half the freshness
// bound, which counts as a pause of the process, but so short that the
// confirmation of freshness from before it is not older than the bound: only
// the detection of the pause can make the instance refuse.
const pauseWithinBound = freshnessBound/2 - 600*time.Millisecond

// requestFaults holds the faults that are injected at a step of a request or of a
// publication, by name.
var requestFaults = map[string]func(b *testbed){
	"none":         func(*testbed) {},
	"kill":         func(b *testbed) { b.kill(b.instances["a"]) },
	"cut from log": func(b *testbed) { b.log.SetDisconnected("a", true); time.Sleep(2 * freshnessBound) },
	"cut from all": func(b *testbed) { b.log.SetDisconnected("a", true); b.isolate("a"); time.Sleep(2 * freshnessBound) },
	"freeze": func(b *testbed) {
		b.freeze(b.instances["a"], func() { b.withdraw("b"); time.Sleep(pauseWithinBound) })
	},
	"long freeze": func(b *testbed) {
		b.freeze(b.instances["a"], func() { b.withdraw("b"); time.Sleep(2 * freshnessBound) })
	},
	"log down":        func(b *testbed) { b.log.SetDown(true); time.Sleep(2 * freshnessBound) },
	"log goes down":   func(b *testbed) { time.Sleep(propagationTime); b.log.SetDown(true) },
	"slow":            func(b *testbed) { b.log.SetSlow(time.Second) },
	"lost reply":      func(b *testbed) { b.log.LoseReplies(1) },
	"lost append":     func(b *testbed) { b.log.LoseAppends(1) },
	"operator race":   func(b *testbed) { b.racePublications("b", "c") },
	faultCallerLeaves: func(b *testbed) { b.cancelCaller(); time.Sleep(time.Second) },
	// The log goes down before anyone has read the last append: the reads of b
	// and c have failed since the cell began.
	faultUnread: func(b *testbed) { b.log.SetDown(true); b.setOthersReadsFail(false) },
	// The caller resends the request at another instance without waiting for the
	// first answer.
	"crossed resend": func(b *testbed) { b.call(b.kind, "b", b.key) },
	"leaving":        func(b *testbed) { b.makeServerLeave() },
	"server dies":    func(b *testbed) { b.takeServerDown() },
	"slow server":    func(b *testbed) { b.setBehaviour(behaviourSlow) },
	"crossed":        func(b *testbed) { b.setBehaviour(behaviourCrossed) },
	"truncated":      func(b *testbed) { b.setBehaviour(behaviourTruncated) },
	"unended":        func(b *testbed) { b.setBehaviour(behaviourUnended) },
	"all leave":      func(b *testbed) { b.makeAllServersLeave() },
	"duplicated":     func(b *testbed) { b.setBehaviour(behaviourDuplicated) },
	"late tail":      func(b *testbed) { b.setBehaviour(behaviourLateTail) },
}

const faultCallerLeaves = "caller leaves"

// faultUnread is the fault "log goes down" at a time when b and c have not read
// what a has appended.
const faultUnread = "log goes down unread"

// setOthersReadsFail makes the reads of the log at b and c fail, or succeed again.
func (b *testbed) setOthersReadsFail(fail bool) {
	b.instances["b"].readsFail.Store(fail)
	b.instances["c"].readsFail.Store(fail)
}

func (b *testbed) setBehaviour(behaviour string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

// makeServerLeave makes the serving backend server leave, or, if there is none
// yet, the one called next.
func (b *testbed) makeServerLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servingServer != "" {
		b.leaving[b.servingServer] = time.Now()
		return
	}
	b.nextLeaving = true
}

// makeAllServersLeave makes every backend server refuse as leaving until heal.
func (b *testbed) makeAllServersLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allServersLeaving = true
}

// takeServerDown takes the serving backend server down, or, if there is none
// yet, one of each kind.
func (b *testbed) takeServerDown() {
	b.mu.Lock()
	servingServer := b.servingServer
	b.mu.Unlock()
	if servingServer != "" {
		b.net.takeDown(servingServer)
		return
	}
	b.net.takeDown("e1")
	b.net.takeDown("s1")
}

// run runs the cell with one kind of request.
func (c requestCell) run(b *testbed, kind, want string) {
	b.t.Helper()
	step, fault := c.step, func() { requestFaults[c.fault](b) }
	if c.step == stepDrain {
		step, fault = "stream", func() {
			go b.drain(b.instances["a"])
			time.Sleep(time.Second)
			requestFaults[c.fault](b)
		}
	}
	b.setOthersReadsFail(c.fault == faultUnread)
	awaitFault := b.planFault(step, fault)
	key := newKey()
	b.kind, b.key = kind, key
	got := b.call(kind, "a", key)
	awaitFault()
	if c.step == stepDrain {
		if held := <-b.heldAfterDrain; held > 0 && c.fault != "kill" {
			b.t.Errorf("a planned stop left %d bills that only the instance holds, want none", held)
		}
		if late := b.call(kind, "a", newKey()); late.outcome != outcomeNoAnswer {
			b.t.Errorf("a stopped instance answered: %s, want no connection", late.outcome)
		}
	}
	b.heal()
	if bills := b.bills()[key]; c.fault == faultCallerLeaves && bills != 1 {
		b.t.Errorf("%d bills for an answer whose caller disconnected, want 1", bills)
	}
	resend := b.call(kind, "b", key)
	if outcomes := got.outcome + ">" + resend.outcome; outcomes != want {
		b.t.Errorf("got %s, want %s (%q, %q)", outcomes, want, got.body, resend.body)
	}
	b.heal()
	b.checkInvariants()
}
