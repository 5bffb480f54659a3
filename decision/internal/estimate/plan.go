package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Option is one version that a request may run on now.
type Option[V cmp.Ordered] struct {
	Version V
	// Cost per 1000 tokens generated, in the manifest's unit.
	Cost float64
}

// Query asks for a plan.
type Query[T, C, V cmp.Ordered] struct {
	Task Task[T, C]
	// Target is the mean rating wanted, 0 to 1.
	Target float64
	// Options has at most one entry for a version. It may be in any order.
	Options []Option[V]
	// MayHold allows a cascade: the first answer is held back until it is rated,
	// which costs its caller the first token's time. Without it, single versions
	// only.
	MayHold bool
	// Draw is a random number in [0, 1) for exploring.
	Draw float64
	Now  time.Time
}

// Plan is how to run a request.
type Plan[V comparable] struct {
	// First is the version to run; the zero value when there was no option.
	First V
	// Cascade says that the answer is to be held until it is rated, and that
	// Second replaces it when the rating is under Bar.
	Cascade   bool
	Second    V
	Threshold float64
	// Quality and Cost are what is expected, cost per answer.
	Quality float64
	Cost    float64
	// Explore marks a plan that departs from the best one to learn.
	Explore bool
}

// Escalate says whether a held answer is to be replaced: its rating is under the
// bar, and the time left is enough for the second step. Else the answer that is
// there beats none in time.
func (p Plan[V]) Escalate(score float64, left, need time.Duration) bool {
	return p.Cascade && score < p.Threshold && left >= need
}

// cachedPlan is a plan and what it was made for. The search is done once per
// few ratings and not per request.
type cachedPlan[V cmp.Ordered] struct {
	options   []Option[V]
	target    float64
	mayHold   bool
	plannedAt time.Time
	plan      Plan[V]
	// cheaper are the options that could better the plan, with the chance that
	// a request tries each.
	explorations []exploration[V]
}

// trial is an option to explore.
type exploration[V cmp.Ordered] struct {
	version V
	chance  float64
}

// maxCached bounds the plans kept of one task: roll-outs of two models under way
// give four sets of options, with and without hold.
const maxCachedPlans = 8

// Plan returns how to run a request. Its load is the mix of easy and hard
// requests; the harm that it prevents is paying the dear version for the easy
// ones, or giving the cheap one's answer to the hard ones.
func (t *Table[T, C, V]) Plan(q Query[T, C, V]) Plan[V] {
	if len(q.Options) == 0 {
		return Plan[V]{}
	}
	if t.RaterDown() {
		// Nothing would tell a good first answer from a bad one.
		q.MayHold = false
	}
	c := t.cachedPlanFor(t.task(q.Task), q)
	draw := q.Draw
	for _, o := range c.explorations {
		if draw < o.chance {
			return explorationPlan(c.plan, o.version, q)
		}
		draw -= o.chance
	}
	return c.plan
}

// explore tries a version first. Where answers may be held the best plan's
// version stands behind it, so that learning costs the caller no quality.
func explorationPlan[T, C, V cmp.Ordered](best Plan[V], v V, q Query[T, C, V]) Plan[V] {
	p := Plan[V]{First: v, Explore: true, Quality: best.Quality, Cost: best.Cost}
	if q.MayHold {
		p.Cascade = true
		p.Threshold = q.Target
		p.Second = best.First
		if best.Cascade {
			p.Second = best.Second
		}
	}
	return p
}

func (t *Table[T, C, V]) cachedPlanFor(k *task[V], q Query[T, C, V]) *cachedPlan[V] {
	if k.newRatings >= t.cfg.ReplanRatings {
		k.plans = k.plans[:0]
		k.newRatings = 0
	}
	for i := range k.plans {
		c := &k.plans[i]
		if c.mayHold != q.MayHold || c.target != q.Target || !slices.Equal(c.options, q.Options) {
			continue
		}
		if q.Now.Sub(c.plannedAt) >= t.cfg.ReplanAfter {
			*c = t.search(k, q)
		}
		return c
	}
	if len(k.plans) >= maxCachedPlans {
		k.plans = k.plans[:0]
	}
	k.plans = append(k.plans, t.search(k, q))
	return &k.plans[len(k.plans)-1]
}

// candidate is an option with its estimates.
type candidate[V comparable] struct {
	version V
	stats   versionStats
	cost    float64
	mean    float64
	stderr  float64
}

func (t *Table[T, C, V]) search(k *task[V], q Query[T, C, V]) cachedPlan[V] {
	list := t.candidates(k, q)
	s := searcher[V]{target: q.Target, confidence: t.cfg.Confidence}
	for i := range list {
		s.considerSingle(&list[i])
		if !q.MayHold {
			continue
		}
		for j := i + 1; j < len(list); j++ {
			t.considerCascades(&s, k, &list[i], &list[j])
		}
	}
	c := cachedPlan[V]{
		options:   slices.Clone(q.Options),
		target:    q.Target,
		mayHold:   q.MayHold,
		plannedAt: q.Now,
		plan:      s.result(),
	}
	c.explorations = t.explorations(list, c.plan, q)
	return c
}

// candidates are the options from the cheapest to the dearest.
func (t *Table[T, C, V]) candidates(k *task[V], q Query[T, C, V]) []candidate[V] {
	list := make([]candidate[V], 0, len(q.Options))
	for _, o := range q.Options {
		r := t.estimate(q.Task, k, o.Version)
		list = append(list, candidate[V]{
			version: o.Version,
			stats:   r,
			cost:    o.Cost * r.meanTokens / 1000,
			mean:    r.mean(),
			stderr:  r.stderr(q.Now, t.cfg.StaleHalfLife),
		})
	}
	slices.SortFunc(list, func(a, b candidate[V]) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.version, b.version))
	})
	return list
}

// hardness is how much worse a second step is expected to do on what a first one
// failed than on all requests, before anything was seen, and hardWeight how many
// ratings that counts for.
const (
	escalationPenalty       = 0.05
	escalationPenaltyWeight = 10
)

// pairs considers a cascade from a to b at every bar.
func (t *Table[T, C, V]) considerCascades(s *searcher[V], k *task[V], a, b *candidate[V]) {
	after := max(b.mean-escalationPenalty, 0)
	if f := k.escalations[a.version]; f != nil && f.second == b.version {
		after = (after*escalationPenaltyWeight + f.mean*f.n) / (escalationPenaltyWeight + f.n)
	}
	late := t.rater.lateShare
	below := 0.0
	kept := a.mean
	for i := range bins - 1 {
		below += a.stats.count[i] / a.stats.total
		kept -= a.stats.sum[i] / a.stats.total
		escalated := below * (1 - late)
		// A rating that comes too late leaves the first answer as it is.
		quality := late*a.mean + (1-late)*(kept+below*after)
		stderr := math.Hypot((1-escalated)*a.stderr, escalated*b.stderr)
		s.consider(Plan[V]{
			First:     a.version,
			Cascade:   true,
			Second:    b.version,
			Threshold: float64(i+1) / bins,
			Quality:   quality,
			Cost:      a.cost + escalated*b.cost,
		}, stderr)
	}
}

// boldness is how far under the target a version's estimate may lie for a tenth
// or so of the usual trials without hold, and shyest the part that is left then.
const (
	exploreMargin    = 0.2
	minExploreFactor = 0.1
)

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// trials are the versions cheaper than the plan's dearest step that the plan
// does not start with. Where answers cannot be held, exploring may cost quality,
// and is done the less the farther a version's estimate lies under the target.
func (t *Table[T, C, V]) explorations(list []candidate[V], p Plan[V], q Query[T, C, V]) []exploration[V] {
	dearest := p.First
	if p.Cascade {
		dearest = p.Second
	}
	var out []exploration[V]
	for i := range list {
		c := &list[i]
		if c.version == dearest {
			break
		}
		if c.version == p.First {
			continue
		}
		chance := t.cfg.ExploreShare
		if c.stats.n < t.cfg.MinRatings {
			chance = t.cfg.ExploreNewShare
		}
		if !q.MayHold {
			chance *= clamp(1-(q.Target-c.mean)/exploreMargin, minExploreFactor, 1)
		}
		out = append(out, exploration[V]{version: c.version, chance: chance})
	}
	return out
}
