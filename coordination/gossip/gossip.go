// Package gossip chooses which peers an instance compares digests with, and
// says what a comparison means. It is pure: the exchange is the caller's.
//
// Why a few random peers will do: news that one instance has reaches n
// instances in about log2(n)/log2(1+Fanout) rounds, while the cost of a round
// per instance does not depend on n. One peer outside the own failure domain in
// each round keeps a domain that was cut off for a while from talking only to
// itself when the cut is over.
package gossip

import (
	"math/rand/v2"

	"masticplank.example/coordination/fold"
)

// Fanout is how many peers are asked in one round.
const Fanout = 3

// Peer is an instance in the live list.
type Peer struct {
	Name   string
	Domain string
	// Addr is its IP:port for peers.
	Addr string
}

// Pick draws up to n distinct peers other than self, one of them outside self's
// failure domain where there is such a peer. The draw depends on nothing but
// rng and the arguments.
func Pick(rng *rand.Rand, self Peer, peers []Peer, n int) []Peer {
	others := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.Name != self.Name {
			others = append(others, p)
		}
	}
	n = min(n, len(others))
	if n <= 0 {
		return nil
	}
	if i := pickOtherDomain(rng, self.Domain, others); i >= 0 {
		others[0], others[i] = others[i], others[0]
	} else {
		swapRandom(rng, others, 0)
	}
	for i := 1; i < n; i++ {
		swapRandom(rng, others, i)
	}
	return others[:n:n]
}

// pickOutside draws the index of a peer outside domain; -1 if there is none.
func pickOtherDomain(rng *rand.Rand, domain string, peers []Peer) int {
	chosen, seen := -1, 0
	for i, p := range peers {
		if p.Domain == domain {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

func swapRandom(rng *rand.Rand, peers []Peer, i int) {
	j := i + rng.IntN(len(peers)-i)
	peers[i], peers[j] = peers[j], peers[i]
}

// Relation is what two digests say of each other.
type Relation uint8

const (
	// RelationEqual: nothing to exchange.
	RelationEqual Relation = iota
	// RelationBehind: the peer has folded more than the own instance.
	RelationBehind
	// RelationAhead: the own instance has folded more.
	RelationAhead
	// RelationBroken: the same prefix gave two states. This can't be while all
	// run the same rules; neither state is to be trusted.
	RelationDiverged
)

// Compare relates the own digest to a peer's.
func Compare(own, peer fold.Digest) Relation {
	switch {
	case own.NextOffset < peer.NextOffset:
		return RelationBehind
	case own.NextOffset > peer.NextOffset:
		return RelationAhead
	case own != peer:
		return RelationDiverged
	default:
		return RelationEqual
	}
}
