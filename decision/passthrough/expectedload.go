package passthrough

import (
	"math"
	"slices"
	"time"
)

const (
	// reportDelay is how old a load report of the peers is when it arrives, in the mean.
	reportDelay = 150 * time.Millisecond
	// reportSpan is the time from a report's collection to the arrival of the next one, in seconds.
	reportSpan = 0.3
	// minRoom is the room of a server that is expected to be full: if all are, one is as good as another.
	minRoom = 0.01
	// scarceSlots is the part of the slots that is taken where free ones are few.
	scarceSlots = 0.5
)

// engineFlow is how the load of a service's engines changes between two load reports of the peers.
type engineFlow struct {
	// runTime is how long a request occupies a slot, its prefill included, in seconds.
	runTime movingAverage
	// reported is the number of requests at the engines by the last report, at is when it arrived.
	reported float64
	at       time.Time
	// finishing is how many requests a second end at the engines, those of all instances; 0 if unknown.
	finishing float64
	// scarce is true if so many slots are taken that these, not the engines' time for prefill, are what is short.
	scarce bool
	// wait is the wait at engines that is aimed at, in seconds, and waiting the number of requests that may wait at each
	// while finishing is unknown.
	wait, waiting float64
	// usable is the number of usable engines; loads are reused between reports.
	usable int
	loads  []float64
}

// expectsLoads reports whether the load of the service's engines is expected to change between the reports. Engines that
// state speeds are chosen by pickBySpeed, and each of them must be met often enough to state its own.
func (w *World) expectsLoads(s *service) bool {
	return s.engine && w.cfg.SharedAdmission && !s.statesSpeeds
}

// recordRun records how long a complete response occupied a slot.
func (w *World) recordRun(r *request, s *server, result Result) {
	if result != Completed || s == nil || r.firstByte <= 0 || !w.expectsLoads(r.service) {
		return
	}
	run := (w.now.Sub(r.sent) - r.firstByte).Seconds() + r.prefillTime
	r.service.flow.runTime.add(run)
}

// expectLoads computes from a report of the peers how the load of the service's engines changes until the next one. All
// instances compute the same, up to their own requests.
//
// Load: 70 to 880 instances whose reports are 0.15 to 0.3 s old, and engines that finish a dozen requests a second. Harm
// prevented: all instances send what arrives in that time to the few engines that had a free slot, which reject it.
func (w *World) expectLoads(s *service) {
	f := &s.flow
	slots := float64(s.slots)
	if slots <= 0 {
		slots = math.Inf(1)
	}
	total, finishing := 0.0, 0.0
	f.loads = f.loads[:0]
	for _, srv := range s.servers {
		srv.finishing, srv.arriving = 0, 0
		if f.runTime.value > 0 {
			srv.finishing = min(srv.peers.requests, slots) / f.runTime.value
		}
		total += srv.peers.requests
		finishing += srv.finishing
		if srv.usable(w.now) {
			f.loads = append(f.loads, srv.leftOfReported())
		}
	}
	arriving := finishing
	if !f.at.IsZero() && w.now.Sub(f.at) < peerLoadTTL {
		const minInterval = 0.05 // seconds
		arriving += max(total-f.reported, 0) / max(w.now.Sub(f.at).Seconds(), minInterval)
	}
	f.reported, f.at, f.usable = total, w.now, len(f.loads)
	f.scarce = total > scarceSlots*slots*float64(f.usable)
	f.finishing = finishing * float64(max(w.fleetSize, 1)) / float64(max(w.fleetSize-1, 1))
	slices.Sort(f.loads)
	level := fillLevel(f.loads, arriving*reportSpan)
	for _, srv := range s.servers {
		if srv.usable(w.now) {
			srv.arriving = max(level-srv.leftOfReported(), 0) / reportSpan
		}
	}
}

// leftOfReported is how many of the peers' reported requests are left when the next report arrives.
func (s *server) leftOfReported() float64 {
	return max(s.peers.requests-s.finishing*reportSpan, 0)
}

// fillLevel is the level that all loads below it are raised to by an added sum. The loads are sorted.
func fillLevel(loads []float64, added float64) float64 {
	sum := added
	for i, load := range loads {
		sum += load
		if level := sum / float64(i+1); i+1 == len(loads) || level <= loads[i+1] {
			return level
		}
	}
	return 0
}

// ended is how many of the peers' reported requests at the server have probably ended since the report.
func (in *forecastInput) ended(srv *server) float64 {
	return min(srv.finishing*in.reportAge, srv.peers.requests)
}

// waitingAllowed is how many requests may wait at the engine: a short wait costs no response its target, and engines that
// are kept just full are idle at times.
func (s *server) waitingAllowed() float64 {
	if s.finishing > 0 {
		return s.finishing * s.service.flow.wait
	}
	return s.service.flow.waiting
}

// expectRoom sets what is expected of the server's slots at this moment.
func (v *serverView) expectRoom(in *forecastInput) {
	if v.server.service.slots <= 0 {
		return
	}
	if v.server.inSlowStart(in.now) {
		v.room = minRoom // it gets what its slow start allows
		return
	}
	v.spare = in.ended(v.server) + v.server.waitingAllowed()
	arrived := v.server.arriving * in.reportAge
	v.room = max(float64(v.server.service.slots)+v.spare-v.known-arrived, minRoom)
}

// pickByRoom chooses a server at random, in proportion to its expected room, so that instances which know the same send to
// different servers. ok is false if no server has any.
func (w *World) pickByRoom(list []serverView) (v serverView, ok bool) {
	sum := 0.0
	for i := range list {
		sum += list[i].room
	}
	if sum <= 0 {
		return serverView{}, false
	}
	left := sum * w.rng.Float64()
	for i := range list {
		if left -= list[i].room; left < 0 {
			return list[i], true
		}
	}
	return list[len(list)-1], true
}
