package passthrough

import "time"

// SharedLoad is what some instances have at one backend server.
type SharedLoad struct {
	// Key stands for the server: a part of the hash of its id, alike at all instances.
	Key uint32
	// Requests is how many they have there, Reading how long their prompts take to be read.
	Requests int
	Reading  time.Duration
}

// sharedLife is how long the other instances' word on what they have at the servers counts: most
// prompts are read by then.
const sharedLife = 700 * time.Millisecond

// coveredPart is how many of the other instances must be covered for their word to count: a server
// that a third of them cannot be heard on looks idle.
const coveredPart = 0.9

// shared is the other instances' word on what they have at a server.
type shared struct {
	requests float64
	reading  float64 // seconds
}

// keyOf stands for the server among instances.
func (s *server) keyOf() uint32 {
	const lowBits = 32
	return uint32(s.hash >> lowBits)
}

// OwnLoads is what this instance has at the servers now.
func (w *World) OwnLoads() []SharedLoad {
	var out []SharedLoad
	told := map[*server]bool{}
	for _, r := range w.requests {
		s := r.server
		if s == nil || told[s] || !s.service.engine {
			continue
		}
		told[s] = true
		out = append(out, SharedLoad{Key: s.keyOf(), Requests: s.own, Reading: seconds(s.remaining(w.now))})
	}
	return out
}

// takeShared takes in what all other instances have at the servers: nothing where a server is not
// named.
//
// Load: dozens of instances before more engines than each of them hears from in a second, and
// prompts that hold up an engine for most of one. Harm prevented: two instances that send such
// prompts to one engine, each taking it for idle, while others are.
func (w *World) takeShared(e OthersLoads) {
	if float64(e.Instances) < coveredPart*float64(w.fleet-1) {
		return
	}
	w.sharedAt = w.now
	for _, s := range w.named {
		s.others = shared{}
	}
	w.named = w.named[:0]
	for _, l := range e.Loads {
		if s := w.byKey[l.Key]; s != nil {
			s.others = shared{requests: float64(l.Requests), reading: l.Reading.Seconds()}
			w.named = append(w.named, s)
		}
	}
	for _, s := range w.services {
		w.free(s)
	}
}

// knowsOthers says whether the other instances' word is fresh.
func (w *World) knowsOthers() bool { return passed(w.sharedAt, w.now, sharedLife) < 1 }
