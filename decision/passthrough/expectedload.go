package passthrough

import (
	"math"
	"os"
	"slices"
	"strconv"
	"time"
)

// TRIAL knobs
func knob(name string, def float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return def
}

var (
	kFinish = knob("K_FINISH", 1)
	kIn     = knob("K_IN", 1)
	kPick   = knob("K_PICK", 4)
	kDelay  = knob("K_DELAY", 0.15)
	kSpan   = knob("K_SPAN", 0.3)
)

// flows is the expected change of the engines' load between two reports.
type flows struct {
	// stay is the mean time in seconds that requests spend at engines.
	stay movingAverage
	// total is the sum of the others' requests by their last report.
	total    float64
	hasTotal bool
	at time.Time
	level float64
}

// expectLoads computes how the load of the service's engines is expected to change until the next report.
func (w *World) expectLoads(s *service) {
	total := 0.0
	for _, srv := range s.servers {
		total += srv.peers.requests
	}
	f := &s.flows
	grown := 0.0
	if f.hasTotal && w.now.Sub(f.at) < peerLoadTTL {
		grown = max(total-f.total, 0) / max(w.now.Sub(f.at).Seconds(), 0.05)
	}
	f.total, f.hasTotal, f.at = total, true, w.now
	rate := grown
	running := 0.0
	slots := float64(s.slots)
	if slots <= 0 {
		slots = math.Inf(1)
	}
	for _, srv := range s.servers {
		running += min(srv.peers.requests, slots)
	}
	finished := 0.0
	for _, srv := range s.servers {
		srv.finishing, srv.sentSinceReport = 0, 0
		if f.stay.n > 0 && f.stay.value > 0 {
			if kStay == 0 {
				srv.finishing = kFinish * min(srv.peers.requests, slots) / f.stay.value * max(total/max(running, 1), 1)
			} else {
				factor, _ := w.speedFactors(srv)
				srv.finishing = kFinish * min(srv.peers.requests, slots) / (f.stay.value * factor)
			}
		}
		finished += srv.finishing
	}
	rate += finished
	s.finishing = finished * float64(w.fleetSize) / float64(max(w.fleetSize-1, 1))
	// Water filling.
	loads := w.loadsScratch[:0]
	for _, srv := range s.servers {
		if srv.usable(w.now) {
			loads = append(loads, max(srv.peers.requests-srv.finishing*kSpan, 0))
		}
	}
	w.loadsScratch = loads
	slices.Sort(loads)
	level := waterLevel(loads, rate*kSpan)
	for _, srv := range s.servers {
		srv.arriving = 0
		if srv.usable(w.now) {
			srv.arriving = kIn * max(level-max(srv.peers.requests-srv.finishing*kSpan, 0), 0) / kSpan
		}
	}
	f.level = level
}

func waterLevel(sorted []float64, volume float64) float64 {
	sum := 0.0
	for i, x := range sorted {
		sum += x
		n := float64(i + 1)
		level := (sum + volume) / n
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}

// pickByRoom chooses at random, in proportion to expected room.
func (w *World) pickByRoom(list []serverView) (serverView, bool) {
	sum := 0.0
	for i := range list {
		sum += w.roomWeight(&list[i])
	}
	if sum <= 0 {
		return serverView{}, false
	}
	x := w.rng.Float64() * sum
	for i := range list {
		x -= w.roomWeight(&list[i])
		if x < 0 {
			return list[i], true
		}
	}
	return list[len(list)-1], true
}

func (w *World) roomWeight(v *serverView) float64 {
	slots := float64(v.server.service.slots)
	_ = math.Pi
	switch kPick {
	case 1: // the common fluid
		return max(v.server.arriving*kSpan-float64(v.server.sentSinceReport), 0)
	case 2: // expected room up to slots + ahead
		return max(slots+knobAhead-v.load, 0.01)
	case 4:
		return max(slots+v.ahead-v.load, 0.01)
	case 5: 
		return max(max(slots, v.server.service.flows.level)-v.load, 0.01)
	case 6: 
		return max(v.server.service.flows.level+2-v.load, 0.01)
	case 3:
		return max(slots+knobAhead-v.known+v.freeing, 0.01)
	}
	return 0
}

var knobAhead = knob("K_AHEAD", 0)

var knobOver = knob("K_OVER", 1)

var kStay = knob("K_STAY", 1)

var kCap = knob("K_CAP", 1)
