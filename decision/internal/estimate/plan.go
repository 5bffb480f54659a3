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
	// Cost per 1000 generated tokens, in the unit of the manifest.
	Cost float64
}

// Query holds the inputs of Table.Plan.
type Query[T, C, V cmp.Ordered] struct {
	Task Task[T, C]
	// Target is the required mean rating, 0 to 1.
	Target float64
	// Options has at most one entry per version, in any order.
	Options []Option[V]
	// MayHold allows cascades. The first answer of a cascade is held back until
	// it is rated, so its caller waits longer for the first token. Without
	// MayHold only single versions are planned.
	MayHold bool
	// Draw is a uniform random number in [0, 1) that decides on exploration.
	Draw float64
	Now  time.Time
}

// Plan is how to run a request.
type Plan[V comparable] struct {
	// First is the version to run; the zero value if there was no option.
	First V
	// Cascade is true if the answer is to be held until it is rated, and replaced
	// by an answer of Second if the rating is below Threshold.
	Cascade   bool
	Second    V
	Threshold float64
	// Quality is the expected rating and Cost the expected cost of an answer, in
	// the unit of Option.Cost.
	Quality float64
	Cost    float64
	// Explore is true if the plan departs from the best one to gain observations.
	// Quality and Cost are those of the best plan then.
	Explore bool
}

// Escalate reports whether a held answer is to be replaced: its rating is below
// the threshold, and the time left is enough for the second step. Without that
// time the first answer is delivered: it is better than none before the deadline.
func (p Plan[V]) Escalate(score float64, left, need time.Duration) bool {
	return p.Cascade && score < p.Threshold && left >= need
}

// cachedPlan is a plan and the inputs it was computed from. Plans are computed
// once per few ratings or seconds and not for each request.
type cachedPlan[V cmp.Ordered] struct {
	options   []Option[V]
	target    float64
	mayHold   bool
	plannedAt time.Time
	plan      Plan[V]
	// explorations are the options that more observations could show to be
	// better than the plan.
	explorations []exploration[V]
}

// exploration is an option to explore, and the probability that a request does.
type exploration[V cmp.Ordered] struct {
	version V
	chance  float64
}

// maxCachedPlans bounds the cached plans of one task: two models in a roll-out
// give four sets of options, each with and without hold.
const maxCachedPlans = 8

// Plan returns how to run a request. In a mix of easy and hard requests it avoids
// paying for the expensive version on easy ones and delivering the cheap
// version's answer on hard ones.
func (t *Table[T, C, V]) Plan(q Query[T, C, V]) Plan[V] {
	if len(q.Options) == 0 {
		return Plan[V]{}
	}
	if t.RaterDown() {
		// Without ratings a bad first answer cannot be detected.
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

// explorationPlan returns a plan that runs v first. If answers may be held, the
// best plan's last step is the second step, so that exploring costs the caller no
// quality.
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

// cachedPlanFor returns the cached plan for the query, or computes it if it is
// missing, too old or outdated by new ratings.
func (t *Table[T, C, V]) cachedPlanFor(task *task[V], q Query[T, C, V]) *cachedPlan[V] {
	if task.newRatings >= t.cfg.ReplanRatings {
		task.plans = task.plans[:0]
		task.newRatings = 0
	}
	for i := range task.plans {
		c := &task.plans[i]
		if c.mayHold != q.MayHold || c.target != q.Target || !slices.Equal(c.options, q.Options) {
			continue
		}
		if q.Now.Sub(c.plannedAt) >= t.cfg.ReplanAfter {
			*c = t.search(task, q)
		}
		return c
	}
	if len(task.plans) >= maxCachedPlans {
		task.plans = task.plans[:0]
	}
	task.plans = append(task.plans, t.search(task, q))
	return &task.plans[len(task.plans)-1]
}

// candidate is an option with its estimates.
type candidate[V comparable] struct {
	version V
	stats   versionStats
	cost    float64
	mean    float64
	stderr  float64
}

// search computes the plan for the query from the current estimates.
func (t *Table[T, C, V]) search(task *task[V], q Query[T, C, V]) cachedPlan[V] {
	list := t.candidates(task, q)
	s := searcher[V]{target: q.Target, confidence: t.cfg.Confidence}
	for i := range list {
		s.considerSingle(&list[i])
		if !q.MayHold {
			continue
		}
		for j := i + 1; j < len(list); j++ {
			t.considerCascades(&s, task, &list[i], &list[j])
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

// candidates returns the options by ascending expected cost of an answer.
func (t *Table[T, C, V]) candidates(task *task[V], q Query[T, C, V]) []candidate[V] {
	list := make([]candidate[V], 0, len(q.Options))
	for _, o := range q.Options {
		stats := t.estimate(q.Task, task, o.Version)
		list = append(list, candidate[V]{
			version: o.Version,
			stats:   stats,
			cost:    o.Cost * stats.meanTokens / 1000,
			mean:    stats.mean(),
			stderr:  stats.stderr(q.Now, t.cfg.StaleHalfLife),
		})
	}
	slices.SortFunc(list, func(a, b candidate[V]) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.version, b.version))
	})
	return list
}

// escalationPenalty is how much lower the quality of a second step is assumed to
// be on escalated requests, which are harder, than on all requests, and
// escalationPenaltyWeight the weight of that assumption, in ratings of escalated
// answers.
const (
	escalationPenalty       = 0.05
	escalationPenaltyWeight = 10
)

// considerCascades considers a cascade from a to b at every rating threshold. In
// the loop, shareBelow is the share of a's answers that are rated below the
// threshold, and keptQuality the part of a's mean rating that the others make up.
func (t *Table[T, C, V]) considerCascades(s *searcher[V], task *task[V], a, b *candidate[V]) {
	escalatedQuality := max(b.mean-escalationPenalty, 0)
	if esc := task.escalations[a.version]; esc != nil && esc.second == b.version {
		escalatedQuality = (escalatedQuality*escalationPenaltyWeight + esc.mean*esc.n) / (escalationPenaltyWeight + esc.n)
	}
	lateShare := t.rater.lateShare
	shareBelow := 0.0
	keptQuality := a.mean
	for i := range numBins - 1 {
		shareBelow += a.stats.count[i] / a.stats.total
		keptQuality -= a.stats.sum[i] / a.stats.total
		escalated := shareBelow * (1 - lateShare)
		// When the rating is late, the first answer is delivered.
		quality := lateShare*a.mean + (1-lateShare)*(keptQuality+shareBelow*escalatedQuality)
		stderr := math.Hypot((1-escalated)*a.stderr, escalated*b.stderr)
		s.consider(Plan[V]{
			First:     a.version,
			Cascade:   true,
			Second:    b.version,
			Threshold: float64(i+1) / numBins,
			Quality:   quality,
			Cost:      a.cost + escalated*b.cost,
		}, stderr)
	}
}

// If answers may not be held, the exploration share falls linearly with the
// distance of a version's estimate below the target: to minExploreFactor of the
// usual share at a distance of about exploreMargin and beyond.
const (
	exploreMargin    = 0.2
	minExploreFactor = 0.1
)

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// explorations returns the versions that are cheaper than the most expensive
// step of the plan and that the plan does not start with. If answers may not be
// held, exploring may cost quality, so it is done less the further a version's
// estimate lies below the target. list is in order of ascending cost.
func (t *Table[T, C, V]) explorations(list []candidate[V], p Plan[V], q Query[T, C, V]) []exploration[V] {
	mostExpensive := p.First
	if p.Cascade {
		mostExpensive = p.Second
	}
	var out []exploration[V]
	for i := range list {
		c := &list[i]
		if c.version == mostExpensive {
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
