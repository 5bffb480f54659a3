package tunnel

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticplank.example/decision/reach"
)

const (
	// minPeerBackoff is for how long a peer is not asked that has no room or gives no answer. It doubles up to
	// maxPeerBackoff for one that gives none, as it may be gone for good.
	minPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff = 15 * time.Second
	// remotePenalty is how many more open tunnels a peer of another failure domain weighs: a tunnel through
	// it costs traffic between failure domains.
	remotePenalty = 3
	// failedPenalty is the same for a peer whose latest tunnel failed: it may be gone for good. partialPenalty is for one
	// that misses some servers.
	failedPenalty  = 3
	partialPenalty = 3
	// loadTTL is for how long the number of tunnels that a peer states counts.
	loadTTL = 2 * time.Second
)

// Peers are the instances through which tunnels can be opened. It is safe for concurrent use.
type Peers struct {
	now func() time.Time

	mu    sync.Mutex
	self  reach.Peer
	peers map[string]*peer
	// paths is what is known of the peers' paths.
	paths *reach.Paths
}

// peer is an instance with a listener for tunnels.
type peer struct {
	name    string
	address string
	remote  bool
	// own counts this instance's tunnels there; stated is the number of all tunnels that the peer stated
	// at statedAt.
	own      int
	stated   int
	statedAt time.Time
	// backoffUntil and backoff keep the peer from being asked.
	backoffUntil time.Time
	backoff      time.Duration
}

// NewPeers returns an empty set. self is this instance, domains are the failure domains whose instances may be asked; nil
// for all.
func NewPeers(now func() time.Time, self reach.Peer, domains []string) *Peers {
	return &Peers{now: now, self: self, peers: map[string]*peer{}, paths: reach.NewPaths(self, domains, rand.Uint64())}
}

// Add adds or updates an instance. An instance with a new address has started again, and is asked at once.
func (p *Peers) Add(in reach.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paths.Add(in)
	p.sync()
}

// sync takes over the peers that others have named. The lock must be held.
func (p *Peers) sync() {
	for _, in := range p.paths.TakeAdded() {
		if known := p.peers[in.Name]; known == nil || known.address != in.Address {
			p.peers[in.Name] = &peer{name: in.Name, address: in.Address, remote: in.Domain != p.self.Domain}
		}
	}
}

// Names returns the names of all known peers, sorted.
func (p *Peers) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.peers))
}

// Address returns the address of a known peer.
func (p *Peers) Address(name string) (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[name]
	if x == nil {
		return "", false
	}
	return x.address, true
}

// choose returns up to count peers to ask for a tunnel to the server, in order, and how many could be asked in all.
// Those with a path come first, and among them those with fewer tunnels, in a random order if these are equal. If any has
// a path, no others are asked.
//
// Load: all instances of a failure domain are cut off at once and know the same peers. Harm prevented: all
// send to the same few, which then cannot serve their own callers.
func (p *Peers) choose(count int, server string) (chosen []*peer, usable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	type scored struct {
		peer  *peer
		score float64
	}
	var proven, untried []scored
	for _, x := range p.peers {
		preference := p.paths.Prefer(now, x.name, server)
		if now.Before(x.backoffUntil) || preference == reach.Excluded {
			continue
		}
		score := float64(x.own) + rand.Float64()
		if now.Sub(x.statedAt) < loadTTL {
			score = max(score, float64(x.stated)+rand.Float64())
		}
		if x.remote {
			score += remotePenalty
		}
		if x.backoff > 0 {
			score += failedPenalty
		}
		if p.paths.IsPartial(x.name) {
			score += partialPenalty
		}
		if preference == reach.Proven {
			proven = append(proven, scored{x, score})
		} else {
			untried = append(untried, scored{x, score})
		}
	}
	list := proven
	if len(proven) == 0 {
		list = untried
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score < b.score {
			return -1
		}
		return 1
	})
	for _, x := range list[:min(count, len(list))] {
		chosen = append(chosen, x.peer)
	}
	return chosen, len(proven) + len(untried)
}

// candidates are the peers to ask for a tunnel.
type candidates struct {
	peers []*peer
	// usable is how many peers could be asked in all.
	usable int
	// exhausted is true if a search has found none with a path, unreachable if peers with a path are known and none of
	// them reaches the server, full if those with a path have no room.
	exhausted   bool
	unreachable bool
	full        bool
}

// candidatesFor returns the peers to ask for a tunnel to the server. There are none while the search for one with a path
// has only begun.
func (p *Peers) candidatesFor(server string) candidates {
	chosen, _ := p.choose(peersAsked, server)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	out := candidates{exhausted: p.paths.Exhausted(now, p.isUsable)}
	for name := range p.peers {
		if p.isUsable(name) {
			out.usable++
		}
	}
	if len(chosen) > 0 && (p.paths.Prefer(now, chosen[0].name, server) == reach.Proven || p.paths.BurstEnded(p.isUsable)) {
		out.peers = chosen
	}
	if len(out.peers) == 0 {
		out.unreachable = p.paths.HasUsable(now, p.isUsable)
		out.full = !out.unreachable && p.paths.Known(now) > 0 && p.paths.BurstEnded(p.isUsable)
	}
	return out
}

// isUsable reports whether a peer is not in backoff. The lock must be held.
func (p *Peers) isUsable(name string) bool {
	x := p.peers[name]
	return x != nil && !p.now().Before(x.backoffUntil)
}

// named returns the peers with the names that are not in backoff, in that order.
func (p *Peers) named(names []string) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []*peer
	for _, name := range names {
		if x := p.peers[name]; x != nil && !now.Before(x.backoffUntil) {
			out = append(out, x)
		}
	}
	return out
}

// began counts a tunnel that is being opened, ended takes it back.
func (p *Peers) began(x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.own++
}

func (p *Peers) ended(x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.own--
}

// answered records that a peer has a path, and the number of tunnels that it states.
func (p *Peers) answered(x *peer, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.backoff, x.backoffUntil = 0, time.Time{}
	x.stated, x.statedAt = open, p.now()
}

// pause keeps a peer from being asked for a short time: it answers, and has no room or no path now.
func (p *Peers) pause(x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := p.now().Add(minPeerBackoff); until.After(x.backoffUntil) {
		x.backoffUntil = until
	}
}

// failed keeps a peer that gives no answer from being asked for a time.
func (p *Peers) failed(x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Before(x.backoffUntil) {
		return // several tunnels failed at once
	}
	x.backoff = min(max(2*x.backoff, minPeerBackoff), maxPeerBackoff)
	x.backoffUntil = now.Add(x.backoff)
}

// observe records how the opening of a tunnel to the server through the peer ended: nil, or an error of Dial.
func (p *Peers) observe(x *peer, server string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	switch {
	case err == nil:
		p.paths.HasPath(now, x.name)
	case errors.Is(err, ErrUnreachable):
		p.paths.MissesServer(now, x.name, server, false)
	case errors.Is(err, ErrDoubtful):
		p.paths.MissesServer(now, x.name, server, true)
	case errors.Is(err, ErrNoPath):
		p.paths.HasNone(now, x.name)
	}
}

// Tell returns what this instance tells a peer of the failure domain that asks for a path.
func (p *Peers) Tell(standing reach.Standing, domain string) reach.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paths.Tell(p.now(), standing, domain)
}
