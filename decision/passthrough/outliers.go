package passthrough

import (
	"maps"
	"slices"

	"masticplank.example/decision/outlier"
)

// Servers that fail requests are ejected by the evidence of all instances, if these pool what they know of its service.
//
// Load: dozens of instances in front of more than a hundred servers, of which many reset each connection within
// milliseconds while their health check is good. Harm prevented: each instance loses requests at each of these servers,
// which look idle, before it has seen enough failures itself.

// attemptEvidence is what a request's attempts say about their servers.
type attemptEvidence struct {
	// begun is true once the present attempt's response has been counted.
	begun bool
	// broke are the attempts whose connection broke, failed the servers that responded with a failure of their own.
	broke  []brokenAttempt
	failed []*server
}

// brokenAttempt is an attempt whose connection broke; responded is true if that was after its response had begun.
type brokenAttempt struct {
	server    *server
	responded bool
}

// outlierKey identifies the server's process in the table of outliers.
func (s *server) outlierKey() outlier.Server { return outlier.Server(s.peerKey()) }

// recordTrial records that a request is sent to a server which may be on trial.
func (w *World) recordTrial(r *request, s *server) {
	r.evidence.begun = false
	w.outliers.Tried(w.now, s.outlierKey())
	s.leftOut = !w.outliers.Usable(w.now, s.outlierKey()) && !w.runsTarget(s)
}

// recordBegun counts a response that has begun: a busy server's whole responses take seconds, and its failures do not.
func (w *World) recordBegun(r *request) {
	if r.server != nil && w.poolsEvidence(r.service) {
		w.recordBegunAt(r, r.server)
	}
}

// recordWhole records a whole response. Servers that have responded to the request with a failure were at fault, as
// another one could serve it.
func (w *World) recordWhole(r *request, s *server) {
	if !w.poolsEvidence(r.service) {
		return
	}
	w.recordBegunAt(r, s)
	for _, failed := range r.evidence.failed {
		if failed != s {
			w.outliers.Failed(w.now, failed.outlierKey(), true)
		}
	}
	r.evidence.failed = nil
}

// recordFailure records an attempt's failure. Timeouts say nothing, as a sound server may be slow or busy.
func (w *World) recordFailure(r *request, s *server, e AttemptEnded) {
	if !w.poolsEvidence(r.service) || e.HeldUnread || e.GivenUp {
		return
	}
	switch {
	case e.Result == Failed && !slices.Contains(r.evidence.failed, s):
		w.recordBegunAt(r, s)
		r.evidence.failed = append(r.evidence.failed, s)
	case e.Result == Broken && e.ConnectionLost:
		w.recordBroken(r, s)
	}
}

// recordBegunAt counts the response of the request's present or last attempt, once.
func (w *World) recordBegunAt(r *request, s *server) {
	if !r.evidence.begun {
		r.evidence.begun = true
		w.outliers.Responded(w.now, s.outlierKey())
	}
}

// recordBroken records a lost connection. A request whose last attempt breaks a connection too may be the cause itself:
// it says nothing about servers that are no suspects otherwise.
func (w *World) recordBroken(r *request, s *server) {
	w.outliers.Failed(w.now, s.outlierKey(), r.evidence.begun)
	r.evidence.broke = append(r.evidence.broke, brokenAttempt{s, r.evidence.begun})
	if len(r.evidence.broke) < 2 || r.attempts < r.Route.MaxAttempts {
		return
	}
	for _, broke := range r.evidence.broke {
		if key := broke.server.outlierKey(); !w.outliers.Suspected(key) {
			w.outliers.Withdraw(w.now, key, broke.responded)
		}
	}
}

// OwnOutliers returns what this instance has lately seen of the servers' failures.
func (w *World) OwnOutliers() []outlier.Row {
	return w.outliers.Report(w.now)
}

// applyPeerOutliers applies what the other instances have seen, and judges the servers.
func (w *World) applyPeerOutliers(e PeerOutliers) {
	w.outliers.Apply(w.now, e.Rows)
	w.reportEjections(w.outliers.Judge(w.now, w.judgedServers(), w.fleetSize))
}

// judgedServers are the servers that may be ejected, of each service whose instances pool their evidence: a roll-out's new
// version is judged by the roll-out.
func (w *World) judgedServers() [][]outlier.Server {
	out := make([][]outlier.Server, 0, len(w.services))
	for _, name := range slices.Sorted(maps.Keys(w.services)) {
		if !w.poolsEvidence(w.services[name]) {
			continue
		}
		var keys []outlier.Server
		for _, srv := range w.services[name].servers {
			if srv.inService() && !w.runsTarget(srv) {
				keys = append(keys, srv.outlierKey())
			}
		}
		out = append(out, keys)
	}
	return out
}

// reportEjections applies and reports which servers are ejected, and which are used again.
func (w *World) reportEjections(changes []outlier.Change) {
	for _, c := range changes {
		s := w.serversByKey[uint32(c.Server)]
		if s == nil {
			continue
		}
		if !c.Ejected {
			s.health = health{} // all instances know better than one
		}
		w.emit(ServerEjected{Server: s.ID, Ejected: c.Ejected, Failed: c.Failed, Total: c.Total, For: c.For})
	}
	for _, s := range w.services {
		w.refreshLeftOut(s)
	}
}

// refreshLeftOut takes over which of the service's servers this instance may use, which decisions then need not look up.
func (w *World) refreshLeftOut(s *service) {
	for _, srv := range s.servers {
		leftOut := !w.outliers.Usable(w.now, srv.outlierKey()) && !w.runsTarget(srv)
		if srv.leftOut && !leftOut {
			w.markFreed(s)
		}
		srv.leftOut = leftOut
	}
}

// retainOutliers forgets processes that are neither listed nor departed.
func (w *World) retainOutliers() {
	keep := make(map[outlier.Server]bool, len(w.serversByKey))
	for key := range w.serversByKey {
		keep[outlier.Server(key)] = true
	}
	for _, s := range w.departed.Values() {
		keep[s.outlierKey()] = true
	}
	w.outliers.Retain(func(s outlier.Server) bool { return keep[s] })
}

// EjectedServers is the number of servers that are ejected by the evidence of all instances, or are on trial.
func (w *World) EjectedServers() int {
	count := 0
	for _, s := range w.servers {
		if w.outliers.Ejected(s.outlierKey()) {
			count++
		}
	}
	return count
}
