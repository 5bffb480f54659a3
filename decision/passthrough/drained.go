package passthrough

import "time"

// setDrained takes over which failure domains get no new work. The servers of one that is taken
// back may be cold, all of them at the same moment.
//
// Load: a failure domain that is emptied for work on it, under full traffic. Harm prevented:
// requests cut when it goes down; and a rush of all instances at its idle servers once it is
// back.
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

// beginDomainSlowStart takes all servers of a failure domain for cold.
func (w *World) beginDomainSlowStart(domain string, cause SlowStartCause) {
	count := 0
	var span time.Duration
	for _, s := range w.servers {
		if s.Domain != domain {
			continue
		}
		if s.beginSlowStart(s.assumedSlowStart(), w.now) {
			count++
			span = max(span, s.assumedSlowStart())
		}
	}
	if count > 0 {
		w.emit(SlowStartBegun{Domain: domain, Servers: count, Duration: span, Cause: cause})
	}
}

// lostServer notes that a server could not be reached, or broke off: it may start again at any
// moment. Where several of a failure domain are lost and none there answers, all of it is taken
// to be starting again: most instances have not asked each of its servers meanwhile.
func (w *World) serverLost(s *server) {
	if s.service.slowStart.span <= 0 {
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

// domainAnswers notes that a server has answered: its failure domain is there.
func (w *World) domainResponded(s *server) { delete(w.lostServers, s.Domain) }
