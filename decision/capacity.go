package decision

import (
	"container/heap"
	"time"
)

// capacity is how many requests the server runs concurrently; 1 if the row gives
// no number.
func (s *server) capacity() int { return max(s.Slots, 1) }

// refreshFree adds the server to the free sets of its pools or removes it,
// depending on whether it can take a request now.
func (w *World) refreshFree(s *server) {
	w.setFree(s, w.hasFreeSlot(s))
}

// hasFreeSlot reports whether the server's state and load allow another attempt.
//
// Load: full saturation, with lagging load reports. Harm prevented: eight instances
// together overload a server. This instance's own attempts never exceed the
// server's slots, and the attempts of the others count while the report is recent.
// The first own attempt may exceed the slots by a fraction (Config.Overcommit): an
// instance that joins a saturated pool would otherwise never get a slot, since the
// others refill theirs as attempts end. The excess makes the others see the server
// as full, so that their part shrinks.
func (w *World) hasFreeSlot(s *server) bool {
	if s.gone || s.leaving || w.isBlocked(s) {
		return false
	}
	if w.now.Before(s.backoffUntil) {
		w.scheduleWake(s, s.backoffUntil)
		return false
	}
	if s.running >= s.capacity() {
		return false
	}
	if s.running+s.otherRequests < s.capacity() {
		return true
	}
	if s.running == 0 && s.otherRequests < s.capacity()+w.overcommit(s) {
		return true
	}
	if !w.hasRecentReport(s) {
		return true
	}
	w.scheduleWake(s, s.reportedAt.Add(w.cfg.LoadReportTTL))
	return false
}

// overcommit is the number of requests by which the server's slots may be exceeded
// when an instance that runs nothing there dispatches its first attempt.
func (w *World) overcommit(s *server) int {
	return max(int(w.cfg.Overcommit*float64(s.capacity())), 1)
}

// setFree adds the server to the free sets of its pools or removes it.
func (w *World) setFree(s *server, free bool) {
	if s.isFree == free {
		return
	}
	s.isFree = free
	for i := range s.memberships {
		if free {
			s.memberships[i].pool.addFree(s, i)
		} else {
			s.memberships[i].pool.removeFree(s.memberships[i].pos)
			s.memberships[i].pos = -1
		}
	}
}

func (p *pool) addFree(s *server, membershipIndex int) {
	s.memberships[membershipIndex].pos = len(p.free)
	p.free = append(p.free, freeServer{server: s, membershipIndex: membershipIndex})
}

func (p *pool) removeFree(pos int) {
	last := len(p.free) - 1
	moved := p.free[last]
	p.free[pos] = moved
	moved.server.memberships[moved.membershipIndex].pos = pos
	p.free[last] = freeServer{}
	p.free = p.free[:last]
}

// backOff excludes the server from selection until the given time.
func (w *World) backOff(s *server, until time.Time) {
	if !until.After(s.backoffUntil) {
		return
	}
	s.backoffUntil = until
	w.refreshFree(s)
}

// scheduleWake schedules a call of refreshFree for the server, unless an earlier one
// is pending.
func (w *World) scheduleWake(s *server, at time.Time) {
	if !s.wakeAt.IsZero() && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	w.wakeSeq++
	heap.Push(&w.wakes, wake{at: at, seq: w.wakeSeq, server: s})
}

// hasRecentReport reports whether the server's last load report is recent enough to
// count.
func (w *World) hasRecentReport(s *server) bool {
	return w.now.Sub(s.reportedAt) < w.cfg.LoadReportTTL
}
