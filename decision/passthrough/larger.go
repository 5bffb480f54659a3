package passthrough

import (
	"cmp"
	"slices"

	"masticplank.example/decision/cascade"
)

// planLimit is why a weak response is kept.
type planLimit = cascade.Limit

// MinConfidence is the confidence below which a response of a smaller model counts as weak.
const MinConfidence = minConfidence

// plansLarger reports whether the instances decide together who gets the larger models of the service.
func (w *World) plansLarger(s *service) bool {
	return s.engine && (w.cfg.SharedAdmission || s.statesSpeeds)
}

// pool sums up the views of a service's engines: by the load reports of the other instances if they are fresh, else by
// this instance's own knowledge. An engine that takes twice as long counts half.
//
// Load: callers that share few prefixes beside engines that have just started. Harm prevented: a backlog that is judged by the
// engines that get few requests, so that the others are filled with the largest model's prefill and reject requests. All
// engines' waits count, also the longest.
func (w *World) pool(s *service, views []serverView) cascade.Pool {
	p := cascade.Pool{Instances: max(w.fleetSize, 1), Shared: w.peerLoadsFresh() || w.fleetSize == 1}
	load, backlog := 0.0, 0.0
	for _, v := range views {
		speed := 1 / max(w.speeds.Usual(w.now, v.server.speedKey()), 1.0/maxSlowdown)
		load += min(v.load, float64(s.slots))
		backlog += v.wait * speed
		p.Capacity += speed
	}
	if p.Capacity > 0 {
		p.Backlog = backlog / p.Capacity
	}
	if slots := len(views) * s.slots; slots > 0 {
		p.Utilization = load / float64(slots)
	}
	return p
}

// recordLargerWork counts a request among those that may need a larger model.
func (w *World) recordLargerWork(r *request) {
	if r.ChooseModel && len(r.Route.Models) > 1 && w.plansLarger(r.service) {
		r.service.planner.Record(w.now, r.class(), cascade.Work{
			Prefill: r.largestPrefill(), Gain: float64(r.generatedTokens()), Target: r.Route.TargetLatency.Seconds(),
		})
	}
}

func (r *request) class() cascade.Class {
	return cascade.Class{Priority: r.Priority, Route: r.Route.Name}
}

// largestPrefill is the time of the request's prompt at the largest model in seconds.
func (r *request) largestPrefill() float64 {
	return r.service.prefill.perToken(len(r.Route.Models)-1) * float64(r.PromptTokens)
}

// plan returns the request as it is planned for the given larger model.
func (r *request) plan(model int, confidence float64) cascade.Request {
	return cascade.Request{
		ID: uint64(r.ID), Class: r.class(), Prefill: r.service.prefill.perToken(model) * float64(r.PromptTokens),
		Doubt: confidence / minConfidence, Target: r.TargetTime, Deadline: r.Deadline,
	}
}

// plannedThreshold is the ConfidenceThreshold of a service whose larger models are planned for all instances, and why it
// is not higher.
func (w *World) plannedThreshold(r *request) (float64, planLimit) {
	if r.model >= len(r.Route.Models)-1 {
		return 0, ""
	}
	if r.gaveUpLarger {
		return 0, cascade.NoRoom
	}
	if r.lastAttempt() || !r.service.budget.AllowsOptional(w.now) {
		return 0, cascade.NoBudget
	}
	pool := w.pool(r.service, w.viewServers(r.service))
	share, limit := r.service.planner.Share(w.now, pool, r.plan(len(r.Route.Models)-1, 0))
	return minConfidence * share, limit
}

// KeptBecause returns why a response of the confidence is kept although it is weak: "no_room", "no_time" or "no_budget"; ""
// if it is not weak, or the larger models of its service are not planned.
func (w *World) KeptBecause(id RequestID, confidence float64) string {
	r := w.requests[id]
	if r == nil || r.model == noModel || confidence >= minConfidence || !w.plansLarger(r.service) {
		return ""
	}
	_, limit := w.plannedThreshold(r)
	return string(limit)
}

// chooseFirst returns the model for an attempt that follows no dropped response.
func (w *World) chooseFirst(r *request, pool cascade.Pool) int {
	last := len(r.Route.Models) - 1
	p, plan := &r.service.planner, r.plan(last, 0)
	share := 0.0
	switch {
	case r.lastAttempt():
		share = p.ShareNow(w.now, pool, plan)
	case !r.service.budget.AllowsOptional(w.now):
		share = p.ShareAtOnce(w.now, pool, plan)
	}
	if share > 0 && w.rng.Float64() < share {
		return last
	}
	return 0
}

// choosePlanned returns the model for an attempt, of a service whose larger models are planned. A larger model is not asked
// if the server is so far behind that its response would begin too close to the deadline.
func (w *World) choosePlanned(r *request, pool cascade.Pool, v serverView) int {
	if r.gaveUpLarger {
		return 0
	}
	model := r.nextModel
	if model == 0 {
		model = w.chooseFirst(r, pool)
	} else if r.lastAttempt() {
		model = len(r.Route.Models) - 1
	}
	if model > 0 && v.wait+r.service.prefill.perToken(model)*float64(r.PromptTokens) >= escalationFraction*r.Deadline.Sub(w.now).Seconds() {
		return 0
	}
	return model
}

// waitForLarger lets a request wait whose response was just dropped, if there is no room for the larger model now. It returns
// false if there is. It waits outside the queue, so that it blocks no other.
func (w *World) waitForLarger(r *request) bool {
	if !r.dropped || !w.plansLarger(r.service) {
		return false
	}
	pool, plan := w.pool(r.service, w.viewServers(r.service)), r.plan(r.nextModel, r.weakConfidence)
	if r.service.planner.HasRoom(w.now, pool, plan) {
		return false
	}
	r.waitsForLarger, r.waitBegan = true, w.now
	r.service.planner.Wait(w.now, pool, plan)
	return true
}

// stopWaitingForLarger takes the request out of those that wait for a larger model.
func (w *World) stopWaitingForLarger(r *request) {
	if r.waitsForLarger {
		r.waitsForLarger = false
		r.service.planner.Remove(uint64(r.ID))
	}
}

// releaseForLarger sends on the requests that have waited for a larger model and find room, and those that cannot wait any
// longer: these get the smallest model's response after all, rather than none.
func (w *World) releaseForLarger() {
	var due []*service
	for _, s := range w.services {
		if s.planner.DueForRelease(w.now) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *service) int { return cmp.Compare(a.name, b.name) }) // equal seeds give equal choices
	for _, s := range due {
		pool := w.pool(s, w.viewServers(s))
		for _, release := range s.planner.Release(w.now, pool, w.rng.Float64) {
			r := w.requests[RequestID(release.ID)]
			r.waitsForLarger = false
			r.waitedForLarger += w.now.Sub(r.waitBegan)
			r.gaveUpLarger = !release.Larger
			if !w.tryDispatch(r) {
				w.enqueue(r)
			}
		}
	}
}

// holdsDropped reports whether the request's response was dropped, so that it keeps its place in the queue until its
// deadline: it cannot be refused as not run, and its caller would get nothing for its wait.
func (w *World) holdsDropped(r *request) bool { return r.nextModel > 0 && w.plansLarger(r.service) }
