package decision

import "slices"

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
		w.joinPools(s)
		return
	}
	// The earliest word wins: a server that said that it is leaving stays so
	// until the list has dropped it, since the list lags.
	leaving := s.leaving || row.Leaving
	if sameServer(s.Server, row) && leaving == s.leaving {
		return
	}
	w.leavePools(s)
	s.Server = row
	s.leaving = leaving
	w.joinPools(s)
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
	w.leavePools(s)
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
	w.leavePools(s)
	s.leaving = true
	w.joinPools(s)
	w.recheck = true
	w.emit(ShareLeaving{Server: id})
}

// join enters a server into its pools.
func (w *World) joinPools(s *server) {
	s.memberships = s.memberships[:0]
	if s.Service != "" {
		s.addMember(w.servicePool(s.Service))
	}
	for _, id := range s.Versions {
		if s.Service == "" {
			s.addMember(w.versionPool(id))
		}
	}
	if !s.leaving {
		for _, m := range s.memberships {
			m.pool.usable++
			m.pool.slots += s.capacity()
		}
	}
	w.refresh(s)
}

// addMember enters the pool once, also where a list names a version twice.
func (s *server) addMember(p *pool) {
	for _, m := range s.memberships {
		if m.pool == p {
			return
		}
	}
	s.memberships = append(s.memberships, membership{pool: p, pos: -1})
}

// part takes a server out of its pools.
func (w *World) leavePools(s *server) {
	w.setFree(s, false)
	if !s.leaving {
		for _, m := range s.memberships {
			m.pool.usable--
			m.pool.slots -= s.capacity()
		}
	}
	s.memberships = s.memberships[:0]
}
