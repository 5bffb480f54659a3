package passthrough

import (
	"cmp"
	"maps"
	"slices"
)

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
	return slices.DeleteFunc(w.requestsInOrder(), func(r *request) bool { return !r.queued || r.service != s })
}

// requestsInOrder returns all requests, in the order of their arrival.
func (w *World) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Values(w.requests), func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
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
