package peer

import (
	"math/rand/v2"
	"slices"

	"masticplank.example/router/internal/wire"
)

// Chooser picks the peers of a round. It is called from one goroutine only.
type Chooser interface {
	// Choose picks from others, the platform's list without this instance.
	Choose(others []wire.ListedInstance) []wire.ListedInstance
	// Failed records that a chosen peer did not answer.
	Failed(id string)
}

const (
	// fanout is the number of peers in a round. With three, information reaches
	// n instances in about log3(n) rounds: 2 rounds for 8, 7 for 880.
	fanout = 3
	// replaceEvery is the number of rounds after which one peer is replaced.
	// Connecting, with TLS, costs more bytes than many rounds, so peers change
	// slowly and one at a time.
	replaceEvery = 20
)

// stickyChooser keeps its peers and replaces one every replaceEvery rounds. If
// there are peers of other failure domains that did not fail in the last round,
// at least one of them is chosen, so that information leaves a failure domain
// at once.
type stickyChooser struct {
	domain string
	rng    *rand.Rand
	round  int
	// kept holds the IDs of the chosen peers, the one kept longest first.
	kept []string
	// failed holds the IDs of the peers that failed in the last round.
	failed map[string]bool
}

// NewChooser returns the default Chooser for an instance in domain.
func NewChooser(domain string, seed uint64) Chooser {
	return &stickyChooser{
		domain: domain,
		rng:    rand.New(rand.NewPCG(seed, seed)),
		failed: map[string]bool{},
	}
}

// Failed drops the peer from those kept; the next round avoids it.
func (c *stickyChooser) Failed(id string) {
	c.kept = slices.DeleteFunc(c.kept, func(k string) bool { return k == id })
	c.failed[id] = true
}

// Choose returns fanout peers, or all of them if there are fewer.
func (c *stickyChooser) Choose(others []wire.ListedInstance) []wire.ListedInstance {
	byID := make(map[string]wire.ListedInstance, len(others))
	for _, l := range others {
		byID[l.ID] = l
	}
	c.removeStale(byID)
	order := c.rng.Perm(len(others))
	c.fill(others, order, func(l wire.ListedInstance) bool { return !c.failed[l.ID] })
	// Peers that failed in the last round are chosen only if there are too few
	// others. They are not excluded for longer, since they may have recovered.
	c.fill(others, order, func(wire.ListedInstance) bool { return true })
	c.ensureOtherDomain(others, order, byID)
	clear(c.failed)
	out := make([]wire.ListedInstance, len(c.kept))
	for i, id := range c.kept {
		out[i] = byID[id]
	}
	return out
}

// removeStale drops peers that are no longer listed and, every replaceEvery
// rounds, the one kept longest.
func (c *stickyChooser) removeStale(byID map[string]wire.ListedInstance) {
	c.kept = slices.DeleteFunc(c.kept, func(id string) bool {
		_, listed := byID[id]
		return !listed
	})
	c.round++
	if c.round%replaceEvery == 0 && len(c.kept) == fanout {
		c.kept = c.kept[1:]
	}
}

// fill adds eligible peers, in the given order of indexes, up to fanout.
func (c *stickyChooser) fill(others []wire.ListedInstance, order []int, eligible func(wire.ListedInstance) bool) {
	for _, i := range order {
		if len(c.kept) == fanout {
			return
		}
		if eligible(others[i]) && !slices.Contains(c.kept, others[i].ID) {
			c.kept = append(c.kept, others[i].ID)
		}
	}
}

// ensureOtherDomain replaces the peer added last with one of another failure
// domain if all are in the instance's own.
func (c *stickyChooser) ensureOtherDomain(others []wire.ListedInstance, order []int, byID map[string]wire.ListedInstance) {
	for _, id := range c.kept {
		if byID[id].Domain != c.domain {
			return
		}
	}
	for _, i := range order {
		if others[i].Domain != c.domain && !c.failed[others[i].ID] && len(c.kept) > 0 {
			c.kept[len(c.kept)-1] = others[i].ID
			return
		}
	}
}
