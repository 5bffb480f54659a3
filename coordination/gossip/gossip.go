// Package gossip chooses the peers whose digests an instance compares with its
// own, and interprets the comparison. It is pure: the caller does the exchange.
//
// A few random peers suffice: information that one instance has reaches n
// instances in about log2(n)/log2(1+Fanout) rounds, while the cost of a round
// per instance does not depend on n. One peer of each round is outside the
// instance's own failure domain. Otherwise a domain that was partitioned for a
// while could keep exchanging digests only within itself after the partition is
// over.
package gossip

import (
	"math/rand/v2"

	"masticplank.example/coordination/fold"
)

// Fanout is the number of peers asked in one round.
const Fanout = 3

// Peer is an instance in the list of live instances.
type Peer struct {
	Name   string
	Domain string
	// Addr is the IP:port for traffic between peers.
	Addr string
}

// Pick draws up to n distinct peers other than self, one of them outside self's
// failure domain if such a peer exists. The result depends only on rng and the
// arguments. peers is not modified.
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

// pickOtherDomain draws the index of a peer outside domain, -1 if there is
// none.
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

// Relation is the result of comparing this instance's digest with a peer's.
type Relation uint8

const (
	// RelationEqual means that there is nothing to exchange.
	RelationEqual Relation = iota
	// RelationBehind means that the peer has folded more than this instance.
	RelationBehind
	// RelationAhead means that this instance has folded more than the peer.
	RelationAhead
	// RelationDiverged means that the same prefix of the log gave two states. This
	// cannot happen while all instances apply the same rules; neither state is to
	// be trusted.
	RelationDiverged
)

// Compare compares this instance's digest with a peer's.
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
