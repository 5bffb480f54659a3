package passthrough

import (
	"time"

	"masticplank.example/decision/reach"
)

// An instance may lose its links to backend servers while callers, the store and the other instances still reach it. Its
// failed connections then say nothing about the servers. They are compared with what peers see (package reach): if a peer
// reaches a server that this instance does not, the link is lost, and requests are sent through peers.

const (
	// minHeldReports is how many servers must be missed in a row for reports to the other instances to be held back.
	minHeldReports = 2
	// heldReportDelay is for how long reports to the other instances are held back while the path is
	// suspect: as long as it takes to compare with a peer.
	heldReportDelay = 600 * time.Millisecond
	// longSuspicion is how long the path must have been suspect, without any connection to a server, for
	// conclusions about the servers to be dropped although no peer could be asked.
	longSuspicion = time.Second
	// knowledgeTTL is how long what was known of a missed server may be restored while others are reached. After that
	// the server may have restarted.
	knowledgeTTL = 2 * time.Second
)

// DialOutcome is how a connection attempt to a server went.
type DialOutcome uint8

const (
	// DialSucceeded: the connection is open.
	DialSucceeded DialOutcome = iota
	// DialSlow: the connection is not open after a time that is long for one.
	DialSlow
	// DialFailed: the connection was refused, or has timed out.
	DialFailed
	// TunnelSucceeded: a peer has connected to the server for this instance.
	TunnelSucceeded
	// TunnelFailed: a peer that reaches other servers could not connect to this one.
	TunnelFailed
	// PeersCutOff: a search among the peers has found none that reaches any server.
	PeersCutOff
)

// DialEnded reports how a connection to a server went.
type DialEnded struct {
	Server  Server
	Outcome DialOutcome
}

// PathChanged reports that links to the servers were lost, or are back. Unreached is the number of servers that were
// missed in a row.
type PathChanged struct {
	State     reach.State
	Unreached int
	// Duration is for how long links were lost; 0 for reach.Lost.
	Duration time.Duration
}

// ProbePath asks for a connection to the server that carries no request, and for its outcome as DialEnded.
type ProbePath struct{ Server Server }

// path is what is known of this instance's links, and what follows for the conclusions about the servers.
type path struct {
	links *reach.Links
	// before is what was known of the servers before they were missed.
	before map[*server]serverKnowledge
	// restoredAt is when this instance was last no longer cut off.
	restoredAt time.Time
	// held are reports to the other instances that wait for the state to be clear.
	held []heldReport
}

// serverKnowledge is what may wrongly be concluded about a server from failed connections.
type serverKnowledge struct {
	backoffUntil   time.Time
	slowStartUntil time.Time
	health         health
	// at is when this was known.
	at time.Time
	// crashes are the fingerprints that were counted as crashes of the server since.
	crashes []uint64
}

// heldReport is a report that is held back.
type heldReport struct {
	command Command
	at      time.Time
}

func newPath() path {
	return path{links: reach.NewLinks(), before: map[*server]serverKnowledge{}}
}

// remember keeps what is known of a server before anything is concluded from its failed connections.
func (p *path) remember(s *server, now time.Time) {
	if _, known := p.before[s]; !known {
		p.before[s] = serverKnowledge{backoffUntil: s.backoffUntil, slowStartUntil: s.slowStart.until, health: s.health, at: now}
	}
}

// forgetOld drops what was known of servers without evidence against their links, or long ago.
//
// Load: servers that restart after they were missed. Harm prevented: a later cut ends their slow start, as an earlier
// state is restored, and they crash again.
func (p *path) forgetOld(now time.Time) {
	for s, before := range p.before {
		if !p.links.HasEvidence(s.ID) || now.Sub(before.at) >= knowledgeTTL {
			delete(p.before, s)
		}
	}
}

// setServers forgets the links to servers that are no longer listed.
func (p *path) setServers(now time.Time, servers map[string]*server) {
	p.links.SetServers(now, len(servers), func(id string) bool { return servers[id] != nil })
	for s := range p.before {
		if s.gone {
			delete(p.before, s)
		}
	}
}

// observeDial applies the outcome of a connection to a server.
func (w *World) observeDial(e DialEnded) {
	s := w.findProcess(e.Server.process())
	if s == nil {
		return
	}
	switch e.Outcome {
	case DialSucceeded:
		w.linkReached(s)
	case DialSlow, DialFailed:
		w.linkMissed(s)
	case TunnelSucceeded:
		w.peerReached(s)
	case TunnelFailed:
		w.path.links.PeersMissed(w.now, s.ID)
	case PeersCutOff:
		w.path.links.NobodyReaches(w.now)
	}
}

// linkMissed records that a server was not reached. A former process says nothing about the link to the present one.
func (w *World) linkMissed(s *server) {
	if s.gone {
		return
	}
	w.path.remember(s, w.now)
	w.path.links.Missed(w.now, s.ID)
}

// peerReached records that a peer reaches a server. If this instance does not, what was concluded from its failed
// connections is dropped.
//
// Load: an instance that is cut off from servers while its callers, the store and its peers reach it. Harm prevented:
// servers in backoff, ejected or in slow start for up to 12 s after the path is back; requests that all instances
// refuse as having crashed servers; and good versions that are judged bad.
func (w *World) peerReached(s *server) {
	links := w.path.links
	wasState, _ := links.State()
	if !links.PeerReached(w.now, s.ID) {
		return
	}
	state, _ := links.State()
	if state == reach.Lost && wasState != reach.Lost {
		w.emit(PathChanged{State: reach.Lost, Unreached: links.MissedCount()})
	}
	if links.IsCutOff() {
		w.dropConclusions()
	} else if state == reach.Lost {
		w.dropLinkConclusions(s)
	}
}

// linkReached records that a direct connection has succeeded.
func (w *World) linkReached(s *server) {
	p := &w.path
	state, since := p.links.State()
	wasCutOff := p.links.IsCutOff()
	unreached := p.links.MissedCount()
	p.links.Reached(w.now, s.ID)
	now, _ := p.links.State()
	if state == reach.Lost && now != reach.Lost {
		w.emit(PathChanged{State: reach.Up, Unreached: unreached, Duration: w.now.Sub(since)})
	}
	if wasCutOff || state == reach.Suspect && w.now.Sub(since) >= longSuspicion {
		p.restoredAt = w.now
		w.dropConclusions()
	}
	p.forgetOld(w.now)
	if unreached == 1 {
		w.releaseHeldAfter(0) // the server that was missed is lost, and not the path
	}
}

// dropConclusions restores what was known of the servers before they were not reached.
func (w *World) dropConclusions() {
	p := &w.path
	for s, before := range p.before {
		if s.SlowStartRemaining == 0 {
			s.slowStart.until = before.slowStartUntil
		}
		w.dropLinkConclusions(s)
	}
	clear(p.before)
	clear(w.lostServers)
	p.held = p.held[:0]
}

// dropLinkConclusions restores what was known of one server. A time that it has asked for still holds, and so does its
// slow start: it may have restarted.
func (w *World) dropLinkConclusions(s *server) {
	before, known := w.path.before[s]
	if !known {
		return
	}
	s.backoffUntil = before.backoffUntil
	s.backOff(s.statedBackoffUntil)
	s.health = before.health
	for _, fingerprint := range before.crashes {
		w.crashes.withdraw(fingerprint)
	}
	before.crashes = nil
	w.path.before[s] = before
	w.markFreed(s.service)
}

// PlanPath says how to connect to the server now. It counts the probe that it asks for.
func (w *World) PlanPath(now time.Time, id string) reach.Plan { return w.path.links.Plan(now, id) }

// HasNoWay reports whether requests are refused, as neither this instance nor its peers reach the servers.
func (w *World) HasNoWay(now time.Time) bool { return w.path.links.NobodyHasAPath(now) }

// AsksPeers reports whether peers are asked for a connection to the server now.
func (w *World) AsksPeers(now time.Time, id string) bool { return w.path.links.AsksPeers(now, id) }

// PathUndisturbed reports whether there is no evidence against any link, so that a connection that succeeds
// changes nothing.
func (w *World) PathUndisturbed() bool { return w.path.links.Undisturbed() }

// Path returns the state of the links to the servers, and since when it has been so.
func (w *World) Path() (reach.State, time.Time) { return w.path.links.State() }

// PathStanding is what this instance tells its peers of its path.
func (w *World) PathStanding(now time.Time) reach.Standing { return w.path.links.Standing(now) }

// MissesServer reports whether the latest direct connection to the server has failed, a moment ago, or its link is lost.
func (w *World) MissesServer(now time.Time, id string) bool { return w.path.links.Misses(now, id) }

// LinkLostSince returns since when requests for the server are sent through peers only; ok is false if they are not.
func (w *World) LinkLostSince(now time.Time, id string) (since time.Time, ok bool) {
	return w.path.links.LostSince(now, id)
}

// UsableServer returns the listed server with the id and the address, if it may get requests.
func (w *World) UsableServer(now time.Time, id, address string) (Server, bool) {
	s := w.servers[id]
	if s == nil || s.Address != address || !s.inService() || now.Before(s.statedBackoffUntil) {
		return Server{}, false
	}
	return s.Server, true
}

// saysNothing reports whether an attempt's failure says nothing about its server: its link was lost
// meanwhile, or the connection to a peer broke.
func (w *World) saysNothing(r *request, s *server, e AttemptEnded) bool {
	if e.Result != NotSent && e.Result != Broken {
		return false
	}
	if e.PathLost || e.TunnelLost || e.NoPermit || e.NoGrant {
		return true
	}
	return !e.ViaPeer && (w.path.links.IsLost(w.now, s.ID) || r.sent.Before(w.path.restoredAt))
}

// observeSent drops the evidence against links if the attempt was sent after it: its connection has
// succeeded since then.
func (w *World) observeSent(r *request, s *server, e AttemptEnded) {
	links := w.path.links
	if state, _ := links.State(); !e.ViaPeer && state == reach.Up && !links.Undisturbed() && r.sent.After(links.LastMissedAt()) {
		w.linkReached(s)
	}
}

// observeLostConnection records that an attempt's connection broke. If no other server is missed, one is probed, to
// tell a server that has crashed from a path that is lost.
//
// Load: instances that lose their path by resets, with equal requests on it. Harm prevented: each reports those of the
// first server that it has lost as crashes, and all instances refuse such requests.
func (w *World) observeLostConnection(s *server, r *request, e AttemptEnded) {
	if e.ViaPeer || s.gone {
		return
	}
	isFirst := w.path.links.MissedCount() == 0
	w.linkMissed(s)
	if !e.HeldUnread {
		before := w.path.before[s]
		before.crashes = append(before.crashes, r.Fingerprint)
		w.path.before[s] = before
	}
	if other, ok := w.OtherServer(s.ID); ok && isFirst {
		w.emit(ProbePath{other})
	}
}

// OtherServer returns a server other than the one that is expected to be reached; ok is false if there is none.
func (w *World) OtherServer(id string) (other Server, ok bool) {
	var best *server
	var bestScore uint64
	salt := hashString(id) ^ uint64(w.now.UnixNano())
	for _, s := range w.servers {
		score := mix(s.hash ^ salt)
		if s.ID != id && s.usable(w.now) && !w.path.links.Misses(w.now, s.ID) && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return Server{}, false
	}
	return best.Server, true
}

// reportCrash emits a report of a crash to the other instances. It is held back while the server, or several, are missed
// and no other one was reached since.
func (w *World) reportCrash(c CrashSuspected) {
	if w.path.links.MissedCount() == 0 || len(w.servers) == 1 {
		w.emit(c)
		return
	}
	w.path.held = append(w.path.held, heldReport{c, w.now})
}

// report emits a report to the other instances. It is held back while several servers are missed.
func (w *World) report(c Command) {
	if w.path.links.MissedCount() < minHeldReports {
		w.emit(c)
		return
	}
	w.path.held = append(w.path.held, heldReport{c, w.now})
}

// releaseHeldAfter emits the reports that were held back for the delay.
func (w *World) releaseHeldAfter(delay time.Duration) {
	p := &w.path
	for len(p.held) > 0 && w.now.Sub(p.held[0].at) >= delay {
		w.emit(p.held[0].command)
		p.held = p.held[1:]
	}
}

func (DialEnded) event()     {}
func (PathChanged) command() {}
func (ProbePath) command()   {}
