package decision

import (
	"container/heap"
	"slices"
	"time"
)

// ingestServers makes the table follow the platform's list. Only rows that
// changed are touched, so that a list of 10,000 with one change costs one pass
// and no rebuilding.
func (w *World) ingestServers(rows []Server) {
	listed := make(map[ServerID]bool, len(rows))
	for _, row := range rows {
		listed[row.ID] = true
		w.listServer(row)
	}
	kept := w.serverList[:0]
	for _, s := range w.serverList {
		if !listed[s.ID] {
			w.dropServer(s)
			continue
		}
		kept = append(kept, s)
	}
	clear(w.serverList[len(kept):])
	w.serverList = kept
	w.applyOutliers()
	w.recheck = true
}

func (w *World) listServer(row Server) {
	s := w.servers[row.ID]
	if s == nil {
		s = w.newServer(row)
		w.servers[row.ID] = s
		w.serverList = append(w.serverList, s)
		w.join(s)
		return
	}
	// The earliest word wins: a server that said that it is leaving stays so
	// until the list has dropped it, since the list lags.
	leaving := s.leaving || row.Leaving
	if sameServer(s.Server, row) && leaving == s.leaving {
		return
	}
	w.part(s)
	s.Server = row
	s.leaving = leaving
	w.join(s)
}

// newServer makes a row. One that was dropped from the list while it still ran
// something comes back with what it runs, so that its slots are not given twice.
func (w *World) newServer(row Server) *server {
	s := w.departed[row.ID]
	if s == nil {
		return &server{Server: row, leaving: row.Leaving}
	}
	delete(w.departed, row.ID)
	s.Server = row
	s.leaving = row.Leaving
	s.gone = false
	return s
}

func sameServer(a, b Server) bool {
	return a.Domain == b.Domain && a.Service == b.Service && a.Slots == b.Slots &&
		slices.Equal(a.Versions, b.Versions)
}

// dropServer forgets a server, once the attempts that it runs have ended.
func (w *World) dropServer(s *server) {
	w.part(s)
	s.gone = true
	delete(w.servers, s.ID)
	if s.running > 0 {
		w.departed[s.ID] = s
	}
	w.prefixes.Forget(s.ID)
}

// ingestLeaving stops new work to a server at once and passes the word on the
// first time that it is heard.
func (w *World) ingestLeaving(id ServerID) {
	s := w.servers[id]
	if s == nil || s.leaving {
		return
	}
	w.part(s)
	s.leaving = true
	w.join(s)
	w.recheck = true
	w.emit(ShareLeaving{Server: id})
}

// capacity is how many requests the server runs at once; a row that names none
// has one.
func (s *server) capacity() int { return max(s.Slots, 1) }

// join enters a server into its pools.
func (w *World) join(s *server) {
	s.member = s.member[:0]
	if s.Service != "" {
		s.addMember(w.serviceOf(s.Service))
	}
	for _, id := range s.Versions {
		if s.Service == "" {
			s.addMember(w.poolOf(id))
		}
	}
	if !s.leaving {
		for _, m := range s.member {
			m.pool.usable++
			m.pool.slots += s.capacity()
		}
	}
	w.refresh(s)
}

// addMember enters the pool once, also where a list names a version twice.
func (s *server) addMember(p *pool) {
	for _, m := range s.member {
		if m.pool == p {
			return
		}
	}
	s.member = append(s.member, membership{pool: p, pos: -1})
}

// part takes a server out of its pools.
func (w *World) part(s *server) {
	w.setFree(s, false)
	if !s.leaving {
		for _, m := range s.member {
			m.pool.usable--
			m.pool.slots -= s.capacity()
		}
	}
	s.member = s.member[:0]
}

// refresh recomputes whether the server can take a request now.
func (w *World) refresh(s *server) {
	w.setFree(s, w.canTake(s))
}

// canTake is the capacity and state filter.
//
// Load: full saturation, with lagging reports. The own attempts never pass the
// server's slots. What others run there counts while the report is young, so
// that eight instances together do not overload a server. But a first own
// attempt may pass the slots by a part: else an instance that joins a saturated
// pool would never get a slot, since the others refill theirs as they end. It
// makes the others see the server as full, and so their part shrinks.
func (w *World) canTake(s *server) bool {
	if s.gone || s.leaving || w.isBarred(s) {
		return false
	}
	if w.now.Before(s.shutUntil) {
		w.wakeAt(s, s.shutUntil)
		return false
	}
	if s.running >= s.capacity() {
		return false
	}
	if s.running+s.others < s.capacity() {
		return true
	}
	if s.running == 0 && s.others < s.capacity()+w.overcommit(s) {
		return true
	}
	if !w.reportFresh(s) {
		return true
	}
	w.wakeAt(s, s.reportedAt.Add(w.cfg.ReportLife))
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
	for i := range s.member {
		if free {
			s.member[i].pool.addFree(s, i)
		} else {
			s.member[i].pool.removeFree(s.member[i].pos)
			s.member[i].pos = -1
		}
	}
}

func (p *pool) addFree(s *server, member int) {
	s.member[member].pos = len(p.free)
	p.free = append(p.free, freeSlot{server: s, member: member})
}

func (p *pool) removeFree(pos int) {
	last := len(p.free) - 1
	moved := p.free[last]
	p.free[pos] = moved
	moved.server.member[moved.member].pos = pos
	p.free[last] = freeSlot{}
	p.free = p.free[:last]
}

// shut keeps the server out of the choice until at.
func (w *World) shut(s *server, at time.Time) {
	if !at.After(s.shutUntil) {
		return
	}
	s.shutUntil = at
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

// poolOf returns the version's pool, made where it is missing: the list and the
// manifest may come in either order.
func (w *World) poolOf(id VersionID) *pool {
	p := w.pools[id]
	if p == nil {
		p = w.newPool()
		p.version = id
		w.pools[id] = p
	}
	return p
}

func (w *World) newPool() *pool {
	p := &pool{busyPos: -1}
	if w.cfg.Policy.FirstCome {
		p.shared = &flow{}
		p.queue.Init(&p.shared.Flow, w.fairness.NewAccount(1))
	}
	return p
}

func (w *World) serviceOf(id ServiceID) *pool {
	p := w.services[id]
	if p == nil {
		p = w.newPool()
		p.service = id
		w.services[id] = p
	}
	return p
}
