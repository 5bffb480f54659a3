package reach

import "time"

const (
	// minMissed is how many servers must be missed, with no connection to any other one meanwhile, for the
	// instance to suspect its own path: a single server that is down is the common case.
	minMissed = 2
	// maxMissedForNone is how many servers must be missed in a row, at the most, for an instance to say that it
	// reaches none.
	maxMissedForNone = 12
	// ProbeInterval is the time between two direct connections that carry no request, while links are lost.
	ProbeInterval = 200 * time.Millisecond
	// missedTTL is for how long peers are told that a server is missed: it may be back, and this instance send it
	// nothing.
	missedTTL = 2 * time.Second
	// peersMissedPause is for how long peers are not asked for a server that they could not reach either.
	peersMissedPause = 700 * time.Millisecond
	// nobodyPause is for how long requests are refused after a search has found no peer with a path. The search
	// goes on meanwhile.
	nobodyPause = 300 * time.Millisecond
	// maxNeeded is how many servers must be missed in a row, at the most, for an instance to consider itself cut off
	// from all. A cut that ends within shortCut was none: the number doubles, and falls back after calmTime.
	maxNeeded = 8
	shortCut  = 3 * time.Second
	calmTime  = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the time after which a lost link is tried again with a request,
	// beside a peer, as another link is up. It doubles each time that the link is still lost.
	minRetryDelay = time.Second
	maxRetryDelay = 8 * time.Second
)

// State is what an instance knows of its links as a whole.
type State uint8

const (
	// Up: no link is known to be lost.
	Up State = iota
	// Suspect: connections to several servers have failed, and none has succeeded since.
	Suspect
	// Lost: peers reach several servers that this instance does not, or all.
	Lost
)

// String is the state's name in logs.
func (s State) String() string {
	return [...]string{"up", "suspect", "lost"}[s]
}

// Standing is what an instance tells its peers of its own path.
type Standing uint8

const (
	// Unknown: nothing is known.
	Unknown Standing = iota
	// All: the instance misses no server, as far as it knows.
	All
	// Some: it misses some servers and reaches others.
	Some
	// Doubtful: it has missed several servers and reached none since.
	Doubtful
	// None: it reaches none.
	None
)

// Plan says how to connect to a server.
type Plan struct {
	// Direct and ViaPeer say which ways to try. If both are set, a peer is asked once the direct connection is
	// slow or has failed; if none is, there is no way.
	Direct  bool
	ViaPeer bool
	// Probe asks for a direct connection that carries no request, to find out whether the link is back.
	Probe bool
}

// Links are this instance's links to the backend servers. Only links with evidence against them are kept.
type Links struct {
	links map[string]*link
	// servers is the number of servers.
	servers int
	// missed are the servers missed since a direct connection to any server last succeeded; missedAt is when
	// the last one was added.
	missed   map[string]bool
	missedAt time.Time
	// cutOff is true from when a peer has reached a server, and needed servers were missed in a row, until a direct
	// connection to any server succeeds. cutOffAt is when it last became true, notCutOffAt when it last ended.
	cutOff      bool
	cutOffAt    time.Time
	notCutOffAt time.Time
	needed      int
	state       State
	// changedAt is when the state last changed.
	changedAt   time.Time
	nextProbeAt time.Time
	// nobodyUntil is until when requests are refused, as no peer has a path either.
	nobodyUntil time.Time
}

// link is the link to one server that was missed.
type link struct {
	// lost is true if a peer has reached the server since it was missed, lostAt when that began.
	lost   bool
	lostAt time.Time
	// retryAt is when a request is sent directly again, beside a peer; zero for not before another link is up.
	retryAt time.Time
	// retries counts how often that was in vain.
	retries int
	// misses counts direct connections that failed, the last one at missedAt; peersMissedAt is when peers could not
	// reach the server either.
	misses        int
	missedAt      time.Time
	peersMissedAt time.Time
}

// NewLinks returns links without evidence against them.
func NewLinks() *Links {
	return &Links{links: map[string]*link{}, missed: map[string]bool{}, needed: minMissed}
}

// SetServers records how many servers there are, and forgets the links to servers for which listed returns false.
func (l *Links) SetServers(now time.Time, count int, listed func(server string) bool) {
	l.servers = count
	for id := range l.links {
		if !listed(id) {
			delete(l.links, id)
			delete(l.missed, id)
		}
	}
	l.update(now)
}

// Forget drops what is known of the link to a server, which has started again.
func (l *Links) Forget(now time.Time, server string) {
	delete(l.links, server)
	delete(l.missed, server)
	l.update(now)
}

func (l *Links) linkOf(server string) *link {
	k := l.links[server]
	if k == nil {
		k = &link{}
		l.links[server] = k
	}
	return k
}

// Missed records that a direct connection to the server is slow, has failed or has broken.
func (l *Links) Missed(now time.Time, server string) {
	k := l.linkOf(server)
	k.misses, k.missedAt = k.misses+1, now
	l.missed[server], l.missedAt = true, now
	l.update(now)
}

// Reached records that a direct connection to the server has succeeded. The other lost links may be back as well:
// each is tried again, after a delay that grows while it is not.
func (l *Links) Reached(now time.Time, server string) {
	delete(l.links, server)
	clear(l.missed)
	if l.cutOff {
		l.cutOff, l.notCutOffAt = false, now
		if now.Sub(l.cutOffAt) < shortCut {
			l.needed = min(2*l.needed, maxNeeded)
		}
	}
	l.nobodyUntil = time.Time{}
	for _, k := range l.links {
		if k.lost && k.retryAt.IsZero() {
			k.retryAt = now.Add(k.retryDelay())
		}
	}
	l.update(now)
}

// retryDelay is how long a lost link is not tried again after another one is up: not at all at first, as a cut
// mostly ends for all servers at once.
func (k *link) retryDelay() time.Duration {
	if k.retries == 0 {
		return 0
	}
	return min(minRetryDelay<<min(k.retries-1, 4), maxRetryDelay)
}

// PeerReached records that a peer has connected to the server. It reports whether that shows that the link, or all links,
// are lost.
func (l *Links) PeerReached(now time.Time, server string) (lost bool) {
	l.nobodyUntil = time.Time{}
	if k := l.links[server]; k != nil && k.misses > 0 && !l.cutOff {
		if k.lost && !k.retryAt.IsZero() {
			k.retries++
		}
		if !k.lost {
			k.lostAt = now
		}
		k.lost, k.retryAt, k.peersMissedAt = true, time.Time{}, time.Time{}
		lost = true
	}
	if now.Sub(l.notCutOffAt) > calmTime {
		l.needed = minMissed
	}
	if !l.cutOff && len(l.missed) > 0 && len(l.missed) >= min(l.needed, l.servers) {
		l.cutOff, l.cutOffAt, l.nextProbeAt = true, now, now.Add(ProbeInterval)
		lost = true
	}
	l.update(now)
	return lost
}

// PeersMissed records that peers with a path could not connect to the server either.
func (l *Links) PeersMissed(now time.Time, server string) { l.linkOf(server).peersMissedAt = now }

// NobodyReaches records that a search has found no peer with a path. It holds only if this instance has missed so many
// servers that it would say the same of itself.
func (l *Links) NobodyReaches(now time.Time) {
	if l.state == Suspect && len(l.missed) >= l.missedForNone() {
		l.nobodyUntil = now.Add(nobodyPause)
		if l.nextProbeAt.Before(now) {
			l.nextProbeAt = now.Add(ProbeInterval)
		}
	}
}

// missedForNone is how many servers must be missed in a row for the instance to say that it reaches none.
//
// Load: servers that crash one after the other, so that all instances miss some of them at the same time. Harm
// prevented: each instance hears from the others that they have no path either, and all refuse their requests although
// most servers are up.
func (l *Links) missedForNone() int {
	return min(max((l.servers+1)/2, minMissed), maxMissedForNone)
}

// update recomputes the state.
func (l *Links) update(now time.Time) {
	state := Up
	switch {
	case l.cutOff || l.lostCount(now) >= minMissed:
		state = Lost
	case len(l.missed) > 0 && len(l.missed) >= min(minMissed, l.servers):
		state = Suspect
	}
	if state != l.state {
		l.state, l.changedAt = state, now
	}
}

// lostCount is the number of servers whose requests are not sent directly, for a reason of their own.
func (l *Links) lostCount(now time.Time) int {
	count := 0
	for _, k := range l.links {
		if k.isLost(now) {
			count++
		}
	}
	return count
}

// isLost reports whether requests for the server are not sent directly.
func (k *link) isLost(now time.Time) bool {
	return k.lost && (k.retryAt.IsZero() || now.Before(k.retryAt))
}

// State returns the state, and since when it has been so.
func (l *Links) State() (State, time.Time) { return l.state, l.changedAt }

// MissedCount is the number of servers missed since a direct connection last succeeded, LastMissedAt when the last one
// was.
func (l *Links) MissedCount() int { return len(l.missed) }

// LastMissedAt is when a server was last missed.
func (l *Links) LastMissedAt() time.Time { return l.missedAt }

// Undisturbed reports whether there is no evidence against any link.
func (l *Links) Undisturbed() bool { return len(l.links) == 0 && l.state == Up }

// HasEvidence reports whether there is evidence against the link to the server.
func (l *Links) HasEvidence(server string) bool { return l.links[server] != nil }

// IsLost reports whether requests for the server are not sent directly.
func (l *Links) IsLost(now time.Time, server string) bool {
	k := l.links[server]
	return l.cutOff || k != nil && k.isLost(now)
}

// IsCutOff reports whether this instance reaches no server while peers do.
func (l *Links) IsCutOff() bool { return l.cutOff }

// LostSince returns since when requests for the server are not sent directly; ok is false if they are.
func (l *Links) LostSince(now time.Time, server string) (since time.Time, ok bool) {
	if l.cutOff {
		return l.cutOffAt, true
	}
	if k := l.links[server]; k != nil && k.isLost(now) {
		return k.lostAt, true
	}
	return time.Time{}, false
}

// Avoids reports whether other servers are preferred to this one: its link is lost while others are up.
//
// Load: servers that lose the path to a part of the instances, each to another part. Harm prevented: requests that wait
// for connections, and tunnels, although servers that this instance reaches itself have room.
func (l *Links) Avoids(now time.Time, server string) bool {
	k := l.links[server]
	return k != nil && !l.cutOff && k.isLost(now)
}

// Standing is what this instance says of its own path.
func (l *Links) Standing(now time.Time) Standing {
	switch {
	case l.cutOff, now.Before(l.nobodyUntil), len(l.missed) > 0 && len(l.missed) >= l.missedForNone():
		return None
	case l.state == Suspect:
		return Doubtful
	case len(l.missed) > 0 || l.state != Up:
		return Some
	}
	return All
}

// Misses reports whether the latest direct connection to the server has failed, a moment ago, or its link is lost.
func (l *Links) Misses(now time.Time, server string) bool {
	k := l.links[server]
	return k != nil && (k.isLost(now) || k.misses > 0 && now.Sub(k.missedAt) < missedTTL)
}

// NobodyHasAPath reports whether requests are refused, as neither this instance nor its peers reach the servers.
func (l *Links) NobodyHasAPath(now time.Time) bool {
	return l.state == Suspect && now.Before(l.nobodyUntil)
}

// Plan says how to connect to the server now. It counts the probe that it asks for.
func (l *Links) Plan(now time.Time, server string) Plan {
	switch {
	case l.IsLost(now, server):
		return Plan{ViaPeer: true, Probe: l.takeProbe(now)}
	case l.NobodyHasAPath(now):
		return Plan{Probe: l.takeProbe(now)}
	}
	return Plan{Direct: true, ViaPeer: l.AsksPeers(now, server)}
}

// AsksPeers reports whether peers are asked for a connection to the server now: if this instance suspects its own path,
// has lost links, or has missed the server again and again.
func (l *Links) AsksPeers(now time.Time, server string) bool {
	if l.IsLost(now, server) {
		return true
	}
	k := l.links[server]
	if l.NobodyHasAPath(now) || k != nil && now.Sub(k.peersMissedAt) < peersMissedPause {
		return false
	}
	return l.state != Up || k != nil && (k.lost || k.misses >= minMissed)
}

// takeProbe reports whether a probe is due, and counts it.
func (l *Links) takeProbe(now time.Time) bool {
	if now.Before(l.nextProbeAt) {
		return false
	}
	l.nextProbeAt = now.Add(ProbeInterval)
	return true
}
