package faultmatrix

import (
	"context"
	"time"

	"masticplank.example/router/internal/publish"
)

// withdraw publishes the withdrawal of draft@1 at an instance and waits until it
// is in force at the instances that can hear of it.
func (b *bed) withdraw(via string) publish.Result {
	b.t.Helper()
	r := b.instances[via].publisher.Publish(context.Background(), withdrawal("p-"+via), true)
	if r.Outcome.Code != "accepted" {
		b.t.Errorf("withdrawal at %s: %+v", via, r)
	}
	time.Sleep(time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn["draft@1"] = time.Now()
	return r
}

// race has two pipelines withdraw draft@1 at once, from the same parent.
func (b *bed) race() {
	b.t.Helper()
	results := make(chan publish.Result, 2)
	for _, via := range []string{"b", "c"} {
		m := withdrawal("p-" + via)
		current := b.instances[via].holder.Current()
		m.Generation, m.Parent = current.Manifest.Generation+1, current.Digest
		go func() { results <- b.instances[via].publisher.Publish(context.Background(), m, false) }()
	}
	x, y := <-results, <-results
	codes := x.Outcome.Code + "," + y.Outcome.Code
	if codes != "accepted,conflict" && codes != "conflict,accepted" {
		b.t.Errorf("two racing publications: %s", codes)
	}
	time.Sleep(time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn["draft@1"] = time.Now()
}
