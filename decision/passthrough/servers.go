package passthrough

import (
	"hash/fnv"
	"time"
)

// configure applies a configuration. Services that it no longer has keep their servers
// until the server list drops them.
func (w *World) configure(x *Index) {
	for _, s := range x.Services {
		svc := w.serviceOf(s.Name)
		svc.engine = s.Slots > 0
		svc.slots = s.Slots
		svc.tokenCapacity, svc.tokensPerEvent, svc.maxConns = s.TokenCapacity, s.TokensPerEvent, s.MaxConns
		w.configureSlowStart(svc, s)
	}
}

func (w *World) serviceOf(name string) *service {
	s := w.services[name]
	if s == nil {
		s = &service{name: name, budget: NewRetryBudget(w.cfg.RetryRatio, w.retrySlack(), w.cfg.RetryWindow)}
		w.services[name] = s
	}
	return s
}

// maxDepartedServers bounds the processes that are kept after their entries have gone: the largest planned
// deployment has 10,000 backend servers, and in an outage of the store all entries may expire at once.
const maxDepartedServers = 16384

// setServers applies a list of backend servers. A server that restarted under its id gets
// a new entry, as all that was known is about its previous process. If a process is listed again after
// its entry has gone, all that was known of it still holds.
//
// Load: entries that expire while the store is down, or that a restored store lacks, and are written
// again by the same processes. Harm prevented: what a server has stated (that it is leaving, a rate
// limit) or has shown (failures) is forgotten, and it gets its full share of requests again.
func (w *World) setServers(list []Server) {
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
		known := w.servers[s.ID]
		if known != nil && known.process() == s.process() {
			s.Leaving = s.Leaving || known.Leaving
			changed := s.SlowStartRemaining != known.SlowStartRemaining
			known.Server, known.listedSlots = s, s.Slots
			if changed {
				w.enterSlowStart(known, s.SlowStartRemaining, CauseListed)
			}
			continue
		}
		added := w.addServer(s)
		w.enterSlowStart(added, s.SlowStartRemaining, CauseListed)
		if known != nil {
			w.retire(known)
			w.path.links.Forget(w.now, s.ID)
			added.slowStart.until = known.slowStart.until
			w.enterSlowStart(added, added.service.slowStart.span, CauseRestarted)
		}
	}
	for id, known := range w.servers {
		if !seen[id] {
			w.retire(known)
			delete(w.servers, id)
		}
	}
	w.rebuildIndexes(list)
	w.path.setServers(w.now, w.servers)
	w.retainSpeeds()
	w.retainOutliers()
}

// addServer adds the process of an entry that is new, or is back.
func (w *World) addServer(s Server) *server {
	added, known := w.departed.Get(s.process())
	if known {
		w.departed.Remove(s.process())
		added.Server, added.gone, added.shownLeaving = s, false, false
	} else {
		added = &server{Server: s, service: w.serviceOf(s.Service), hash: hashString(s.ID), processHash: s.process().hash()}
	}
	added.drained, added.listedSlots = w.drained[s.Domain], s.Slots
	if added.limit.Limited {
		w.limitedServers[added] = true
	}
	w.servers[s.ID] = added
	return added
}

// retire records that a process is no longer listed.
func (w *World) retire(s *server) {
	s.gone = true
	w.departed.Add(s.process(), s)
}

// findProcess returns the process of a server, listed or not; nil if it is unknown.
func (w *World) findProcess(p serverProcess) *server {
	if s := w.servers[p.id]; s != nil && s.process() == p {
		return s
	}
	s, _ := w.departed.Peek(p)
	return s
}

// enterSlowStart puts one server in slow start and reports it.
func (w *World) enterSlowStart(s *server, span time.Duration, cause SlowStartCause) {
	if s.beginSlowStart(span, w.now) {
		w.emit(SlowStartBegun{Server: s.ID, Domain: s.Domain, ServerCount: 1, Duration: span, Cause: cause})
	}
}

// rebuildIndexes rebuilds the services' server lists, in the order of list, serversByKey and
// serversByProcess.
func (w *World) rebuildIndexes(list []Server) {
	w.listVersion++
	for _, s := range w.services {
		s.servers = s.servers[:0]
	}
	clear(w.serversByKey)
	clear(w.serversByProcess)
	for _, s := range list {
		known := w.servers[s.ID]
		w.serversByKey[known.peerKey()] = known
		w.serversByProcess[known.processHash] = known
		known.service.servers = append(known.service.servers, known)
	}
	for _, s := range w.services {
		w.markFreed(s)
	}
}

// observeLoad applies a server's load report. One of a former process says nothing about the present one.
func (w *World) observeLoad(e LoadReported) {
	if s := w.servers[e.Server]; s != nil && (e.StartTime == 0 || e.StartTime == s.StartTime) {
		w.domainResponded(s)
		if !s.service.engine {
			s.service.throttle.observeLoad(e.Load, w.now)
		}
		w.setReportedLoad(s, e.Load)
	}
}

// setReportedLoad records the load that a server reports now.
func (w *World) setReportedLoad(s *server, load Load) {
	s.reported, s.reportedAt, s.ownAtReport, s.prefillingAtReport = load, w.now, s.ownRequests, len(s.prefilling)
	s.service.prefill.meanOthersPrefilling.add(s.othersPrefilling())
	s.service.prefill.lastReportAt = w.now
	s.service.meanOthers.add(max(s.reportedOthers(), 0))
	w.observeSpeed(s, load)
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	w.markFreed(s.service)
}

const (
	// engineLoadTTL is how long an engine's reported load counts: an instance that sends 13
	// requests per second to 15 servers gets a report of each about once a second.
	engineLoadTTL = 3 * time.Second
	// plainLoadResponses is the same for a plain server, in mean response times, with the
	// lower bound minPlainLoadTTL. A burst of requests of 30 ms is over before another
	// instance learns of it: with a TTL of seconds, each of 81 instances may refuse a tenth
	// of the requests while servers are idle.
	plainLoadResponses = 6
	minPlainLoadTTL    = 60 * time.Millisecond
)

// loadTTL is how long a reported load of the service's servers counts.
func (s *service) loadTTL() time.Duration {
	if s.engine {
		return engineLoadTTL
	}
	responses := seconds(plainLoadResponses * s.intervals.average(noModel).value)
	return min(max(responses, minPlainLoadTTL), engineLoadTTL)
}

// reportedOthers is the load that the server reported, without this instance's requests at
// that time.
func (s *server) reportedOthers() float64 {
	return float64(s.reported.Running + s.reported.Waiting - s.ownAtReport)
}

// usable reports whether the server may get new requests, ejected by this instance's own evidence or not.
func (s *server) usable(now time.Time) bool {
	return s.inService() && !s.backingOff(now) && !s.leftOut
}

// inService reports whether the server may get requests now or once its backoff has ended.
func (s *server) inService() bool { return !s.gone && !s.leaving() && !s.drained }

// hashString is a hash that is the same at all instances.
func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails, by its contract
	return mix(h.Sum64())
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
