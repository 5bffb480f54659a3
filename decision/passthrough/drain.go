package passthrough

import "time"

// setDrained sets the failure domains that get no new requests. When a domain is no longer
// drained, its servers may all have just started, so they enter slow start.
//
// Load: a failure domain that is drained for maintenance under full traffic. Harm prevented:
// requests cut off when it goes down, and a burst from all instances at its idle servers once
// it is back.
func (w *World) setDrained(domains []string) {
	before := w.drained
	w.drained = map[string]bool{}
	for _, domain := range domains {
		w.drained[domain] = true
	}
	for _, s := range w.servers {
		s.drained = w.drained[s.Domain]
	}
	for domain := range before {
		if !w.drained[domain] {
			w.beginDomainSlowStart(domain, CauseDomainUndrained)
		}
	}
	for _, s := range w.services {
		w.markFreed(s)
	}
}

// beginDomainSlowStart puts all servers of a failure domain in slow start.
func (w *World) beginDomainSlowStart(domain string, cause SlowStartCause) {
	count := 0
	var span time.Duration
	for _, s := range w.servers {
		if s.Domain != domain {
			continue
		}
		begin := s.beginSlowStart
		if cause == CauseDomainLost {
			w.path.remember(s, w.now)
			begin = s.presumeSlowStart
		}
		if begin(s.assumedSlowStart(), w.now) {
			count++
			span = max(span, s.assumedSlowStart())
		}
	}
	if count > 0 {
		w.emit(SlowStartBegun{Domain: domain, ServerCount: count, Duration: span, Cause: cause})
	}
}

// serverLost records that a server could not be reached or lost a connection: it may restart at
// any moment. If several servers of a failure domain are lost and none there responds, the
// whole domain is assumed to restart, as most instances have not tried each of its servers by
// then.
func (w *World) serverLost(s *server) {
	if s.service.slowStart.span <= 0 || s.gone {
		return
	}
	w.enterSlowStart(s, s.assumedSlowStart(), CauseServerLost)
	lost := w.lostServers[s.Domain]
	if lost == nil {
		lost = map[*server]bool{}
		w.lostServers[s.Domain] = lost
	}
	lost[s] = true
	if len(lost) >= domainLostThreshold {
		delete(w.lostServers, s.Domain)
		w.beginDomainSlowStart(s.Domain, CauseDomainLost)
	}
}

// domainResponded records that a server has responded, so its failure domain is up.
func (w *World) domainResponded(s *server) { delete(w.lostServers, s.Domain) }
