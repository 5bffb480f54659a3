package passthrough

// attemptEnded applies an attempt's end and decides what follows.
func (w *World) attemptEnded(e AttemptEnded) {
	r := w.requests[e.Request]
	if r == nil {
		return
	}
	s := r.server
	if e.Limit != nil {
		w.observeLimit(s, r.sent, *e.Limit)
	}
	if r.firstByte == 0 && (e.GivenUp || e.Result == Abandoned) {
		w.observeDelay(r, w.now.Sub(r.sent))
	}
	w.recordRun(r, s, e.Result)
	w.releaseServer(r)
	r.observeEnd(e)
	if e.Result == Completed && s != nil {
		w.beginResponse(r, s)
	}
	w.recordOutcome(r, s, e)
	w.endResponse(r, e.Result == Completed)
	r.mayHaveRun = r.mayHaveRun || e.Result.MayHaveRun() || e.Begun
	if e.Final {
		w.remove(r)
		return
	}
	if e.NoPermit {
		w.noPermit(r, s)
		return
	}
	if e.NoGrant {
		w.grantRefused(r, s, e.GrantAfter)
		w.retry(r, nil)
		return
	}
	if e.PathLost {
		w.finishOrRefuse(r, ReasonNoPath)
		return
	}
	switch e.Result {
	case Completed:
		w.learnEscalation(r, e.Confidence)
		w.crashes.forget(r.Fingerprint)
		w.statsOf(r.Route.Name).responseTime.add(w.now.Sub(r.arrived).Seconds())
		w.remove(r)
	case Dropped:
		w.learnEscalation(r, e.Confidence)
		w.chooseEscalation(r, e.Confidence)
		r.dropped, r.weakConfidence = true, e.Confidence
		w.retry(r, nil)
	case Abandoned:
		w.remove(r)
	default:
		if e.ConnectionLost && !r.survived(w.now) && w.culprits.SharesPart(r.Parts) {
			w.finishOrRefuse(r, ReasonPartQuarantined) // it may crash each server that it is sent to
			return
		}
		if e.Result != NotSent && e.Result != Withheld && r.mayHaveRun && !r.Route.Retryable() {
			w.finishOrRefuse(r, ReasonAttempts)
			return
		}
		w.retry(r, s)
	}
}

// recordOutcome records an attempt's outcome for its server, and emits an observation for the
// other instances.
func (w *World) recordOutcome(r *request, s *server, e AttemptEnded) {
	if s == nil || e.Result == Abandoned {
		return
	}
	if e.Result == Dropped {
		w.recordWhole(r, s)
		w.observeAttempt(r, s, e)
		return
	}
	if e.Result == Withheld || e.Result == NotSent {
		r.attempts--
	}
	if e.Declined {
		// A peer knows more of the server than this instance. Without the backoff, requests would be offered
		// to peers for this server one after the other.
		s.backOff(w.now.Add(rejectedBackoff))
	}
	if e.Result == Withheld || r.withdrawn || e.CallerStalled || w.saysNothing(r, s, e) {
		return
	}
	if e.Result == NotSent {
		s.backOff(w.now.Add(unreachableBackoff))
		w.serverLost(s)
		w.emit(RefreshServers{Server: s.ID})
		return
	}
	w.observeSent(r, s, e)
	w.recordResponse(s, e)
	if e.Leaving || e.Misdirected {
		s.shownLeaving = true
		w.emit(RefreshServers{Server: s.ID})
	}
	if !r.service.engine {
		r.service.throttle.observeEnd(e, w.now)
	}
	if e.Result == Rejected {
		s.backOff(w.now.Add(s.rejectedBackoff(w.now)))
		return
	}
	if e.ConnectionLost {
		w.observeLostConnection(s, r, e)
	}
	bad := e.Result != Completed
	if !e.GivenUp { // a server that is busy or slow for a time has not failed
		s.health.record(!bad, w.now)
	}
	if !bad {
		w.recordWhole(r, s)
		w.recordInterval(r, s, e.EventInterval)
		w.observePace(r, s, e.EventInterval)
		w.observeWorkTime(r, s, e)
	}
	w.recordFailure(r, s, e)
	if e.ConnectionLost {
		w.serverLost(s)
		w.recordCrash(r, s, e)
	}
	w.observeAttempt(r, s, e)
}

// recordCrash records that the request may have crashed the server.
//
// Load: callers that do not read, so that their server holds what it has made for them. Harm prevented: a server that
// crashes by what it holds is taken for one that was crashed by a request, which all instances then refuse. The same holds
// for a server that resets requests of all kinds: it has not crashed, as a process that starts anew is no suspect.
func (w *World) recordCrash(r *request, s *server, e AttemptEnded) {
	if e.HeldUnread || w.outliers.Suspected(s.outlierKey()) {
		return
	}
	w.crashes.record(r.Fingerprint, 1, w.now)
	w.reportCrash(CrashSuspected{Fingerprint: r.Fingerprint})
	w.observeCrash(r, s)
}

// maxUndeliveredDispatches is how many dispatches a request may have beyond its route's
// MaxAttempts, as dispatches that reach no server do not count as attempts.
const maxUndeliveredDispatches = 5

// retry dispatches or queues the request again, if that is allowed. A server that has failed it gets it
// again only if no other server can take it now. last is the server that failed; nil if none did.
//
// Load: servers that crash, reject requests or time out. Harm prevented: a response
// lost though another server could give it, and retries that bring down the remaining
// servers.
func (w *World) retry(r *request, last *server) {
	if last != nil {
		r.tried = append(r.tried, last)
	}
	if reason := w.retryRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	if w.waitForLarger(r) {
		return
	}
	if !w.tryDispatch(r) {
		w.enqueue(r)
	}
}

// retryRefusal returns the reason for which no other attempt may follow, or "" if one may. If one
// may, it spends a retry of the budget, unless no attempt has reached a server yet.
func (w *World) retryRefusal(r *request) Reason {
	switch {
	case !r.Deadline.After(w.now):
		return ReasonDeadline
	case r.attempts >= max(r.Route.MaxAttempts, 1), r.dispatches >= maxUndeliveredDispatches+r.Route.MaxAttempts:
		return ReasonAttempts
	case w.outlivesInstance(w.now, r):
		return ReasonStopping
	case w.crashes.quarantined(r.Fingerprint, w.now):
		return ReasonQuarantined
	case w.isQuarantined(r):
		return ReasonPartQuarantined
	case r.attempts > 0 && !r.service.budget.Spend(w.now):
		return ReasonRetryBudget
	}
	return ""
}
