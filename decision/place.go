package decision

import (
	"slices"
	"time"

	"masticplank.example/decision/internal/verdict"
)

// place fills free slots from the queues, one request per pool in turn, so that
// pools with common servers share their slots. It visits only pools with queued
// requests and ends when none of them has a free server: the cost depends on the
// number of requests placed, not on the size of the fleet or of the queues.
func (w *World) place() {
	if !w.fresh || w.now.Before(w.dispatchFrom) {
		// After a pause of the process the manifest may be outdated: queued
		// requests wait until the freshness is reported again, at most for
		// Config.ResumeDelay.
		return
	}
	w.unpark()
	for placed := true; placed; {
		placed = false
		for i := 0; i < len(w.queuedPools); {
			p := w.queuedPools[i]
			if len(p.free) > 0 && w.placeNext(p) {
				placed = true
			}
			// If p's queue became empty, removeQueuedPool has moved another pool to i.
			if i < len(w.queuedPools) && w.queuedPools[i] == p {
				i++
			}
		}
	}
}

// placeNext handles the pool's next request and reports whether it left the queue.
func (w *World) placeNext(p *pool) bool {
	it := p.queue.Peek()
	if it == nil {
		return false
	}
	r := it.Value
	if reason := w.forbiddenReason(r); reason != "" {
		w.conclude(r, reason)
		return true
	}
	if w.cannotFinish(r) {
		w.recordWait(r)
		w.conclude(r, ReasonWaitTooLong)
		return true
	}
	switch w.crashAdmission(r.Fingerprint) {
	case verdict.CrashQuarantined:
		w.conclude(r, ReasonQuarantined)
		return true
	case verdict.CrashWait:
		w.park(r)
		return true
	}
	s := w.pick(p, r)
	if s == nil {
		w.parkOrConclude(p, r)
		return true
	}
	w.recordDeparture(p, r)
	w.recordWait(r)
	p.queue.Pop()
	w.leftQueue(r)
	w.dispatch(r, s)
	return true
}

// parkOrConclude handles a request that none of the free servers may take. It is
// parked, so that it blocks nobody, if the pool has busy servers that may take it,
// and else concluded.
func (w *World) parkOrConclude(p *pool, r *request) {
	if r.triedIn(p) >= p.usableServers {
		w.conclude(r, ReasonNoServer)
		return
	}
	w.park(r)
}

// triedIn counts the pool's usable servers that the request has tried.
func (r *request) triedIn(p *pool) int {
	n := 0
	for i, s := range r.tried {
		if s.inPool(p) && !s.leaving && !slices.Contains(r.tried[:i], s) {
			n++
		}
	}
	return n
}

// forbiddenReason returns why the manifest does not permit the dispatch that is
// about to be made, or "". The system recheckQueued has already ensured that it
// does; the harm of a mistake there justifies a second check.
func (w *World) forbiddenReason(r *request) RefusalReason {
	v := r.version
	switch {
	case r.team.gone:
		return ReasonNotAllowed
	case v == nil && !r.team.services[r.Service]:
		return ReasonNotAllowed
	case v == nil:
		return ""
	case !r.team.allowed[v.ID]:
		return ReasonNotAllowed
	case !v.open():
		return ReasonVersionWithdrawn
	}
	return ""
}

// cannotFinish reports whether the remaining time is less than the answer usually
// takes.
//
// Load: saturation, where requests leave the queue close to their deadlines. Harm
// prevented: a slot is used by a request that ends too late instead of one that
// would be in time. If a request were dispatched with half the usual time left, up
// to a third of the answers would be too late.
func (w *World) cannotFinish(r *request) bool {
	need := r.pool.serviceTime.upperBound(r.item.Cost)
	return w.now.Add(need).After(r.deadline)
}

// dispatch starts an attempt.
func (w *World) dispatch(r *request, s *server) {
	r.attempts++
	a := r.newAttempt()
	*a = attempt{
		key:        attemptKey{r.ID, r.attempts},
		request:    r,
		server:     s,
		pool:       r.pool,
		team:       r.team,
		started:    w.now,
		cost:       r.item.Cost,
		promptCost: w.promptCost(r),
	}
	cmd := Dispatch{Request: r.ID, Attempt: r.attempts, Server: s.ID}
	if r.version != nil {
		a.version = r.version.ID
		cmd.Version = a.version
	}
	w.planRating(r, a, &cmd)
	r.current = a
	r.state = stateRunning
	s.running++
	w.recordAttemptStart(a)
	if s.ejected {
		w.outliers.RecordDispatch(s.ID, w.now)
	}
	w.refreshFree(s)
	w.recordPrefix(r, s)
	w.setDue(r, r.deadline)
	w.emit(cmd)
}

// newAttempt returns the row for the next attempt: the embedded one for the first
// attempt, which for nearly all requests is the only one.
func (r *request) newAttempt() *attempt {
	if r.attempts == 1 {
		return &r.firstAttempt
	}
	return &attempt{}
}

// planRating sets whether the answer is rated, and whether it is held for its
// rating. All answers of models are rated: those not held contribute to the
// estimates too, and show when the rating service is available again.
func (w *World) planRating(r *request, a *attempt, cmd *Dispatch) {
	if r.version == nil {
		return
	}
	cmd.NeedsRating = true
	cmd.RatingTimeout = w.ratingTimeout(r)
	if r.held != 0 {
		w.secondSteps.Add(a.key, r.plan.First)
		return
	}
	a.hold = r.plan.Cascade && w.secondStepFits(r)
	a.ratingTimeout = cmd.RatingTimeout
	cmd.Hold = a.hold
}

// ratingTimeout is how long the answer may wait for its rating, at least 1 ms.
func (w *World) ratingTimeout(r *request) time.Duration {
	return min(w.cfg.RatingTimeout, max(r.deadline.Sub(w.now), time.Millisecond))
}

// secondStepFits reports whether a second step could still complete in time after
// this attempt. If not, holding the answer would only delay it.
func (w *World) secondStepFits(r *request) bool {
	second := w.versions[r.plan.Second]
	if second == nil {
		return false
	}
	need := r.pool.serviceTime.estimate(r.item.Cost) + second.pool.serviceTime.estimate(r.item.Cost) + w.cfg.RatingTimeout
	return !w.now.Add(need).After(r.deadline)
}
