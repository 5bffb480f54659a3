package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pathTTL is how long a peer's path counts after the latest evidence of it.
	pathTTL = 2 * time.Second
	// noneTTL is how long a peer that has said that it reaches no server is not asked for a tunnel. It does not grow, as
	// the peer's path may be back.
	noneTTL = time.Second
	// reaskTime is how long the search does not ask a peer again: a peer's path may be back, or its cut may have moved.
	reaskTime = 300 * time.Millisecond
	// serverMissedTTL is how long a peer is not asked for a server that it could not reach.
	serverMissedTTL = time.Second
	// wantedPaths is how many peers with a path an instance without one looks for.
	//
	// Load: most instances of a region without a path. Harm prevented: all send through the few peers whose names
	// went round first, which then cannot serve their own callers.
	wantedPaths = 8
	// burstRounds is how many rounds of a search follow each other at once, with burstAsks peers each. After them,
	// looseAsks peers are asked each looseInterval.
	//
	// Load: 880 instances of which 0.98 have no path. Harm prevented: a storm of questions. An instance asks 48 peers
	// at first, and 16 a second after that; in a fleet without any path it is asked as often.
	burstRounds   = 6
	burstAsks     = 8
	looseAsks     = 4
	looseInterval = 250 * time.Millisecond
	// lookupTime is how long a lookup of more peers takes.
	lookupTime = 300 * time.Millisecond
	// emptyRoundPause is the time after which a round is tried again for which no peer was left.
	emptyRoundPause = 20 * time.Millisecond
	// searchIdleTime is how long nobody must have wanted a path for the next search to begin with a burst again.
	searchIdleTime = 3 * time.Second
	// sharedPaths and sharedOthers are how many peers with a path, and others, an instance names to one that asks.
	sharedPaths  = 8
	sharedOthers = 8
)

// Peer is an instance through which requests can be sent.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// PathOffer is a peer that is known to have a path.
type PathOffer struct {
	Peer
	// Age is the age of the evidence.
	Age time.Duration
}

// Answer is what a peer says when it is asked for a path.
type Answer struct {
	Standing Standing
	// Paths are peers that it knows to have a path, Others some more that it knows.
	Paths  []PathOffer
	Others []Peer
}

// Paths is what an instance knows of its peers' paths.
type Paths struct {
	self Peer
	// domains are the failure domains whose instances are asked; nil for all.
	domains []string
	rng     *rand.Rand
	peers   map[string]*peerPath
	// list are the peers in the order in which they were added.
	list []*peerPath
	// added are the peers that were added or updated since TakeAdded was last called.
	added []Peer
	// wantedAt is when a path was last wanted, searchAt when the search for one began, rounds how many rounds it has had.
	// answered is true if any peer has answered.
	wantedAt time.Time
	searchAt time.Time
	rounds   int
	answered bool
}

// peerPath is what is known of a peer.
type peerPath struct {
	Peer
	// pathAt is the time of the latest evidence of a path, noneAt when the peer last said that it has none; zero for
	// never.
	pathAt time.Time
	noneAt time.Time
	// askedAt is when it was last asked, inSearch whether it was in the current search.
	askedAt  time.Time
	inSearch bool
	// partial is true if it said that it misses some servers.
	partial bool
	// missed are the servers that it could not reach, with the times.
	missed map[string]time.Time
}

// NewPaths returns an empty set. self is this instance, domains are the failure domains whose instances are asked; nil
// for all.
func NewPaths(self Peer, domains []string, seed uint64) *Paths {
	return &Paths{self: self, domains: domains, rng: rand.New(rand.NewPCG(seed, seed)), peers: map[string]*peerPath{}}
}

// Add adds or updates a peer. A peer with a new address has started again: nothing is known of it.
func (p *Paths) Add(in Peer) {
	if in.Name == p.self.Name || in.Address == "" || p.domains != nil && !slices.Contains(p.domains, in.Domain) {
		return
	}
	known := p.peers[in.Name]
	switch {
	case known == nil:
		known = &peerPath{}
		p.peers[in.Name] = known
		p.list = append(p.list, known)
	case known.Peer == in:
		return
	}
	*known = peerPath{Peer: in}
	p.added = append(p.added, in)
}

// TakeAdded returns the peers that were added or updated since it was last called.
func (p *Paths) TakeAdded() []Peer {
	out := p.added
	p.added = nil
	return out
}

// HasPath records that the peer has connected to a server.
func (p *Paths) HasPath(now time.Time, name string) {
	if x := p.peers[name]; x != nil {
		x.pathAt, x.noneAt = now, time.Time{}
	}
}

// HasNone records that the peer says that it reaches no server.
func (p *Paths) HasNone(now time.Time, name string) {
	if x := p.peers[name]; x != nil {
		x.pathAt, x.noneAt = time.Time{}, now
	}
}

// MissesServer records that the peer could not connect to the server. It may reach others; doubtful is true if it has
// reached none lately.
func (p *Paths) MissesServer(now time.Time, name, server string, doubtful bool) {
	x := p.peers[name]
	if x == nil {
		return
	}
	for id, at := range x.missed {
		if now.Sub(at) >= serverMissedTTL {
			delete(x.missed, id)
		}
	}
	if x.missed == nil {
		x.missed = map[string]time.Time{}
	}
	x.missed[server], x.partial = now, true
	if doubtful {
		x.pathAt = time.Time{}
	}
}

// Answered applies the answer of a peer that was asked.
func (p *Paths) Answered(now time.Time, name string, a Answer) {
	p.answered = true
	for _, other := range a.Others {
		if p.peers[other.Name] == nil {
			p.Add(other)
		}
	}
	for _, offer := range a.Paths {
		if p.peers[offer.Name] == nil {
			p.Add(offer.Peer)
		}
		x := p.peers[offer.Name]
		if at := now.Add(-offer.Age); x != nil && x.Peer == offer.Peer && at.After(x.pathAt) && at.After(x.noneAt) {
			x.pathAt, x.noneAt = at, time.Time{}
		}
	}
	switch a.Standing {
	case None:
		p.HasNone(now, name)
	case Doubtful:
		if x := p.peers[name]; x != nil {
			x.pathAt, x.partial = time.Time{}, true
		}
	case All, Some:
		p.HasPath(now, name)
		if x := p.peers[name]; x != nil {
			x.partial = a.Standing == Some
		}
	}
}

// Preference is how a peer ranks for a request.
type Preference uint8

const (
	// Proven peers have a path, Untried ones may have one, Excluded ones are not asked.
	Proven Preference = iota
	Untried
	Excluded
)

// Prefer returns how the peer ranks for a request to the server.
func (p *Paths) Prefer(now time.Time, name, server string) Preference {
	x := p.peers[name]
	switch {
	case x == nil, now.Sub(x.noneAt) < noneTTL:
		return Excluded
	case now.Sub(x.missed[server]) < serverMissedTTL:
		return Excluded
	case now.Sub(x.pathAt) < pathTTL:
		return Proven
	}
	return Untried
}

// IsPartial reports whether the peer misses some servers.
func (p *Paths) IsPartial(name string) bool { return p.peers[name] != nil && p.peers[name].partial }

// Known is how many peers are known to have a path.
func (p *Paths) Known(now time.Time) int {
	count := 0
	for _, x := range p.list {
		if now.Sub(x.pathAt) < pathTTL {
			count++
		}
	}
	return count
}

// HasUsable reports whether any peer that can be asked is known to have a path.
func (p *Paths) HasUsable(now time.Time, usable func(name string) bool) bool {
	return slices.ContainsFunc(p.list, func(x *peerPath) bool { return now.Sub(x.pathAt) < pathTTL && usable(x.Name) })
}

// remote is how many peers of other failure domains are known.
func (p *Paths) remote() int {
	count := 0
	for _, x := range p.list {
		if x.Domain != p.self.Domain {
			count++
		}
	}
	return count
}

// Want records that a path is wanted, so that the search goes on.
func (p *Paths) Want(now time.Time) {
	if now.Sub(p.wantedAt) >= searchIdleTime {
		p.searchAt, p.rounds, p.answered = now, 0, false
		for _, x := range p.list {
			x.inSearch = false
		}
	}
	p.wantedAt = now
}

// IsWanted reports whether the search goes on.
func (p *Paths) IsWanted(now time.Time) bool { return now.Sub(p.wantedAt) < searchIdleTime }

// Exhausted reports whether the search has found no peer with a path, although some have answered and as many as in a
// burst were asked, or all that can be, after lookupTime.
func (p *Paths) Exhausted(now time.Time, usable func(name string) bool) bool {
	if !p.answered || p.Known(now) > 0 {
		return false
	}
	return p.rounds > burstRounds || now.Sub(p.searchAt) >= lookupTime && p.allAsked(usable)
}

// BurstEnded reports whether as many peers were asked as in a burst, or all that can be.
func (p *Paths) BurstEnded(usable func(name string) bool) bool {
	return p.rounds > burstRounds || p.rounds > 0 && p.allAsked(usable)
}

func (p *Paths) allAsked(usable func(name string) bool) bool {
	for _, x := range p.list {
		if !x.inSearch && usable(x.Name) {
			return false
		}
	}
	return true
}

// IsShort reports whether more peers should be looked up, as few are known, or those that were asked have no path.
func (p *Paths) IsShort(now time.Time) bool {
	return p.Known(now) == 0 && (p.remote() < wantedPaths || p.rounds > burstRounds)
}

// NextRound returns the peers to ask in the next round of the search, and when the one after it is due at the latest.
// During the burst that may begin as soon as all have answered. usable says which peers can be asked at all. Once enough
// paths are known, none is asked.
func (p *Paths) NextRound(now time.Time, usable func(name string) bool) (ask []Peer, again time.Time) {
	known := p.Known(now)
	if known >= wantedPaths {
		return nil, now.Add(looseInterval)
	}
	count, again := burstAsks, now
	if p.rounds >= burstRounds || known > 0 {
		count, again = looseAsks, now.Add(looseInterval)
	}
	for _, x := range p.candidates(now, usable) {
		if len(ask) == count {
			break
		}
		x.askedAt, x.inSearch = now, true
		ask = append(ask, x.Peer)
	}
	if len(ask) == 0 {
		return nil, now.Add(emptyRoundPause)
	}
	p.rounds++
	return ask, again
}

// candidates returns the peers to ask, in order: those not asked in this search, one of each failure domain in turn, in
// a random order; then those asked longest ago.
func (p *Paths) candidates(now time.Time, usable func(name string) bool) []*peerPath {
	byDomain := map[string][]*peerPath{}
	var asked []*peerPath
	for _, x := range p.list {
		switch {
		case now.Sub(x.pathAt) < pathTTL || !usable(x.Name):
		case x.inSearch:
			if now.Sub(x.askedAt) >= reaskTime {
				asked = append(asked, x)
			}
		default:
			byDomain[x.Domain] = append(byDomain[x.Domain], x)
		}
	}
	var domains []string
	for domain, list := range byDomain {
		domains = append(domains, domain)
		p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	slices.Sort(domains)
	p.rng.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	var out []*peerPath
	for i := 0; len(out) < burstAsks; i++ {
		added := false
		for _, domain := range domains {
			if list := byDomain[domain]; i < len(list) {
				out, added = append(out, list[i]), true
			}
		}
		if !added {
			break
		}
	}
	slices.SortFunc(asked, func(a, b *peerPath) int {
		return cmp.Or(a.askedAt.Compare(b.askedAt), cmp.Compare(a.Name, b.Name))
	})
	return append(out, asked...)
}

// Tell returns what this instance tells a peer of the failure domain that asks.
func (p *Paths) Tell(now time.Time, standing Standing, domain string) Answer {
	out := Answer{Standing: standing}
	for _, i := range p.rng.Perm(len(p.list)) {
		x := p.list[i]
		switch age := now.Sub(x.pathAt); {
		case age < pathTTL && len(out.Paths) < sharedPaths:
			out.Paths = append(out.Paths, PathOffer{x.Peer, age})
		case age >= pathTTL && x.Domain != domain && len(out.Others) < sharedOthers:
			out.Others = append(out.Others, x.Peer)
		}
	}
	return out
}
