package decision

import (
	"time"

	"masticplank.example/decision/internal/estimate"
)

// task is the key by which quality and answer length are learned.
type task = estimate.Task[TeamID, TaskClass]

// plan is the sequence of versions that a request may run on.
type plan = estimate.Plan[VersionID]

func newEstimates() *estimate.Table[TeamID, TaskClass, VersionID] {
	return estimate.New[TeamID, TaskClass, VersionID](estimate.DefaultConfig())
}

// applyQuality passes the manifest's quality of each version to the estimates.
func (w *World) applyQuality() {
	quality := make(map[VersionID]float64, len(w.versions))
	for _, v := range w.versions {
		if !v.gone {
			quality[v.ID] = v.Quality
		}
	}
	w.estimates.Apply(quality)
}

// resolveAny plans a request that names no model.
//
// Load: many easy requests and a few hard ones. Harm prevented: the price of an
// expensive model for easy requests, or an insufficient answer of a cheap one for
// hard requests. The plan is the cheapest one expected to meet the team's quality
// target.
func (w *World) resolveAny(t *team, r *request) choice {
	if len(t.models) == 0 {
		return refused(ReasonNotAllowed)
	}
	w.listOptions(t, r)
	switch {
	case len(w.options) > 0:
	case w.pinsWithdrawn(r):
		return refused(ReasonVersionWithdrawn)
	default:
		return refused(ReasonNoServer)
	}
	r.plan = w.planFor(t, r)
	v := w.versions[r.plan.First]
	return choice{version: v, pool: v.pool}
}

// listOptions lists, for each allowed model, the version that the request may run
// on now. A model without a server is left out, since another one can answer.
func (w *World) listOptions(t *team, r *request) {
	w.options = w.options[:0]
	for _, tm := range t.models {
		v := w.versionFor(tm, r)
		if v != nil && v.pool.usableServers > 0 {
			w.options = append(w.options, estimate.Option[VersionID]{Version: v.ID, Cost: v.Cost})
		}
	}
}

func (w *World) planFor(t *team, r *request) plan {
	switch w.cfg.Policy.Cascade {
	case CascadeBest:
		return plan{First: w.bestOption()}
	case CascadeFixed:
		return w.fixedPlan(t, r)
	}
	return w.estimates.Plan(estimate.Query[TeamID, TaskClass, VersionID]{
		Task:    task{Team: t.ID, Class: r.Class},
		Target:  t.QualityTarget,
		Options: w.options,
		MayHold: w.mayHold(r),
		Draw:    w.rng.Float64(),
		Now:     w.now,
	})
}

// mayHold reports whether a first answer may be held back and replaced.
//
// A streamed answer may not: its caller waits for the first token, so a version
// that meets the target on its own is used instead. Nor may the answer of a request
// that is not idempotent, since a second step would run it again. Two answers and a
// rating must fit within the deadline.
func (w *World) mayHold(r *request) bool {
	if r.Streamed || !r.Idempotent {
		return false
	}
	longest := time.Duration(0)
	for _, o := range w.options {
		p := w.versions[o.Version].pool
		longest = max(longest, p.serviceTime.estimate(w.costOf(r)))
	}
	return !w.now.Add(2*longest + w.cfg.RatingTimeout).After(r.deadline)
}

// bestOption returns the version with the highest quality by the manifest.
func (w *World) bestOption() VersionID {
	best := w.options[0].Version
	for _, o := range w.options[1:] {
		if w.versions[o.Version].Quality > w.versions[best].Quality {
			best = o.Version
		}
	}
	return best
}

// fixedPlan is the plan of CascadeFixed: the cheapest version first, then the best;
// the best alone if it is also the cheapest or the first answer may not be held.
func (w *World) fixedPlan(t *team, r *request) plan {
	first := w.options[0]
	for _, o := range w.options[1:] {
		if o.Cost < first.Cost {
			first = o
		}
	}
	best := w.bestOption()
	if best == first.Version {
		return plan{First: best}
	}
	if !w.mayHold(r) {
		return plan{First: best}
	}
	return plan{First: first.Version, Cascade: true, Second: best, Threshold: t.QualityTarget}
}

// spillover assigns the request to another model when the queue of the planned one
// is too long, and reports whether it found one.
//
// Load: a surge that fills the cheap pool. Harm prevented: a refusal while a model
// that the team may use, and that meets its target, is idle. Requests that name a
// model, a pinned version or a service have no other one. The other model may cost
// more. A team that has used up its share of the other model is refused all the
// same, since its wait there is too long as well.
func (w *World) spillover(r *request) bool {
	if r.Model != "" || r.Pinned != "" || r.Service != "" {
		return false
	}
	key := task{Team: r.Team, Class: r.Class}
	planned, before := r.plan, choice{version: r.version, pool: r.pool}
	for _, o := range w.options {
		v := w.versions[o.Version]
		quality, _ := w.estimates.Quality(key, o.Version, w.now)
		if v == r.version || quality < r.team.QualityTarget {
			continue
		}
		r.plan = plan{First: o.Version}
		w.assign(r, choice{version: v, pool: v.pool})
		if w.capacityReason(r) == "" {
			return true
		}
	}
	r.plan = planned
	w.assign(r, before)
	return false
}
