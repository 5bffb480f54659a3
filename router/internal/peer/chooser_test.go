package peer

import (
	"fmt"
	"testing"

	"masticplank.example/router/internal/wire"
)

func testInstances(n int) []wire.ListedInstance {
	out := make([]wire.ListedInstance, n)
	for i := range n {
		out[i] = wire.ListedInstance{ID: fmt.Sprintf("i%d", i), Domain: domains[i%len(domains)]}
	}
	return out
}

// TestChooserChangesPeersSlowly checks that peers change slowly, since each
// change costs a new connection, that in the long run others are chosen too,
// and that one is always in another failure domain.
func TestChooserChangesPeersSlowly(t *testing.T) {
	for seed := range uint64(50) {
		c := NewChooser(domains[0], seed)
		changes, previous := 0, map[string]bool{}
		chosen := map[string]bool{}
		const rounds = 10 * replaceEvery
		for range rounds {
			current, otherDomain := map[string]bool{}, false
			for _, l := range c.Choose(testInstances(24)) {
				current[l.ID], chosen[l.ID] = true, true
				otherDomain = otherDomain || l.Domain != domains[0]
				if !previous[l.ID] {
					changes++
				}
			}
			if len(current) != fanout || !otherDomain {
				t.Fatalf("seed %d: chose %v, want fanout peers, one of them in another failure domain", seed, current)
			}
			previous = current
		}
		if changes > fanout+2*rounds/replaceEvery {
			t.Errorf("seed %d: %d changes in %d rounds, want at most fanout and two per replaceEvery rounds", seed, changes, rounds)
		}
		if len(chosen) < 2*fanout {
			t.Errorf("seed %d: only chose %v in all rounds, want at least 2*fanout peers", seed, chosen)
		}
	}
}

// TestChooserAvoidsFailedPeers checks that a failed peer is not chosen again at
// once, unless there are too few others.
func TestChooserAvoidsFailedPeers(t *testing.T) {
	for seed := range uint64(50) {
		c := NewChooser(domains[0], seed)
		first := c.Choose(testInstances(8))[0].ID
		c.Failed(first)
		for _, l := range c.Choose(testInstances(8)) {
			if l.ID == first {
				t.Errorf("seed %d: chose the failed peer %s again at once", seed, first)
			}
		}
	}
	c := NewChooser(domains[0], 1)
	for _, count := range []int{0, 1, 2, 3, 5} {
		if got := c.Choose(testInstances(count)); len(got) != min(count, fanout) {
			t.Errorf("%d of %d peers chosen, want all up to fanout", len(got), count)
		}
	}
	for _, l := range testInstances(2) {
		c.Choose(testInstances(2))
		c.Failed(l.ID)
	}
	if got := c.Choose(testInstances(2)); len(got) != 2 {
		t.Errorf("all failed: chose %v, want both", got)
	}
}
