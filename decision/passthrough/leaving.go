package passthrough

import (
	"slices"
	"time"
)

// leaving reports whether the server is leaving, by its entry, by its own statement, or by a refusal
// that shows it.
func (s *server) leaving() bool { return s.Leaving || s.statedLeaving || s.shownLeaving }

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
