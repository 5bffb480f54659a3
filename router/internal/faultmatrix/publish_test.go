package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/publish"
)

// withdraw publishes the withdrawal of draft@1 at an instance and waits until it
// is in force at the instances that can be reached.
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

// recordWithdrawal records that draft@1 is withdrawn everywhere and lets time
// pass, so that any run which starts afterwards violates the withdrawal.
func (b *testbed) recordWithdrawal() {
	time.Sleep(propagationTime)
	b.mu.Lock()
	b.withdrawn["draft@1"] = time.Now()
	b.mu.Unlock()
	time.Sleep(time.Second - propagationTime)
}

// propagationTime is enough for all instances to read an appended record.
const propagationTime = 100 * time.Millisecond

// racePublications publishes the withdrawal of draft@1 at two instances at once
// with the same parent: exactly one is accepted.
func (b *testbed) racePublications(instances ...string) {
	b.t.Helper()
	time.Sleep(propagationTime)
	// Both parents are read before either publication starts. Otherwise the first
	// publication could already be in force when the second one's parent is read, and
	// both would be accepted.
	manifests := make([]manifest.Manifest, len(instances))
	for i, via := range instances {
		current := b.instances[via].holder.Current()
		m := withdrawalManifest(fmt.Sprint("race-", via, current.Manifest.Generation))
		m.Generation, m.Parent = current.Manifest.Generation+1, current.Digest
		manifests[i] = m
	}
	if first, second := manifests[0], manifests[1]; first.Generation != second.Generation || first.Parent != second.Parent {
		b.t.Errorf("two racing publications: generations %d and %d, parents %q and %q, want the same",
			first.Generation, second.Generation, first.Parent, second.Parent)
	}
	results := make(chan publish.Result, 2)
	for i, via := range instances {
		go func() { results <- b.instances[via].publisher.Publish(context.Background(), manifests[i], false) }()
	}
	x, y := <-results, <-results
	codes := x.Outcome.Code + "," + y.Outcome.Code
	if codes != "accepted,conflict" && codes != "conflict,accepted" {
		b.t.Errorf("two racing publications: %s, want one accepted and one conflict", codes)
	}
	b.recordWithdrawal()
}

// publishCell is one fault at one step of a publication at instance a. want is
// "first>again": the code returned at a, and the code of the same publication
// repeated at b after the fault. generation is the last generation afterwards.
type publishCell struct {
	step, fault, want string
	generation        uint64
}

// publishCells check that a publication is accepted at most once, and that an
// accepted one is in force everywhere within the freshness bound. Repeating a
// publication that a later one has replaced is a conflict, since it would bring
// its old content back.
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
	// The publication is accepted; the other instances do not know of it yet.
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
	repeated := b.instances["b"].publisher.Publish(context.Background(), m, true).Outcome.Code
	if got := first + ">" + repeated; got != c.want {
		b.t.Errorf("got %s, want %s", got, c.want)
	}
	b.heal()
	for _, in := range b.instances {
		if g := in.holder.Generation(); g != c.generation && !b.net.isDown(in.name) {
			b.t.Errorf("%s is at generation %d, want %d", in.name, g, c.generation)
		}
	}
	b.withdrawn["draft@1"] = time.Now()
	b.expectCompleted(kindStream, "b")
	b.checkInvariants()
}
