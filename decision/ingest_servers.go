package decision

import "slices"

// ingestServers updates the table to the platform's list. Only rows that changed
// are touched, so that one change in a list of 10,000 costs one pass and rebuilds
// nothing.
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
	w.applyOutlierServers()
	w.recheckNeeded = true
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
	// The list lags: a server that was reported as leaving stays so until the list
	// has dropped it.
	leaving := s.leaving || row.Leaving
	if sameServer(s.Server, row) && leaving == s.leaving {
		return
	}
	w.leavePools(s)
	s.Server = row
	s.leaving = leaving
	w.joinPools(s)
}

// newServer creates a row. A server that was dropped from the list with attempts
// still running gets its old row back, so that its slots are not filled twice.
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

// sameServer reports whether two rows of one server are equal except for Leaving.
func sameServer(a, b Server) bool {
	return a.Domain == b.Domain && a.Service == b.Service && a.Slots == b.Slots &&
		slices.Equal(a.Versions, b.Versions)
}

// dropServer removes a server. Its row is kept in departed until its running
// attempts have ended.
func (w *World) dropServer(s *server) {
	w.leavePools(s)
	s.gone = true
	delete(w.servers, s.ID)
	if s.running > 0 {
		w.departed[s.ID] = s
	}
	w.prefixes.Forget(s.ID)
}

// ingestLeaving stops new requests to a server at once. The first report is shared
// with the peers.
func (w *World) ingestLeaving(id ServerID) {
	s := w.servers[id]
	if s == nil || s.leaving {
		return
	}
	w.leavePools(s)
	s.leaving = true
	w.joinPools(s)
	w.recheckNeeded = true
	w.emit(ShareLeaving{Server: id})
}

// joinPools adds a server to the pools of its versions or of its service.
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
			m.pool.usableServers++
			m.pool.slots += s.capacity()
		}
	}
	w.refreshFree(s)
}

// addMember adds the server to the pool once, even if the list names a version
// twice.
func (s *server) addMember(p *pool) {
	for _, m := range s.memberships {
		if m.pool == p {
			return
		}
	}
	s.memberships = append(s.memberships, membership{pool: p, pos: -1})
}

// leavePools removes a server from its pools.
func (w *World) leavePools(s *server) {
	w.setFree(s, false)
	if !s.leaving {
		for _, m := range s.memberships {
			m.pool.usableServers--
			m.pool.slots -= s.capacity()
		}
	}
	s.memberships = s.memberships[:0]
}
