package passthrough

import "time"

// PeerLoad is what some instances have at one backend server.
type PeerLoad struct {
	// Key stands for the server: a part of the hash of its id, alike at all instances.
	Key uint32
	// Requests is how many they have there, Reading how long their prompts take to be read.
	Requests    int
	PrefillTime time.Duration
}

// peerLoadLife is how long a report of the other instances' loads counts: most prompts are read by
// then.
const peerLoadTTL = 700 * time.Millisecond

// peerCoverage is the part of the other instances that a report must cover: one that covers too few
// under-counts load.
const peerCoverage = 0.9

// peerReport is what the other instances report to have at a server.
type peerReport struct {
	requests    float64
	prefillTime float64 // seconds
}

// keyOf stands for the server among instances.
func (s *server) peerKey() uint32 {
	const lowBits = 32
	return uint32(s.hash >> lowBits)
}

// OwnLoads is what this instance has at the servers now.
func (w *World) OwnLoads() []PeerLoad {
	var out []PeerLoad
	seen := map[*server]bool{}
	for _, r := range w.requests {
		s := r.server
		if s == nil || seen[s] || !s.service.engine {
			continue
		}
		seen[s] = true
		out = append(out, PeerLoad{Key: s.peerKey(), Requests: s.ownRequests, PrefillTime: seconds(s.prefillRemaining(w.now))})
	}
	return out
}

// applyPeerLoads takes in what all other instances report to have at the servers: nothing where a
// server is not named.
//
// Load: dozens of instances before more engines than each of them hears from in a second, and
// prompts that hold up an engine for most of one. Harm prevented: two instances that send such
// prompts to one engine, each taking it for idle, while others are.
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
			s.peers = peerReport{requests: float64(l.Requests), prefillTime: l.PrefillTime.Seconds()}
			w.reportedByPeers = append(w.reportedByPeers, s)
		}
	}
	for _, s := range w.services {
		w.markFreed(s)
	}
}

// knowsPeerLoads says whether the report of the other instances' loads is fresh.
func (w *World) peerLoadsFresh() bool { return elapsedFraction(w.peerLoadsAt, w.now, peerLoadTTL) < 1 }
