// Package orders tells engines which versions to load.
//
// The wanted state comes from the manifest. One instance for each failure domain
// sends, by a lease in the log, and the lease's offset is the fencing number. An
// order states the whole wanted state of one engine, so it is idempotent, and a
// holder reconciles against what the engines report, never against what it sent.
package orders

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Engine is one engine as it reports itself.
type Engine struct {
	ID string
	// Versions that are loaded now.
	Versions []string
	// Leaving engines get no orders.
	Leaving bool
}

// Want is how many engines are to have a version.
type Placement struct {
	Version string
	Servers int
}

// Order is the whole wanted state of one engine.
type Order struct {
	Engine   string
	Versions []string
	// Loads is how many versions the order adds.
	LoadCount int
}

// Plan gives the orders that bring the engines closer to what is wanted.
//
// Load: a season's worth of new versions in one manifest. Harm prevented: the
// weight store is rate-limited, and an engine that loads weights serves nothing;
// loading everywhere at once would take all engines away. So at most loads
// versions are added in one plan, and an engine drops what is not wanted on it
// only once it has everything that is.
//
// It is pure: same input, same orders. An engine that has a version keeps it, so
// that a plan made again moves nothing.
func Plan(engines []Engine, placements []Placement, maxLoads int) []Order {
	p := newPlanner(engines)
	for _, w := range placements {
		p.assign(w)
	}
	return p.orders(maxLoads)
}

type planner struct {
	engines []Engine
	// target is the wanted state by engine.
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

// assign picks the engines of one version: those that have it, then those with
// the fewest versions assigned, by rendezvous hash among equals.
func (p *planner) assign(w Placement) {
	ranked := slices.Clone(p.engines)
	slices.SortStableFunc(ranked, func(a, b Engine) int {
		return cmp.Or(
			-compareBool(hasVersion(a, w.Version), hasVersion(b, w.Version)),
			cmp.Compare(len(p.desired[a.ID]), len(p.desired[b.ID])),
			cmp.Compare(rendezvousHash(w.Version, b.ID), rendezvousHash(w.Version, a.ID)),
		)
	})
	for _, e := range ranked[:min(w.Servers, len(ranked))] {
		p.desired[e.ID] = append(p.desired[e.ID], w.Version)
	}
}

// orders turns the targets into orders, at most loads added versions in all.
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

// order is the next state of one engine: what it has and is wanted, and of what
// it lacks as much as may be loaded. While something still waits to be loaded
// there, it keeps the versions that are to go.
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

// surplus lists what an engine has and is not wanted there.
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
