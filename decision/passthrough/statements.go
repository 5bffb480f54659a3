package passthrough

import (
	"cmp"
	"slices"
	"time"
)

// A server states in its responses that it is leaving, or for how long it wants no requests from this
// instance. Both hold for the server's process. The first holds for good: a process that has begun to
// leave does not come back.

// observeStatement applies what the head of a response states about its server.
//
// Load: servers that are replaced one after the other while the store is down, so that their entries
// stay ready; servers that refuse what they cannot take and say for how long. Harm prevented: requests
// that are sent to a server which is about to stop, and are cut off or time out; and attempts and retries
// that are spent on refusals, and keep the server overloaded.
func (w *World) observeStatement(e ServerStated) {
	s := w.findProcess(e.Server.process())
	if s == nil {
		return
	}
	if e.Leaving {
		if s.statedLeavingAt.IsZero() {
			s.statedLeavingAt = w.now
			w.leavingServers[s] = true
		}
		w.setStatedLeaving(s, true)
	}
	if e.RetryAfter > 0 {
		w.setStatedBackoff(s, e.RetryAfter)
	}
}

// MaySend reports whether a request that was dispatched to the server may still be sent. The server may
// have become unusable since then. The short backoff after another request was refused does not count:
// the server may take this one.
//
// Load: a server that refuses many requests at once, while others connect to it. Harm prevented: those
// arrive tenths of a second after the server has stated that it wants none.
func (w *World) MaySend(now time.Time, to Server) bool {
	s := w.findProcess(to.process())
	return s == nil || s.inService() && !now.Before(s.statedBackoffUntil)
}

// IsLeaving reports whether the server is leaving, by its entry, its own statement or a refusal.
func (w *World) IsLeaving(of Server) bool {
	s := w.findProcess(of.process())
	return of.Leaving || s != nil && s.leaving()
}

// setStatedLeaving records that a server has stated that it is leaving; own is false if a peer reports it.
func (w *World) setStatedLeaving(s *server, own bool) {
	if s.statedLeaving {
		return
	}
	s.statedLeaving = true
	w.emit(ServerLeaving{Server: s.ID, Own: own})
	w.recheckQueue(s.service)
}

// leavingReportPeriod is for how long after its statement a leaving server that is not listed is reported to
// the other instances: its entry may come back.
const leavingReportPeriod = 2 * time.Minute

// OwnLeaving returns the hashes of the processes that have stated to this instance that they are leaving
// and whose entries do not say so.
//
// Load: hundreds of instances that each send a server few requests, or have just started, while the store
// is down. Harm prevented: each of them sends the server a request to learn that it is leaving.
func (w *World) OwnLeaving() []uint64 {
	var out []uint64
	for s := range w.leavingServers {
		switch {
		case s.Leaving, s.gone && w.now.Sub(s.statedLeavingAt) > leavingReportPeriod:
			delete(w.leavingServers, s)
		default:
			out = append(out, s.processHash)
		}
	}
	slices.Sort(out)
	return out
}

// applyPeerLeaving applies what servers stated to peers. Processes that are not listed are ignored: they are
// reported again as long as it matters.
func (w *World) applyPeerLeaving(processes []uint64) {
	for _, hash := range processes {
		if s := w.serversByProcess[hash]; s != nil {
			w.setStatedLeaving(s, false)
		}
	}
}

// setStatedBackoff keeps new requests from a server for the time that it has asked for. Neither a later
// statement of a shorter time nor a success of an earlier request shortens it.
func (w *World) setStatedBackoff(s *server, span time.Duration) {
	until := w.now.Add(span)
	if !until.After(s.statedBackoffUntil) {
		return
	}
	s.statedBackoffUntil = until
	s.backOff(until)
	w.emit(BackoffStated{Server: s.ID, Duration: span})
	w.recheckQueue(s.service)
}

// backOff keeps new requests from the server until the given time, or longer if it was to be left alone
// for longer already.
func (s *server) backOff(until time.Time) {
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// backoffEnds is when the first of the service's servers that back off takes requests again; the zero
// time if none does.
func (w *World) backoffEnds(s *service) time.Time {
	var first time.Time
	for _, srv := range s.servers {
		if srv.inService() && srv.backingOff(w.now) && (first.IsZero() || srv.backoffUntil.Before(first)) {
			first = srv.backoffUntil
		}
	}
	return first
}

// recheckQueue refuses the queued requests that no server can take before their wait in the queue ends, if
// a server of the service has become unusable.
//
// Load: a service whose last servers become unusable while requests wait for them. Harm prevented:
// callers that wait in vain until their wait in the queue ends.
func (w *World) recheckQueue(s *service) {
	if s.queue.len == 0 || w.hasUsableServer(s) {
		return
	}
	ends := w.backoffEnds(s)
	for _, r := range w.queuedRequests(s) {
		if !ends.IsZero() && !ends.After(w.now.Add(MaxQueueWait(&r.Request, w.now))) {
			continue
		}
		if reason := w.serverRefusal(r); reason != "" {
			s.queue.remove(r)
			r.queued = false
			w.finishOrRefuse(r, reason)
		}
	}
}

// queuedRequests returns the requests that wait for the service, in the order of their arrival.
func (w *World) queuedRequests(s *service) []*request {
	var out []*request
	for _, r := range w.requests {
		if r.queued && r.service == s {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// hasUsableServer reports whether any server of the service may get new requests.
func (w *World) hasUsableServer(s *service) bool {
	for _, srv := range s.servers {
		if srv.usable(w.now) {
			return true
		}
	}
	return false
}
