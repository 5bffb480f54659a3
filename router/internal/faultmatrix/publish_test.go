package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"masticplank.example/router/internal/publish"
)

// withdraw publishes the withdrawal of draft@1 at an instance and waits until it
// is in force at the instances that can hear of it.
func (b *testbed) withdraw(via string) publish.Result {
	b.t.Helper()
	time.Sleep(propagationTime)
	r := b.instances[via].publisher.Publish(context.Background(), withdrawalManifest("p-"+via), true)
	if r.Outcome.Code != "accepted" {
		b.t.Errorf("withdrawal at %s: %+v", via, r)
	}
	b.recordWithdrawal()
	return r
}

// isWithdrawn notes that draft@1 is withdrawn everywhere, and lets time pass, so
// that a run which starts now is one too late.
func (b *testbed) recordWithdrawal() {
	time.Sleep(propagationTime)
	b.mu.Lock()
	b.withdrawn["draft@1"] = time.Now()
	b.mu.Unlock()
	time.Sleep(time.Second - propagationTime)
}

// settled is how long the others take to read what one appended.
const propagationTime = 100 * time.Millisecond

// race has pipelines at two instances withdraw draft@1 at once, from the same
// parent.
func (b *testbed) racePublications(instances ...string) {
	b.t.Helper()
	time.Sleep(propagationTime)
	results := make(chan publish.Result, 2)
	for _, via := range instances {
		current := b.instances[via].holder.Current()
		m := withdrawalManifest(fmt.Sprint("race-", via, current.Manifest.Generation))
		m.Generation, m.Parent = current.Manifest.Generation+1, current.Digest
		go func() { results <- b.instances[via].publisher.Publish(context.Background(), m, false) }()
	}
	x, y := <-results, <-results
	codes := x.Outcome.Code + "," + y.Outcome.Code
	if codes != "accepted,conflict" && codes != "conflict,accepted" {
		b.t.Errorf("two racing publications: %s", codes)
	}
	b.recordWithdrawal()
}

// publishCell is one fault at one step of a publication at instance a: what its
// pipeline hears, what it hears when it publishes the same again at b once the
// fault is over, and how many generations there are then.
type publishCell struct {
	step, fault, want string
	generations       uint64
}

// A repetition of a publication that a later one has replaced is a conflict: it
// must not bring its old content back.
//
// publishCells: a publication is accepted at most once, and what was said to be
// accepted is in force everywhere within the bound.
var publishCells = []publishCell{
	{"publish", "none", "accepted>already_published", 2},
	{"publish", "kill", "gone>accepted", 2},
	{"publish", "cut from log", "publish_not_taken>accepted", 2},
	{"publish", "cut from all", "publish_not_taken>accepted", 2},
	{"publish", "long freeze", "publish_not_taken>accepted", 3},
	{"publish", "log down", "publish_not_taken>accepted", 2},
	{"publish", "log goes down", "publish_not_taken>accepted", 2},
	{"publish", "slow", "accepted>already_published", 2},
	{"publish", "lost reply", "accepted>already_published", 2},
	{"publish", "lost append", "accepted>already_published", 2},
	{"publish", "operator race", "conflict>accepted", 3},
	{"read back", "kill", "gone>already_published", 2},
	{"read back", "cut from log", "accepted>already_published", 2},
	{"read back", "cut from all", "publish_unknown>already_published", 2},
	{"read back", "long freeze", "publish_unknown>conflict", 3},
	{"read back", "log goes down", "accepted>already_published", 2},
	{"read back", faultUnread, "publish_unknown>already_published", 2},
	{"read back", "operator race", "accepted>conflict", 3},
	// The publication is accepted; others have yet to hear of it.
	{"push", "kill", "gone>already_published", 2},
	{"push", "cut from log", "accepted>already_published", 2},
	{"push", "cut from all", "accepted>already_published", 2},
	{"push", "freeze", "accepted>conflict", 3},
	{"push", "log goes down", "accepted>already_published", 2},
	{"push", "slow", "accepted>already_published", 2},
	{"push", "operator race", "accepted>conflict", 3},
}

func (c publishCell) run(b *testbed) {
	b.t.Helper()
	m := withdrawalManifest("p-a")
	b.setOthersReadsFail(c.fault == faultUnread)
	awaitFault := b.planFault(c.step, func() { requestFaults[c.fault](b) })
	first := b.instances["a"].publisher.Publish(context.Background(), m, true).Outcome.Code
	awaitFault()
	if b.net.isDown("a") {
		first = outcomeNoAnswer
	}
	b.heal()
	again := b.instances["b"].publisher.Publish(context.Background(), m, true).Outcome.Code
	if got := first + ">" + again; got != c.want {
		b.t.Errorf("got %s, want %s", got, c.want)
	}
	b.heal()
	for _, in := range b.instances {
		if g := in.holder.Generation(); g != c.generations && !b.net.isDown(in.name) {
			b.t.Errorf("%s is at generation %d, want %d", in.name, g, c.generations)
		}
	}
	b.withdrawn["draft@1"] = time.Now()
	b.expectCompleted(kindStream, "b")
	b.checkInvariants()
}
