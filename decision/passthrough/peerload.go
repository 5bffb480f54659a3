package passthrough

import "time"

// PeerLoad is the load that some instances have at one backend server.
type PeerLoad struct {
	// Key identifies the server: part of the hash of its id, the same at all instances.
	Key uint32
	// Requests is the number of their requests at the server, PrefillTime how long the prompts
	// among them still take for prefill.
	Requests    int
	PrefillTime time.Duration
	// Tokens is the size of these requests, prompts and expected responses; 0 if it is not counted.
	Tokens int
}

// peerLoadTTL is how long a load report of the peers counts: most of the prompts in it are
// processed by then.
const peerLoadTTL = 700 * time.Millisecond

// peerCoverage is the fraction of the other instances that a load report must cover: one that
// covers too few underestimates the load.
const peerCoverage = 0.9

// peerReport is the load that the other instances report at a server.
type peerReport struct {
	requests    float64
	prefillTime float64 // seconds
	tokens      float64
}

// peerKey identifies the server's process in load reports. A report on a former process under the same id
// does not hold for this one.
func (s *server) peerKey() uint32 {
	const lowBits = 32
	return uint32(s.processHash >> lowBits)
}

// OwnLoads returns this instance's current load at the engines.
func (w *World) OwnLoads() []PeerLoad {
	var out []PeerLoad
	seen := map[*server]bool{}
	for _, r := range w.requests {
		s := r.server
		if s == nil || seen[s] || !s.service.engine {
			continue
		}
		seen[s] = true
		load := PeerLoad{Key: s.peerKey(), Requests: s.sentRequests(w.now), PrefillTime: seconds(s.prefillRemaining(w.now))}
		if w.countsTokens(s.service) {
			load.Tokens = s.ownTokens
		}
		out = append(out, load)
	}
	for _, s := range w.brittleEngines() {
		if s.permitsUsed > 0 && !seen[s] {
			out = append(out, PeerLoad{Key: s.peerKey(), Requests: s.permitsUsed})
		}
	}
	return out
}

// applyPeerLoads applies a load report of the other instances, which are taken to have no load at
// servers that are not in it.
//
// Load: dozens of instances with more engines than each of them gets responses from in a second, and
// prompts that occupy an engine for most of a second. Harm prevented: two instances that
// consider an engine idle and both send it such prompts, while other engines are idle.
func (w *World) applyPeerLoads(e PeerLoads) {
	if float64(e.Instances) < peerCoverage*float64(w.fleetSize-1) {
		return
	}
	w.peerLoadsAt = w.now
	for _, s := range w.reportedByPeers {
		s.peers = peerReport{}
	}
	w.reportedByPeers = w.reportedByPeers[:0]
	for _, l := range e.Loads {
		if s := w.serversByKey[l.Key]; s != nil {
			s.peers = peerReport{requests: float64(l.Requests), prefillTime: l.PrefillTime.Seconds(), tokens: float64(l.Tokens)}
			w.reportedByPeers = append(w.reportedByPeers, s)
		}
	}
	for _, s := range w.services {
		if w.expectsLoads(s) {
			w.expectLoads(s)
		}
		w.markFreed(s)
	}
}

// peerLoadsFresh reports whether the load report of the other instances still counts.
func (w *World) peerLoadsFresh() bool { return elapsedFraction(w.peerLoadsAt, w.now, peerLoadTTL) < 1 }
