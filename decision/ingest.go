package decision

import "time"

// ingest applies the events to the tables in order. It decides nothing but what
// an event says by itself; arrivals and ends are left to the later systems, so
// that these see the whole tick's facts first.
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

// ingestRequest enters a request. An id that is live already is the router's
// mistake: the second one is dropped, since one id can have only one answer.
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

// ingestCancelled ends a request whose caller has gone: what waits leaves the
// queue and what runs is cancelled, so that no slot works for nobody.
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
		w.recheck = true
	}
	if w.now.After(w.resumedAt) {
		// Told after the pause; what was on its way before it says nothing.
		w.holdUntil = time.Time{}
	}
	w.fresh = e.Fresh
	w.outage = e.Outage
}

// ingestLoad notes what a server says of itself. Reports lag, so an older one
// that comes after a newer one is dropped.
func (w *World) ingestLoad(e LoadReported) {
	s := w.servers[e.Server]
	if s == nil || e.At.Before(s.reportedAt) {
		return
	}
	s.reportedAt = e.At
	if s.reportedAt.After(w.now) {
		s.reportedAt = w.now // the server's clock runs ahead
	}
	s.otherLoad = max(0, e.Running+e.Queued-s.running)
	w.refresh(s)
}

// ingestFirstToken notes when an answer began, since the time from there on is
// the server's pace, without the wait in its queue.
func (w *World) ingestFirstToken(e FirstToken) {
	a := w.attemptOf(attemptKey{e.Request, e.Attempt})
	if a != nil && a.firstToken.IsZero() {
		a.firstToken = w.now
	}
}

// reportFresh says whether the last load report still counts.
func (w *World) reportFresh(s *server) bool {
	return w.now.Sub(s.reportedAt) < w.cfg.LoadReportTTL
}
