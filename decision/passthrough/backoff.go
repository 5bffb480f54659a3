package passthrough

import "time"

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

// backingOff reports whether the server is left alone for a time.
func (s *server) backingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

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
