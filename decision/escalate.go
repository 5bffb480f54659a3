package decision

import (
	"slices"
	"time"
)

// escalate handles the ratings of held answers: it delivers the answer or replaces
// it by running the plan's second step.
//
// Load: hard requests among easy ones, and a rating service that is late, slow,
// wrong or down. Harm prevented: an answer below the team's quality target. An
// answer waits for its rating no longer than its rating timeout (plus ratingGrace
// if the router's event is lost), and is held only if a second step that starts at
// the end of the rating timeout is expected to complete in time.
func (w *World) escalate() {
	for _, e := range w.rated {
		w.learnRating(e)
		r := w.requests[e.Request]
		if r != nil && r.state == stateHeld && r.held == e.Attempt {
			w.decideHeld(r, e)
		}
	}
}

// learnRating updates the quality estimates. Ratings of second steps also update an
// estimate of their own, since second steps answer the harder requests.
func (w *World) learnRating(e AnswerRated) {
	taskKey := task{Team: e.Team, Class: e.Class}
	used := w.estimates.ObserveRating(taskKey, e.Version, e.Score, e.Late, w.now)
	key := attemptKey{e.Request, e.Attempt}
	firstVersion, isSecond := w.secondSteps.Peek(key)
	if !isSecond {
		return
	}
	w.secondSteps.Remove(key)
	if used {
		w.estimates.ObserveEscalatedRating(taskKey, firstVersion, e.Version, e.Score)
	}
}

// decideHeld escalates the request or delivers its held answer.
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

// mayEscalate reports whether the second step may run under the current manifest.
// The version may be draining if the session is pinned to it.
func (w *World) mayEscalate(r *request, v *version) bool {
	available := v.serving() || v.open() && slices.Contains(r.Pins, v.ID)
	return available && !r.team.gone && r.team.allowed[v.ID] && v.pool.usableServers > 0 &&
		int(r.attempts) < w.cfg.MaxAttempts && w.fresh
}

// ratingGrace is how long past the rating timeout the router's AnswerRated is
// awaited. The router always sends one; this only bounds the harm of a lost event.
const ratingGrace = 100 * time.Millisecond

// hold holds a complete answer back until its rating arrives or times out.
func (w *World) hold(r *request, a *attempt) {
	r.held = a.key.attempt
	r.state = stateHeld
	w.setDue(r, w.now.Add(min(a.ratingTimeout+ratingGrace, r.deadline.Sub(w.now))))
}
