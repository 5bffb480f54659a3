package decision

// endedAttempt is an attempt's end that the retry system must judge.
type endedAttempt struct {
	attempt *attempt
	event   AttemptEnded
}

// ingestEnded frees the slot at once, so that the same tick can fill it. What
// becomes of the request is the retry system's decision.
func (w *World) ingestEnded(e AttemptEnded) {
	a := w.attemptOf(attemptKey{e.Request, e.Attempt})
	if a == nil {
		return // ended before, or never dispatched: nothing to free
	}
	w.release(a.server)
	if e.Leaving {
		w.ingestLeaving(a.server.ID)
	}
	w.learnDuration(a, e)
	w.recordServerResult(a, e)
	w.recordVersionResult(a, e)
	w.crashEnded(a, e.Result)
	if e.Result == AttemptCrashed {
		w.prefixes.Forget(a.server.ID) // its cache died with it
	}
	if a.request.current != a {
		delete(w.orphans, a.key)
		return
	}
	a.request.current = nil
	w.ended = append(w.ended, endedAttempt{attempt: a, event: e})
}

// attemptOf finds an attempt that has not ended, or nil.
func (w *World) attemptOf(key attemptKey) *attempt {
	r := w.requests[key.request]
	if r != nil && r.current != nil && r.current.key == key {
		return r.current
	}
	return w.orphans[key]
}

// release frees a slot.
func (w *World) release(s *server) {
	s.running--
	if s.gone && s.running == 0 {
		delete(w.departed, s.ID)
	}
	w.refresh(s)
}

// learnDuration keeps the pool's time per unit of cost, and corrects the team's
// share by what the attempt truly cost.
func (w *World) learnDuration(a *attempt, e AttemptEnded) {
	if e.Result == AttemptNotRun {
		a.team.account.CorrectCharge(-a.cost) // nothing was given
	}
	if e.Result != AttemptCompleted {
		return
	}
	a.pool.serviceTime.learn(w.now.Sub(a.started), a.cost)
	if a.version != "" {
		w.estimates.ObserveLength(task{Team: a.team.ID, Class: a.request.Class}, a.version, e.Tokens)
	}
	if e.Tokens <= 0 || a.pool.service != "" {
		return
	}
	a.pool.serviceTime.learnTokens(float64(e.Tokens), a.cost-a.prompt)
	actual := a.prompt + float64(e.Tokens)
	a.team.account.CorrectCharge(min(actual-a.cost, a.cost))
}

// ingestRated learns from a rating and keeps it for the escalate system.
func (w *World) ingestRated(e AnswerRated) {
	if !e.Late {
		w.recordVersionRating(e)
	}
	w.rated = append(w.rated, e)
}
