package faultmatrix

import (
	"time"
)

// stepDrain is the planned stop of the instance in the middle of an answer.
const stepDrain = "drain"

// requestCell is one fault at one step of a request. What each kind of work gets
// stands as "first>again": the answer to the first try at instance a, and to a
// resend under the same key at b once the fault is over. No answer to the first
// try means that the kind has no such step.
type requestCell struct {
	step, fault            string
	plain, stream, reserve string
}

// shortOfBound, after a withdrawal, makes a pause longer than half the bound and
// short enough that the confirmation from before it is still young.
const pauseWithinBound = freshnessBound/2 - 600*time.Millisecond

// faults of a request, as they happen at its step.
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
	// Nobody reads what was appended before the log goes down.
	faultUnread: func(b *testbed) { b.log.SetDown(true); b.setOthersReadsFail(false) },
	// The caller loses patience and sends the request again, elsewhere.
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

const faultUnread = "log goes down unread"

// othersDeaf keeps b and c from reading the log.
func (b *testbed) setOthersReadsFail(fail bool) {
	b.instances["b"].readsFail.Store(fail)
	b.instances["c"].readsFail.Store(fail)
}

func (b *testbed) setBehaviour(behaviour string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

// leaves makes the serving backend server leave, or the one called next.
func (b *testbed) makeServerLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servingServer != "" {
		b.leaving[b.servingServer] = time.Now()
		return
	}
	b.nextLeaving = true
}

// allLeave makes every backend server leave until the fleet is healed.
func (b *testbed) makeAllServersLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allServersLeaving = true
}

// dies takes the serving backend server away, or one of each kind.
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

// run runs the cell with one kind of work.
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
			b.t.Errorf("a planned stop left %d bills at the instance", held)
		}
		if late := b.call(kind, "a", newKey()); late.outcome != outcomeNoAnswer {
			b.t.Errorf("a stopped instance answered %s", late.outcome)
		}
	}
	b.heal()
	if bills := b.bills()[key]; c.fault == faultCallerLeaves && bills != 1 {
		b.t.Errorf("what was generated for a caller that left has %d bills", bills)
	}
	again := b.call(kind, "b", key)
	if outcomes := got.outcome + ">" + again.outcome; outcomes != want {
		b.t.Errorf("got %s, want %s (%q, %q)", outcomes, want, got.body, again.body)
	}
	b.heal()
	b.checkInvariants()
}
