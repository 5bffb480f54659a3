package decision

import (
	"slices"
	"time"
)

// escalate judges the ratings of held answers: deliver, or replace by the plan's
// second step.
//
// Load: hard requests among easy ones, and a rating service that is late, slow,
// wrong or down. Harm prevented: an answer below the team's quality; but an
// answer never waits longer for its rating than its budget, and never past the
// point where the second step could still be in time.
func (w *World) escalate() {
	for _, e := range w.rated {
		w.learnRating(e)
		r := w.requests[e.Request]
		if r != nil && r.state == stateHeld && r.held == e.Attempt {
			w.decideHeld(r, e)
		}
	}
}

// learnRating teaches the estimates. The second step's rating is learnt apart,
// since it answers the harder requests.
func (w *World) learnRating(e AnswerRated) {
	key := task{Team: e.Team, Class: e.Class}
	used := w.estimates.ObserveRating(key, e.Version, e.Score, e.Late, w.now)
	at := attemptKey{e.Request, e.Attempt}
	first, second := w.secondSteps.Peek(at)
	if !second {
		return
	}
	w.secondSteps.Remove(at)
	if used {
		w.estimates.ObserveEscalatedRating(key, first, e.Version, e.Score)
	}
}

func (w *World) decideHeld(r *request, e AnswerRated) {
	v := w.versions[r.plan.Second]
	if e.Late || v == nil || !w.mayEscalate(r, v) {
		w.deliver(r, r.held)
		return
	}
	w.assign(r, choice{version: v, pool: v.pool})
	need := w.waitFor(r) + v.pool.serviceTime.estimate(r.item.Cost)
	if !r.plan.Escalate(e.Score, r.deadline.Sub(w.now), need) {
		w.deliver(r, r.held)
		return
	}
	w.enqueue(r)
}

// mayStep says whether the second step may run by the manifest as it is now. A
// version that the session keeps may be draining.
func (w *World) mayEscalate(r *request, v *version) bool {
	takes := v.serving() || v.open() && slices.Contains(r.Pins, v.ID)
	return takes && !r.team.gone && r.team.allowed[v.ID] && v.pool.usable > 0 &&
		int(r.attempts) < w.cfg.MaxAttempts && w.fresh
}

// rateGrace is how long past the budget the router's word is waited for. It
// sends one in any case; this only bounds the harm of a lost one.
const ratingGrace = 100 * time.Millisecond

// hold keeps a whole answer back until its rating is in.
func (w *World) hold(r *request, a *attempt) {
	r.held = a.key.attempt
	r.state = stateHeld
	w.setDue(r, w.now.Add(min(a.ratingTimeout+ratingGrace, r.deadline.Sub(w.now))))
}
