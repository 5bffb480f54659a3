package passthrough

import "slices"

// A server whose connection broke before a response, or whose idle connection was reset, is a suspect until it responds
// again: it may accept connections although it is down, and reset them once a request is sent.
//
// Load: plain servers that go down and up by turns, in front of dozens of instances with a few requests a second each.
// Harm prevented: each instance sends requests that may run at most once to a server that is down, again in each of its
// turns, and their callers get a failure, as nobody knows whether they ran. Requests that may run again find out whether
// the server responds.

// ConnectionReset reports that an idle connection to a server was reset.
type ConnectionReset struct{ Server Server }

func (ConnectionReset) event() {}

// poolsEvidence reports whether the instances decide on the service by the evidence of all of them.
func (w *World) poolsEvidence(s *service) bool { return w.cfg.SharedAdmission || s.statesSpeeds }

// observeReset applies a reset of an idle connection. The server is left alone for a time, unless all other servers of
// its service are: then the connections may have been lost, not the servers.
func (w *World) observeReset(e ConnectionReset) {
	s := w.findProcess(e.Server.process())
	if s == nil || !w.poolsEvidence(s.service) {
		return
	}
	s.suspect = true
	if w.othersUsable(s) {
		s.backOff(w.now.Add(unreachableBackoff))
		w.emit(RefreshServers{Server: s.ID})
	}
}

// othersUsable reports whether another server of the service may get requests and is no suspect.
func (w *World) othersUsable(s *server) bool {
	return slices.ContainsFunc(s.service.servers, func(o *server) bool { return o != s && !o.suspect && o.usable(w.now) })
}

// recordResponse records whether the server responded to an attempt.
func (w *World) recordResponse(s *server, e AttemptEnded) {
	switch {
	case e.ConnectionLost && !e.Begun && w.poolsEvidence(s.service):
		s.suspect = true
	case e.Result == Completed || e.Result == Failed || e.Result == Rejected:
		s.suspect = false
	}
}

// preferResponding leaves suspects out for a request that may run at most once, if there are other servers.
func (w *World) preferResponding(r *request, list []serverView) []serverView {
	if r.Route.Kind != KindAtMostOnce || !slices.ContainsFunc(list, func(v serverView) bool { return v.server.suspect }) {
		return list
	}
	out := make([]serverView, 0, len(list))
	for _, v := range list {
		if !v.server.suspect {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// watchedConnsFraction is the fraction of a server's connections that idle ones of all instances together may use.
const watchedConnsFraction = 0.25

// KeepsIdle reports whether this instance keeps an idle connection to the plain server, to learn at once when it goes
// down. Where the server takes too few connections for all instances, those that keep one are chosen by a hash.
func (w *World) KeepsIdle(id string) bool {
	s := w.servers[id]
	if s == nil || s.service.engine || w.fleetSize == 0 || !w.poolsEvidence(s.service) {
		return false
	}
	kept := watchedConnsFraction * float64(s.service.maxConns)
	if kept >= float64(w.fleetSize) {
		return true
	}
	return fraction(mix(hashString(w.neighbours.self)^s.hash)) < kept/float64(w.fleetSize)
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
