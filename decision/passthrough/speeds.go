package passthrough

import (
	"math"
	"time"

	"masticplank.example/decision/speed"
)

// SpeedChanged reports that measured times show that a server is slow without stating it, or no longer do.
type SpeedChanged struct {
	Server string
	Slow   bool
	// Factor is how many times as long as at a server of unit speed work takes at the server.
	Factor float64
}

func (SpeedChanged) command() {}

// speedKey identifies the server's process in the table of speeds.
func (s *server) speedKey() speed.Server { return speed.Server(s.peerKey()) }

// observeSpeed records what a response states about its server's machine.
func (w *World) observeSpeed(s *server, load Load) {
	if load.Slowdown <= 0 {
		return
	}
	w.speeds.Stated(w.now, s.speedKey(), load.Slowdown)
	w.beginSpeeds(s.service)
	w.refreshSpeed(s)
}

// beginSpeeds records that the service's servers state speeds.
//
// Load: engines on machines of uneven speed, each beside other work. Harm prevented: slow engines that get as many
// prompts as fast ones and fall behind whenever many requests come.
func (w *World) beginSpeeds(s *service) {
	if s.statesSpeeds {
		return
	}
	s.statesSpeeds = true
	for _, srv := range s.servers {
		w.refreshSpeed(srv)
	}
}

// refreshSpeed takes over what is known of the server's speed, which decisions then need not look up.
func (w *World) refreshSpeed(s *server) {
	key := s.speedKey()
	s.usual, s.stated = w.speeds.Usual(w.now, key), w.speeds.Stating(key)
	if newest, age := w.speeds.Newest(w.now, key); newest > 0 {
		s.newest, s.changedAt = newest, w.now.Add(-age)
	}
	if s.newest == s.stated {
		s.changedAt = time.Time{}
	}
	if slow := w.speeds.Slow(key); slow != s.slowUnstated {
		s.slowUnstated = slow
		w.emit(SpeedChanged{Server: s.ID, Slow: slow, Factor: s.usual})
	}
}

// applyPeerSpeeds applies what the other instances know.
func (w *World) applyPeerSpeeds(e PeerSpeeds) {
	w.speeds.Apply(w.now, e.Rows)
	for _, row := range e.Rows {
		if s := w.serversByKey[uint32(row.Server)]; s != nil && row.Samples > 0 {
			w.beginSpeeds(s.service)
		}
	}
	w.refreshSpeeds()
}

// refreshSpeeds does refreshSpeed for all servers of services that state speeds.
func (w *World) refreshSpeeds() {
	for _, s := range w.services {
		if !s.statesSpeeds {
			continue
		}
		for _, srv := range s.servers {
			w.refreshSpeed(srv)
		}
	}
}

// retainSpeeds forgets the speeds of processes that are neither listed nor departed.
func (w *World) retainSpeeds() {
	keep := make(map[speed.Server]bool, len(w.serversByKey))
	for key := range w.serversByKey {
		keep[speed.Server(key)] = true
	}
	for _, s := range w.departed.Values() {
		keep[s.speedKey()] = true
	}
	w.speeds.Retain(func(s speed.Server) bool { return keep[s] })
	w.refreshSpeeds()
}

// OwnSpeeds returns what this instance has learned of the backend servers' speeds.
func (w *World) OwnSpeeds() []speed.Row { return w.speeds.Report(w.now) }

// speedFactors are how many times as long as usual work is expected to take at the server: usually, and at this moment.
// A plain server's work takes milliseconds, so that the moment counts for all of it.
func (w *World) speedFactors(s *server) (factor, momentary float64) {
	if !s.service.statesSpeeds {
		slowdown := s.slowdown()
		return slowdown, slowdown
	}
	momentary = s.usual
	if age := w.now.Sub(s.changedAt); age < speed.StatementTTL {
		momentary *= speed.Present(s.stated, s.newest, age) / s.stated
	}
	if s.service.engine {
		return s.usual, momentary
	}
	return momentary, momentary
}

// statedFactor is how many times as long as usual work takes at the server by its statements; 1 if there are none. What
// was measured is left out, so that no slow version excuses itself.
func (s *server) statedFactor() float64 {
	if s.stated <= 0 {
		return 1
	}
	return s.stated
}

// measureInterval records how a response's event interval compares with those of other servers at like load.
func (w *World) measureInterval(s *server, times LogRatioStats) {
	if times.N > 0 {
		w.measureSpeed(s, times.Sum/float64(times.N))
	}
}

// measureSpeed records the logarithm of the ratio of a response's time to the one expected by its server's statements.
func (w *World) measureSpeed(s *server, logRatio float64) {
	if !s.service.statesSpeeds || w.runsTarget(s) {
		return
	}
	if newest, age := w.speeds.Newest(w.now, s.speedKey()); age < speed.StatementTTL && newest > s.statedFactor() {
		logRatio -= math.Log(newest / s.statedFactor())
	}
	w.speeds.Measured(w.now, s.speedKey(), math.Exp(logRatio))
	w.refreshSpeed(s)
}

// SpeedClasses counts the servers of services that state speeds: those that are faster or slower than a server of unit
// speed by a fifth or more, the others, and among all of them those that are slow without stating it.
type SpeedClasses struct{ Fast, Usual, Slow, UnstatedSlow int }

// SpeedClasses returns the numbers of servers by class, for the metrics.
func (w *World) SpeedClasses() SpeedClasses {
	const fast, slow = 0.8, 1.25
	var out SpeedClasses
	for _, s := range w.services {
		if !s.statesSpeeds {
			continue
		}
		for _, srv := range s.servers {
			switch {
			case srv.usual <= fast:
				out.Fast++
			case srv.usual < slow:
				out.Usual++
			default:
				out.Slow++
			}
			if srv.slowUnstated {
				out.UnstatedSlow++
			}
		}
	}
	return out
}
