// Package orders sends engines the orders that state which versions to load.
//
// The desired state comes from the manifest. In each failure domain one instance
// sends orders, under a lease in the log; the log offset of the lease's term is the
// fencing number (see package lease). An order states the whole desired state of
// one engine and is therefore idempotent.
// The holder of the lease reconciles against what the engines report, never against
// what it sent.
package orders

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Engine is the reported state of one engine.
type Engine struct {
	ID string
	// Versions are those loaded now.
	Versions []string
	// Leaving engines get no orders.
	Leaving bool
}

// Placement states on how many engines a version is to be loaded.
type Placement struct {
	Version string
	Servers int
}

// Order is the whole desired state of one engine.
type Order struct {
	Engine   string
	Versions []string
	// LoadCount is the number of versions that the order adds.
	LoadCount int
}

// Plan returns the orders that bring the engines closer to the placements.
//
// Load: a manifest with many new versions. Harm prevented: the store of weights is
// rate-limited, and an engine serves nothing while it loads weights; loading on all
// engines at once would take all of them out of service. Therefore one plan adds at
// most maxLoads versions, and an engine unloads what it should not have only once
// it has everything that it should.
//
// Plan is pure: the same input gives the same orders. For each version the engines
// that have it are preferred, so that planning again moves nothing.
func Plan(engines []Engine, placements []Placement, maxLoads int) []Order {
	p := newPlanner(engines)
	for _, placement := range placements {
		p.assign(placement)
	}
	return p.orders(maxLoads)
}

type planner struct {
	engines []Engine
	// desired holds the versions that each engine should have, by engine ID.
	desired map[string][]string
}

func newPlanner(engines []Engine) *planner {
	p := &planner{desired: map[string][]string{}}
	for _, e := range engines {
		if !e.Leaving {
			p.engines = append(p.engines, e)
		}
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// assign chooses the engines of one version: first those that have it, then those
// with the fewest versions assigned. A rendezvous hash breaks ties.
func (p *planner) assign(placement Placement) {
	ranked := slices.Clone(p.engines)
	slices.SortStableFunc(ranked, func(a, b Engine) int {
		return cmp.Or(
			-compareBool(hasVersion(a, placement.Version), hasVersion(b, placement.Version)),
			cmp.Compare(len(p.desired[a.ID]), len(p.desired[b.ID])),
			cmp.Compare(rendezvousHash(placement.Version, b.ID), rendezvousHash(placement.Version, a.ID)),
		)
	})
	for _, e := range ranked[:min(placement.Servers, len(ranked))] {
		p.desired[e.ID] = append(p.desired[e.ID], placement.Version)
	}
}

// orders returns an order for each engine that needs a change. Together they add
// at most maxLoads versions.
func (p *planner) orders(maxLoads int) []Order {
	var out []Order
	for _, e := range p.engines {
		o, changed := p.order(e, maxLoads)
		if !changed {
			continue
		}
		maxLoads -= o.LoadCount
		out = append(out, o)
	}
	return out
}

// order returns the next state of one engine and whether it differs from the
// current one. The engine keeps its desired versions and loads missing ones up to
// maxLoads. While it still lacks any, or loads any, it also keeps its surplus.
func (p *planner) order(e Engine, maxLoads int) (Order, bool) {
	o := Order{Engine: e.ID}
	desired := p.desired[e.ID]
	incomplete := false
	for _, v := range desired {
		switch {
		case hasVersion(e, v):
			o.Versions = append(o.Versions, v)
		case o.LoadCount < maxLoads:
			o.Versions = append(o.Versions, v)
			o.LoadCount++
		default:
			incomplete = true
		}
	}
	if incomplete || o.LoadCount > 0 {
		o.Versions = append(o.Versions, surplus(e, desired)...)
	}
	slices.Sort(o.Versions)
	loaded := slices.Sorted(slices.Values(e.Versions))
	return o, !slices.Equal(o.Versions, loaded)
}

// surplus returns the loaded versions that the engine should not have.
func surplus(e Engine, desired []string) []string {
	var out []string
	for _, v := range e.Versions {
		if !slices.Contains(desired, v) {
			out = append(out, v)
		}
	}
	return out
}

func hasVersion(e Engine, version string) bool { return slices.Contains(e.Versions, version) }

// rendezvousHash ranks the engines for a version, differently for each version.
func rendezvousHash(version, engine string) uint64 {
	return xxhash.Sum64String(version + "\x00" + engine)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
