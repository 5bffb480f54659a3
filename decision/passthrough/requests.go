package passthrough

import "time"

// arrive admits a request: it is placed at once, waits, or is refused at once with when
// to come back.
func (w *World) arrive(in Request) {
	r := &request{Request: in, arrived: w.now, model: noModel}
	r.service = w.serviceOf(in.Service)
	w.requests[r.ID] = r
	r.service.budget.RecordRequest(w.now)
	if w.crashes.quarantined(r.Fingerprint, w.now) {
		w.refuse(r, ReasonQuarantined)
		return
	}
	if !r.Deadline.After(w.now) {
		w.refuse(r, ReasonDeadline)
		return
	}
	if w.outlivesInstance(r) {
		w.refuse(r, ReasonStopping)
		return
	}
	if w.throttled(r) {
		w.refuse(r, ReasonServersFull)
		return
	}
	if r.service.queue.len == 0 && w.tryDispatch(r) {
		return
	}
	w.enqueue(r)
}

// stretch is how much longer than the mean an answer may take: half of them take longer
// than that.
const durationFactor = 1.3

// outlasts says whether the request's answer would be cut by the end of this instance.
//
// Load: an instance that is told to stop, and gets requests until the balancer has noticed,
// among them streams as long as all of its grace time. Harm prevented: a stream that is cut
// midway, where a refusal sends the caller on to an instance that stays.
func (w *World) outlivesInstance(r *request) bool {
	if w.endsAt.IsZero() || r.Route.Kind != KindStream {
		return false
	}
	return w.now.Add(w.expectedDuration(r.Route, durationFactor)).After(w.endsAt)
}

// throttled counts the request, and says whether it is refused since its service turns too many
// away.
func (w *World) throttled(r *request) bool {
	q := &r.service.throttle
	if r.service.engine {
		return false // these are chosen by their load
	}
	q.observeDemand(r.Priority, r.Team, w.now)
	return q.refuses(r.Priority, r.Team, w.now, w.rng.Float64())
}

// await queues a request whose turn comes later, or refuses it at once.
//
// Load: demand over capacity. Harm prevented: callers who wait for an answer that comes
// too late. The queue is as long as what drains within the wait that the request can
// afford; who finds it longer learns at once when to come back.
func (w *World) enqueue(r *request) {
	s := r.service
	if reason := w.serverRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	if reason := w.waitRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	r.queued = true
	s.queue.push(r, w.cost(r))
}

// waitsTooLong gives the reason why the request's turn would come too late; "" where it would not.
func (w *World) waitRefusal(r *request) Reason {
	longest := MaxQueueWait(&r.Request, w.now)
	if wait, limited := w.limitWait(r); limited {
		if wait > longest {
			return ReasonLimited
		}
		return ""
	}
	if r.service.intervals.departures.wait(r.service.queue.ahead(r)) > longest {
		return ReasonBusy
	}
	return ""
}

// noneUsable gives the reason why no server may take the request, now or when it has room; ""
// where one may.
func (w *World) serverRefusal(r *request) Reason {
	fits := w.versionFilter(r)
	reason := ReasonNoServer
	for _, srv := range r.service.servers {
		if !srv.usable(w.now) || !fits(srv) {
			continue
		}
		if !srv.inSlowStart(w.now) || w.inSlowStartSubset(srv) {
			return ""
		}
		reason = ReasonWarmingUp
	}
	return reason
}

// cost sizes a request for the teams' shares: tokens, with prompts read in parallel.
func (w *World) cost(r *request) float64 {
	const promptWeight = 0.1 // of a generated token's cost, as decision.Config.PromptWeight
	return promptWeight*float64(r.PromptTokens) + float64(r.MaxTokens)
}

// waited refuses a request that has waited for as long as it may, unless there is room by
// now: what is known of engines ages, and no event tells when it has.
func (w *World) queueWaitExpired(id RequestID) {
	r := w.requests[id]
	if r == nil || !r.queued {
		return
	}
	r.service.queue.remove(r)
	r.queued = false
	if !w.tryDispatch(r) {
		w.finishOrRefuse(r, ReasonBusy)
	}
}

// leave forgets a request that nobody waits for. Its attempt's end comes by itself.
func (w *World) cancel(id RequestID) {
	r := w.requests[id]
	if r == nil {
		return
	}
	w.releaseServer(r)
	w.remove(r)
}

// drop takes a request out of all tables.
func (w *World) remove(r *request) {
	if r.queued {
		r.service.queue.remove(r)
		r.queued = false
	}
	delete(w.requests, r.ID)
}

// release takes the request's attempt off its server.
func (w *World) releaseServer(r *request) {
	if r.server == nil {
		return
	}
	r.endPrefill()
	r.server.ownRequests--
	w.markFreed(r.service)
	r.server = nil
}

// free marks that a place may have become free.
func (w *World) markFreed(s *service) {
	if !s.slotFreed && s.queue.len > 0 {
		s.slotFreed = true
		w.freed = append(w.freed, s)
	}
}

// placeWaiting gives free places to those that wait.
func (w *World) dispatchQueued() {
	for _, s := range w.freed {
		s.slotFreed = false
		for r := s.queue.next(); r != nil; r = s.queue.next() {
			if !w.tryDispatch(r) {
				break
			}
		}
	}
}

// giveUp ends a request without another attempt: refused if it has not run, else with
// what its last attempt left.
func (w *World) finishOrRefuse(r *request, reason Reason) {
	if !r.mayHaveRun {
		w.refuse(r, reason)
		return
	}
	w.emit(Finish{Request: r.ID, Reason: reason})
	w.remove(r)
}

const (
	// comeBackLeast and comeBackMost bound the time that a refused caller is told.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// comeBackPart is the part of its remaining time that a caller waits at most.
	retryAfterFraction = 0.3
	// comeBackSpread spreads the times of callers that were refused together, so that
	// they do not come back together.
	retryAfterJitter = 0.5
)

// refuse ends a request that has not run, with when to come back.
func (w *World) refuse(r *request, reason Reason) {
	after := r.service.intervals.departures.wait(r.service.queue.ahead(r))
	switch reason {
	case ReasonNoServer:
		after = max(after, unreachableBackoff)
	case ReasonWarmingUp:
		after = max(after, w.slowStartEnds(r.service).Sub(w.now))
	case ReasonLimited:
		wait, _ := w.limitWait(r)
		if wait == never {
			wait = unreachableBackoff // another instance may be in a server's subset
		}
		after = max(after, wait)
	}
	after = max(after, minRetryAfter)
	after = min(after, maxRetryAfter, time.Duration(retryAfterFraction*float64(r.Deadline.Sub(w.now))))
	after += time.Duration(retryAfterJitter * w.rng.Float64() * float64(after))
	w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: max(after, 0)})
	w.remove(r)
}
