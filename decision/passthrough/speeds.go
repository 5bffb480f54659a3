package passthrough

import "masticplank.example/decision/speed"

// speedKey identifies the server's process in the table of speeds.
func (s *server) speedKey() speed.Server { return speed.Server(s.peerKey()) }

// observeSpeed records what a response states about its server's machine.
func (w *World) observeSpeed(s *server, load Load) {
	if load.Slowdown > 0 {
		s.service.statesSpeed = true
		w.speeds.Stated(w.now, s.speedKey(), load.Slowdown)
	}
}

// applyPeerSpeeds applies what the other instances know.
func (w *World) applyPeerSpeeds(e PeerSpeeds) { w.speeds.Apply(w.now, e.Rows) }

// OwnSpeeds returns what this instance has learned of the backend servers' speeds.
func (w *World) OwnSpeeds() []speed.Row { return w.speeds.Report(w.now) }
