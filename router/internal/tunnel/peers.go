package tunnel

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minPeerBackoff is for how long a peer is not asked that has no path, no room or gives no answer. It
	// doubles up to maxPeerBackoff for one that is gone for good.
	minPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff = 15 * time.Second
	// remotePenalty is how many more open tunnels a peer of another failure domain weighs: a tunnel through
	// it costs traffic between failure domains.
	remotePenalty = 3
	// failedPenalty is the same for a peer whose latest tunnel failed: it may be gone for good.
	failedPenalty = 3
	// loadTTL is for how long the number of tunnels that a peer states counts.
	loadTTL = 2 * time.Second
)

// Peers are the instances through which tunnels can be opened. It is safe for concurrent use.
type Peers struct {
	now func() time.Time

	mu    sync.Mutex
	peers map[string]*peer
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

// NewPeers returns an empty set.
func NewPeers(now func() time.Time) *Peers { return &Peers{now: now, peers: map[string]*peer{}} }

// Add adds or updates an instance; remote is true for one of another failure domain. An instance with a new
// address has started again, and is asked at once.
func (p *Peers) Add(name, address string, remote bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[name]; known == nil || known.address != address {
		p.peers[name] = &peer{name: name, address: address, remote: remote}
	}
}

// Names returns the names of all known peers, sorted.
func (p *Peers) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.peers))
}

// choose returns up to count peers to ask, in order, and how many could be asked in all. Those with fewer
// tunnels come first, in a random order if these are equal.
//
// Load: all instances of a failure domain are cut off at once and know the same peers. Harm prevented: all
// send to the same few, which then cannot serve their own callers.
func (p *Peers) choose(count int) (chosen []*peer, usable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	type scored struct {
		peer  *peer
		score float64
	}
	var list []scored
	for _, x := range p.peers {
		if now.Before(x.backoffUntil) {
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
		list = append(list, scored{x, score})
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
	return chosen, len(list)
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

// failed keeps a peer from being asked for a time.
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
