package passthrough

import "time"

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
	w.observeBrittle(s, e)
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
//
// Nor is it sent if a part of its prompt was quarantined meanwhile, or if this instance stops too soon.
func (w *World) MaySend(now time.Time, id RequestID, to Server) bool {
	if r := w.requests[id]; r != nil && (r.withdrawn || w.culprits.Holds(now, r.Parts) || w.outlivesInstance(now, r)) {
		return false
	}
	s := w.findProcess(to.process())
	return s == nil || s.inService() && !now.Before(s.statedBackoffUntil)
}
