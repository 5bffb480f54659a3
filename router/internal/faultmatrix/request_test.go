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
const shortOfBound = bound/2 - 600*time.Millisecond

// faults of a request, as they happen at its step.
var requestFaults = map[string]func(b *bed){
	"none":         func(*bed) {},
	"kill":         func(b *bed) { b.kill(b.instances["a"]) },
	"cut from log": func(b *bed) { b.log.SetDisconnected("a", true); time.Sleep(2 * bound) },
	"cut from all": func(b *bed) { b.log.SetDisconnected("a", true); b.isolate("a"); time.Sleep(2 * bound) },
	"freeze": func(b *bed) {
		b.freeze(b.instances["a"], func() { b.withdraw("b"); time.Sleep(shortOfBound) })
	},
	"long freeze": func(b *bed) {
		b.freeze(b.instances["a"], func() { b.withdraw("b"); time.Sleep(2 * bound) })
	},
	"log down":        func(b *bed) { b.log.SetDown(true); time.Sleep(2 * bound) },
	"log goes down":   func(b *bed) { time.Sleep(settled); b.log.SetDown(true) },
	"slow":            func(b *bed) { b.log.SetSlow(time.Second) },
	"lost reply":      func(b *bed) { b.log.LoseReplies(1) },
	"lost append":     func(b *bed) { b.log.LoseAppends(1) },
	"operator race":   func(b *bed) { b.race("b", "c") },
	faultCallerLeaves: func(b *bed) { b.hangUp(); time.Sleep(time.Second) },
	// Nobody reads what was appended before the log goes down.
	faultUnread: func(b *bed) { b.log.SetDown(true); b.othersDeaf(false) },
	// The caller loses patience and sends the request again, elsewhere.
	"crossed resend": func(b *bed) { b.call(b.kind, "b", b.key) },
	"leaving":        func(b *bed) { b.leaves() },
	"server dies":    func(b *bed) { b.dies() },
	"slow server":    func(b *bed) { b.behaves(slowly) },
	"crossed":        func(b *bed) { b.behaves(crossed) },
	"truncated":      func(b *bed) { b.behaves(truncated) },
	"unended":        func(b *bed) { b.behaves(unended) },
	"all leave":      func(b *bed) { b.allLeave() },
	"duplicated":     func(b *bed) { b.behaves(duplicated) },
	"late tail":      func(b *bed) { b.behaves(lateTail) },
}

const faultCallerLeaves = "caller leaves"

const faultUnread = "log goes down unread"

// othersDeaf keeps b and c from reading the log.
func (b *bed) othersDeaf(deaf bool) {
	b.instances["b"].deaf.Store(deaf)
	b.instances["c"].deaf.Store(deaf)
}

func (b *bed) behaves(how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = how
}

// leaves makes the serving backend server leave, or the one called next.
func (b *bed) leaves() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving != "" {
		b.leaving[b.serving] = time.Now()
		return
	}
	b.nextLeaves = true
}

// allLeave makes every backend server leave until the fleet is healed.
func (b *bed) allLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nobodyRuns = true
}

// dies takes the serving backend server away, or one of each kind.
func (b *bed) dies() {
	b.mu.Lock()
	serving := b.serving
	b.mu.Unlock()
	if serving != "" {
		b.net.lose(serving)
		return
	}
	b.net.lose("e1")
	b.net.lose("s1")
}

// run runs the cell with one kind of work.
func (c requestCell) run(b *bed, kind, want string) {
	b.t.Helper()
	step, fault := c.step, func() { requestFaults[c.fault](b) }
	if c.step == stepDrain {
		step, fault = "stream", func() {
			go b.drain(b.instances["a"])
			time.Sleep(time.Second)
			requestFaults[c.fault](b)
		}
	}
	b.othersDeaf(c.fault == faultUnread)
	met := b.plan(step, fault)
	key := newKey()
	b.kind, b.key = kind, key
	got := b.call(kind, "a", key)
	met()
	if c.step == stepDrain {
		if held := <-b.drained; held > 0 && c.fault != "kill" {
			b.t.Errorf("a planned stop left %d bills at the instance", held)
		}
		if late := b.call(kind, "a", newKey()); late.outcome != gone {
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
	b.judge()
}
