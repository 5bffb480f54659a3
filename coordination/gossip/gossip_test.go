package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"masticplank.example/coordination/fold"
)

func fleet(n, domains int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % domains)})
	}
	return out
}

// Guards against a draw that contains a peer twice or the instance itself, against
// one without a peer of another failure domain, and against peers that are never
// drawn.
func TestPick(t *testing.T) {
	tests := []struct{ instances, domains, want int }{
		{1, 1, 0}, {2, 1, 1}, {3, 3, 2}, {8, 3, 3}, {8, 1, 3}, {880, 24, 3},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d in %d", tt.instances, tt.domains), func(t *testing.T) {
			peers := fleet(tt.instances, tt.domains)
			rng := rand.New(rand.NewPCG(1, 2))
			drawn := map[string]int{}
			for range 2000 {
				got := Pick(rng, peers[0], peers, Fanout)
				if len(got) != tt.want {
					t.Fatalf("%d peers, want %d", len(got), tt.want)
				}
				names := map[string]bool{peers[0].Name: true}
				outside := false
				for _, p := range got {
					if names[p.Name] {
						t.Fatalf("%v contains %s twice, or the instance itself", got, p.Name)
					}
					names[p.Name] = true
					drawn[p.Name]++
					outside = outside || p.Domain != peers[0].Domain
				}
				if tt.domains > 1 && !outside {
					t.Fatalf("%v has no peer outside the instance's failure domain", got)
				}
			}
			// Every peer must be drawn, or information would not reach all instances.
			if want := min(tt.instances, 500) - 1; len(drawn) < want {
				t.Errorf("%d of %d peers were ever drawn, want all (499 in a larger fleet)", len(drawn), tt.instances-1)
			}
		})
	}
}

func TestPickIsDeterministicAndKeepsItsArgument(t *testing.T) {
	peers := fleet(20, 3)
	before := slices.Clone(peers)
	draw := func() []Peer { return Pick(rand.New(rand.NewPCG(7, 7)), peers[3], peers, Fanout) }
	if !slices.Equal(draw(), draw()) {
		t.Error("two draws with the same seed differ")
	}
	if !slices.Equal(peers, before) {
		t.Error("Pick changed the order of its argument")
	}
}

// Guards against a diverged peer that is taken for one that is ahead or behind,
// and the reverse.
func TestCompare(t *testing.T) {
	own := fold.Digest{NextOffset: 5, Generation: 2, Hash: 9}
	tests := map[Relation]fold.Digest{
		RelationEqual:    own,
		RelationBehind:   {NextOffset: 6, Generation: 2, Hash: 1},
		RelationAhead:    {NextOffset: 4, Generation: 2, Hash: 9},
		RelationDiverged: {NextOffset: 5, Generation: 2, Hash: 8},
	}
	for want, peer := range tests {
		if got := Compare(own, peer); got != want {
			t.Errorf("digest %+v: relation %d, want %d", peer, got, want)
		}
	}
}
