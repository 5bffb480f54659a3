package decision

import "time"

// ingest applies the events to the tables in order. Arrivals, session openings,
// ended attempts and ratings are recorded for the later systems, which handle them
// once all events of the tick are applied.
func (w *World) ingest(in []Event) {
	for _, e := range in {
		w.apply(e)
	}
}

func (w *World) apply(e Event) {
	switch e := e.(type) {
	case RequestArrived:
		w.ingestRequest(e.Request)
	case SessionOpening:
		w.opening = append(w.opening, e)
	case AttemptEnded:
		w.ingestEnded(e)
	case AnswerRated:
		w.ingestRated(e)
	case LoadReported:
		w.ingestLoad(e)
	case CacheChanged:
		w.ingestCache(e)
	case FirstToken:
		w.ingestFirstToken(e)
	case RequestCancelled:
		w.ingestCancelled(e.Request)
	case ServerLeaving:
		w.ingestLeaving(e.Server)
	case ServersListed:
		w.ingestServers(e.Servers)
	case ManifestApplied:
		w.ingestManifest(e)
	case VersionVerdict:
		w.ingestVerdict(e)
	case RequestQuarantined:
		w.ingestQuarantine(e)
	case FreshnessChanged:
		w.ingestFreshness(e)
	}
}

// ingestRequest adds a request. An id that is already live is an error of the
// router: the second request is dropped, since an id can end only once.
func (w *World) ingestRequest(in Request) {
	if _, live := w.requests[in.ID]; live {
		return
	}
	r := &request{Request: in, arrived: w.now, duePos: -1}
	r.item.Value = r
	r.deadline = in.Deadline
	if r.deadline.IsZero() {
		r.deadline = w.now.Add(w.cfg.DefaultDeadline)
	}
	w.requests[in.ID] = r
	w.arrived = append(w.arrived, r)
}

// ingestCancelled ends a request whose caller has disconnected: it leaves the
// queue, and a running attempt is cancelled to free its slot.
func (w *World) ingestCancelled(id RequestID) {
	r := w.requests[id]
	if r == nil {
		return
	}
	w.cancelCurrent(r)
	w.end(r)
}

func (w *World) ingestFreshness(e FreshnessChanged) {
	if w.fresh && !e.Fresh {
		w.staleSince = w.now
	}
	if e.Outage && !w.outage {
		w.recheckNeeded = true
	}
	if w.now.After(w.resumedAt) {
		// Reported after the pause; a report sent before it says nothing about
		// the state now.
		w.dispatchFrom = time.Time{}
	}
	w.fresh = e.Fresh
	w.outage = e.Outage
}

// ingestLoad records a server's load report. Reports lag and may arrive out of
// order: one older than the last is dropped.
func (w *World) ingestLoad(e LoadReported) {
	s := w.servers[e.Server]
	if s == nil || e.At.Before(s.reportedAt) {
		return
	}
	s.reportedAt = e.At
	if s.reportedAt.After(w.now) {
		s.reportedAt = w.now // the server's clock is ahead
	}
	s.otherRequests = max(0, e.Running+e.Queued-s.running)
	w.refreshFree(s)
}

// ingestFirstToken records when an answer began: the time from then on gives the
// time per token, without the wait in the server's own queue.
func (w *World) ingestFirstToken(e FirstToken) {
	a := w.attemptOf(attemptKey{e.Request, e.Attempt})
	if a != nil && a.firstToken.IsZero() {
		a.firstToken = w.now
	}
}
