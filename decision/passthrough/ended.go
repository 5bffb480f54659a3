package passthrough

// end takes in an attempt's end, and decides what follows.
func (w *World) end(e Ended) {
	r := w.requests[e.Request]
	if r == nil {
		return
	}
	s := r.server
	if e.Limit != nil {
		w.noteLimit(s, r.sent, *e.Limit)
	}
	w.release(r)
	w.judge(r, s, e)
	r.ran = r.ran || e.Result.Ran() || e.Begun
	switch e.Result {
	case Completed:
		w.noteNext(r, e.Confidence)
		w.crashes.forget(r.Fingerprint)
		w.stats(r.Route.Name).took.add(w.now.Sub(r.arrived).Seconds())
		w.drop(r)
	case Dropped:
		w.noteNext(r, e.Confidence)
		w.doubted(r, e.Confidence)
		w.again(r, nil)
	case Abandoned:
		w.drop(r)
	default:
		if e.Result != NotSent && r.ran && !r.Route.Repeatable() {
			w.giveUp(r, ReasonAttempts)
			return
		}
		w.again(r, s)
	}
}

// judge takes the end as evidence on the server, and tells others of it.
func (w *World) judge(r *request, s *server, e Ended) {
	if s == nil || e.Result == Abandoned {
		return
	}
	if e.Result == Dropped {
		w.tell(r, s, e)
		return
	}
	if e.Result == NotSent {
		r.attempts--
		s.shutUntil = w.now.Add(absentFor)
		w.lostServer(s)
		w.emit(Suspect{Server: s.ID})
		return
	}
	if e.Leaving || e.Misdirected {
		s.Draining = true
		w.emit(Suspect{Server: s.ID})
	}
	if !r.service.engine {
		r.service.throttle.observeEnd(e, w.now)
	}
	if e.Result == Rejected {
		s.shutUntil = w.now.Add(refusedFor)
		return
	}
	bad := e.Result != Completed
	s.health.note(!bad, w.now)
	if !bad {
		w.notePace(r, s, e.Pace)
	}
	if e.Cut {
		w.lostServer(s)
		w.crashes.broke(r.Fingerprint, 1, w.now)
		w.emit(CrashSeen{Fingerprint: r.Fingerprint})
	}
	w.tell(r, s, e)
}

// triesMost bounds the servers tried in vain beside the attempts that count.
const triesMost = 5

// again sends the request to another server than the last one, if it may go there.
//
// Load: servers that crash, refuse or go silent. Harm prevented: an answer lost where
// another server could give it, and repeats that bring down those that are left.
func (w *World) again(r *request, last *server) {
	if last != nil {
		r.tried = append(r.tried, last)
	}
	if reason := w.barsAgain(r); reason != "" {
		w.giveUp(r, reason)
		return
	}
	if !w.place(r) {
		w.await(r)
	}
}

// barsAgain gives the reason why no other attempt may follow.
func (w *World) barsAgain(r *request) Reason {
	switch {
	case !r.Deadline.After(w.now):
		return ReasonDeadline
	case r.attempts >= max(r.Route.MaxAttempts, 1), r.tries >= triesMost+r.Route.MaxAttempts:
		return ReasonAttempts
	case w.crashes.barred(r.Fingerprint, w.now):
		return ReasonQuarantined
	case r.attempts > 0 && !r.service.budget.Spend(w.now):
		return ReasonRetryBudget
	}
	return ""
}
