package decision

import (
	"container/heap"
	"time"
)

// capacity is how many requests the server runs at once; a row that names none
// has one.
func (s *server) capacity() int { return max(s.Slots, 1) }

// refresh recomputes whether the server can take a request now.
func (w *World) refresh(s *server) {
	w.setFree(s, w.hasFreeSlot(s))
}

// canTake is the capacity and state filter.
//
// Load: full saturation, with lagging reports. The own attempts never pass the
// server's slots. What others run there counts while the report is young, so
// that eight instances together do not overload a server. But a first own
// attempt may pass the slots by a part: else an instance that joins a saturated
// pool would never get a slot, since the others refill theirs as they end. It
// makes the others see the server as full, and so their part shrinks.
func (w *World) hasFreeSlot(s *server) bool {
	if s.gone || s.leaving || w.isBarred(s) {
		return false
	}
	if w.now.Before(s.backoffUntil) {
		w.wakeAt(s, s.backoffUntil)
		return false
	}
	if s.running >= s.capacity() {
		return false
	}
	if s.running+s.otherLoad < s.capacity() {
		return true
	}
	if s.running == 0 && s.otherLoad < s.capacity()+w.overcommit(s) {
		return true
	}
	if !w.reportFresh(s) {
		return true
	}
	w.wakeAt(s, s.reportedAt.Add(w.cfg.LoadReportTTL))
	return false
}

// overcommit is by how many attempts instances that have none at the server may
// pass its slots.
func (w *World) overcommit(s *server) int {
	return max(int(w.cfg.Overcommit*float64(s.capacity())), 1)
}

// setFree enters the server into its pools' free sets or takes it out.
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

func (p *pool) addFree(s *server, member int) {
	s.memberships[member].pos = len(p.free)
	p.free = append(p.free, freeSlot{server: s, member: member})
}

func (p *pool) removeFree(pos int) {
	last := len(p.free) - 1
	moved := p.free[last]
	p.free[pos] = moved
	moved.server.memberships[moved.member].pos = pos
	p.free[last] = freeSlot{}
	p.free = p.free[:last]
}

// shut keeps the server out of the choice until at.
func (w *World) backOff(s *server, at time.Time) {
	if !at.After(s.backoffUntil) {
		return
	}
	s.backoffUntil = at
	w.refresh(s)
}

// wakeAt has the server looked at again at a time, unless that is to be done
// sooner anyway.
func (w *World) wakeAt(s *server, at time.Time) {
	if !s.wakeAt.IsZero() && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	w.wakeSeq++
	heap.Push(&w.wakes, wake{at: at, seq: w.wakeSeq, server: s})
}
