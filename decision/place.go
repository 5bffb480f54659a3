package decision

import (
	"slices"

	"masticplank.example/decision/internal/verdict"
)

// place fills free slots from the queues, one request a pool in turn, so that
// pools that share servers share their slots. It looks only at pools with
// queued work and ends when none of them has a free server: its cost is by what
// it places, not by the size of the fleet or of the queues.
func (w *World) place() {
	if !w.fresh || w.now.Before(w.holdUntil) {
		// Resumed from a pause, the manifest may be an old one: what is queued
		// waits until the freshness is told anew.
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
			if i < len(w.queuedPools) && w.queuedPools[i] == p {
				i++
			}
		}
	}
}

// placeNext places the pool's next request. It says whether the queue moved.
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
	w.dequeued(r)
	w.dispatch(r, s)
	return true
}

// waitAside sets a request aside that none of the free servers may take, where the
// pool has others that may: they are busy now. It holds up nobody meanwhile.
func (w *World) parkOrConclude(p *pool, r *request) {
	if r.triedIn(p) >= p.usable {
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

// forbids checks once more, right before a dispatch, that the request may run
// where it is about to. The withdraw system has seen to it; the harm of a mistake
// there is worth a look-up.
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

// hopeless says that the time left is less than the answer usually takes.
//
// Load: saturation, where the queue stands at the edge of its deadlines. A slot
// given to work that ends too late is lost for work that would not: with half
// the usual time allowed here, a third of the answers came too late.
func (w *World) cannotFinish(r *request) bool {
	need := r.pool.serviceTime.upperBound(r.item.Cost)
	return w.now.Add(need).After(r.deadline)
}

// dispatch starts an attempt.
func (w *World) dispatch(r *request, s *server) {
	r.attempts++
	a := r.newAttempt()
	*a = attempt{
		key:     attemptKey{r.ID, r.attempts},
		request: r,
		server:  s,
		pool:    r.pool,
		team:    r.team,
		started: w.now,
		cost:    r.item.Cost,
		prompt:  w.promptCost(r),
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
	w.crashStarted(a)
	if s.ejected {
		w.outliers.RecordDispatch(s.ID, w.now)
	}
	w.refresh(s)
	w.recordPrefix(r, s)
	w.setDue(r, r.deadline)
	w.emit(cmd)
}

// newAttempt returns the row for an attempt: the request's own for the first one,
// which is the only one for nearly all.
func (r *request) newAttempt() *attempt {
	if r.attempts == 1 {
		return &r.firstAttempt
	}
	return &attempt{}
}

// planRating says whether the answer is to be rated, and held for it. All model
// answers are rated, since also those not held teach, and show that the rating
// service is back.
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

// roomForSecond says whether a second step would still be in time after this one.
// If not, to hold the answer would only delay it.
func (w *World) secondStepFits(r *request) bool {
	second := w.versions[r.plan.Second]
	if second == nil {
		return false
	}
	need := r.pool.serviceTime.estimate(r.item.Cost) + second.pool.serviceTime.estimate(r.item.Cost) + w.cfg.RatingTimeout
	return !w.now.Add(need).After(r.deadline)
}
