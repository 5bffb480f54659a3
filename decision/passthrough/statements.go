package passthrough

import (
	"cmp"
	"slices"
)

// A server states in its responses that it is leaving. The statement holds for the server's process,
// and for good: a process that has begun to leave does not come back.

// observeStatement applies what the head of a response states about its server.
//
// Load: servers that are replaced one after the other while the store is down, so that their entries
// stay ready. Harm prevented: requests that are sent to a server which is about to stop, and are cut off
// or time out.
func (w *World) observeStatement(e ServerStated) {
	s := w.findProcess(e.Server.process())
	if s == nil {
		return
	}
	if e.Leaving {
		w.setStatedLeaving(s)
	}
}

// setStatedLeaving records that a server has stated that it is leaving.
func (w *World) setStatedLeaving(s *server) {
	if s.statedLeaving {
		return
	}
	s.statedLeaving = true
	w.emit(ServerLeaving{Server: s.ID})
	w.recheckQueue(s.service)
}

// recheckQueue refuses the queued requests that no server can take any more, if a server of the service
// has become unusable.
//
// Load: a service whose last servers become unusable while requests wait for them. Harm prevented:
// callers that wait in vain until their wait in the queue ends.
func (w *World) recheckQueue(s *service) {
	if s.queue.len == 0 || w.hasUsableServer(s) {
		return
	}
	for _, r := range w.queuedRequests(s) {
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
