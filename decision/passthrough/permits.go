package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// While a service is brittle, each slot of each of its servers is a permit of one instance; at engines some slots
// stay free. Permits are dealt to the failure domains in turn, and within a failure domain to instances by
// rendezvous hashing with bounded loads, so that instances that know the same servers and neighbours agree on them
// without any message, few permits change hands when an instance comes or goes, and none has many more than
// others. An instance whose permits are in use, or that has none, sends through a peer of its failure domain
// that has some; the peer sends the request on once a permit is free. So a server never gets more requests than
// it has slots, however many instances there are.

const (
	// maxPermitPeers is how many peers with permits are named for a request, some of which may be gone.
	maxPermitPeers = 8
	// fullPause is for how long no request is offered to peers after all of them had no free permit.
	fullPause = 80 * time.Millisecond
	// maxPermitShare is how many permits an instance has at most, as a multiple of the mean.
	maxPermitShare = 1.25
)

// permitInputs are the values that a service's permits depend on.
type permitInputs struct {
	neighboursVersion int
	listVersion       int
}

// permits are an instance's and its neighbours' permits at the servers of a service.
type permits struct {
	inputs permitInputs
	// peers are the names of the neighbours with permits at a server, with their numbers.
	peers map[*server]map[string]int
}

// updatePermits deals the service's permits, unless that was done for the same servers and neighbours.
func (w *World) updatePermits(s *service) {
	inputs := permitInputs{w.neighbours.version, w.listVersion}
	if s.permits.inputs == inputs && s.permits.peers != nil {
		return
	}
	s.permits = permits{inputs, map[*server]map[string]int{}}
	domains := w.cfg.Domains
	if !slices.Contains(domains, w.cfg.Domain) {
		domains = []string{w.cfg.Domain}
	}
	list := slices.Clone(s.servers)
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	total := 0
	for _, srv := range list {
		total += srv.permitCount()
	}
	n := &w.neighbours
	perDomain := float64(total) / float64(len(domains))
	d := dealer{neighbours: n, counts: make([]int, len(n.names)), limit: int(math.Ceil(maxPermitShare * perDomain / float64(max(len(n.names), 1))))}
	dealt := 0
	for _, srv := range list {
		srv.permits = 0
		for slot := range srv.permitCount() {
			if domains[dealt%len(domains)] == w.cfg.Domain {
				d.deal(srv, slot)
			}
			dealt++
		}
	}
}

// dealer deals the permits of a failure domain to its instances.
type dealer struct {
	neighbours *neighbours
	// counts are how many permits each neighbour has, limit is how many it may have.
	counts []int
	limit  int
}

// deal gives a slot of the server to one of the neighbours.
func (d *dealer) deal(s *server, slot int) {
	n := d.neighbours
	key := mix(s.hash + uint64(slot))
	owner, best := -1, uint64(0)
	for i, hash := range n.hashes {
		if score := mix(hash ^ key); d.counts[i] < d.limit && (owner < 0 || score > best) {
			owner, best = i, score
		}
	}
	if owner < 0 {
		s.permits++ // an instance that knows no neighbours is alone
		return
	}
	d.counts[owner]++
	name := n.names[owner]
	if name == n.self {
		s.permits++
		return
	}
	peers := s.service.permits.peers
	if peers[s] == nil {
		peers[s] = map[string]int{}
	}
	peers[s][name]++
}

// permitCount returns how many permits there are for the server, the same number at all instances.
func (s *server) permitCount() int {
	if !s.service.engine {
		return max(s.listedSlots, 1)
	}
	return max(int(engineUtilization*float64(cmp.Or(s.service.slots, s.listedSlots))), 1)
}

// hasPermit reports whether this instance may send to the server itself.
func (w *World) hasPermit(s *server) bool {
	w.updatePermits(s.service)
	return s.permitsUsed+w.peersExcess(s) < s.permits
}

// peersExcess is how many more requests than permits the other instances have at an engine: streams that began before
// the statement.
func (w *World) peersExcess(s *server) int {
	if !s.service.engine || !w.peerLoadsFresh() {
		return 0
	}
	return max(int(s.peers.requests)-(s.permitCount()-s.permits), 0)
}

// peersHavePermits reports whether a request to the server may be offered to peers.
func (w *World) peersHavePermits(s *server) bool {
	w.updatePermits(s.service)
	if w.now.Before(s.service.fullUntil) {
		s.service.wakeBy(s.service.fullUntil)
		return false
	}
	return len(s.service.permits.peers[s]) > 0
}

// permitPeers returns the peers to offer a request for the server to, in a random order that prefers those with
// more permits.
func (w *World) permitPeers(s *server) []string {
	type scored struct {
		name  string
		score float64
	}
	var list []scored
	for _, name := range w.neighbours.names {
		if n := s.service.permits.peers[s][name]; n > 0 {
			list = append(list, scored{name, w.rng.Float64() / float64(n)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	var out []string
	for _, x := range list[:min(len(list), maxPermitPeers)] {
		out = append(out, x.name)
	}
	return out
}

// preferOwnPermits leaves only the servers for which this instance has a free permit, if there are any.
func (w *World) preferOwnPermits(s *service, list []serverView) []serverView {
	if !s.isBrittle(w.now) {
		return list
	}
	own := slices.DeleteFunc(slices.Clone(list), func(v serverView) bool { return !w.hasPermit(v.server) })
	if len(own) > 0 {
		return own
	}
	return list
}

// takePermit takes a permit for a request at its server, and returns the peers that it must be offered to if
// this instance has none.
func (w *World) takePermit(r *request, s *server) (peers []string) {
	if !s.service.isBrittle(w.now) {
		return nil
	}
	if w.hasPermit(s) {
		r.holdPermit(s)
		return nil
	}
	return w.permitPeers(s)
}

// holdPermit counts the request as one that holds a permit of this instance at its server.
func (r *request) holdPermit(s *server) {
	s.permitsUsed++
	r.permitted = true
}

// holdPermits lets the requests that are at the service's servers when these become brittle hold permits, more than
// there are if need be.
func (w *World) holdPermits(s *service) {
	for _, r := range w.requests {
		if r.server != nil && r.server.service == s && !r.permitted {
			r.holdPermit(r.server)
		}
	}
}

// releasePermit gives back the request's permit.
func (r *request) releasePermit() {
	if r.permitted {
		r.server.permitsUsed--
		r.permitted = false
	}
}

// sentRequests is how many requests this instance accounts for at the server. While the server is brittle, these are
// the requests that hold its permits, and not its own ones that are still offered to peers.
func (s *server) sentRequests(now time.Time) int {
	if s.service.isBrittle(now) {
		return s.permitsUsed
	}
	return s.ownRequests
}

// brittleEngines returns the engines that are brittle.
func (w *World) brittleEngines() []*server {
	var out []*server
	for _, s := range w.services {
		if s.engine && s.isBrittle(w.now) {
			out = append(out, s.servers...)
		}
	}
	return out
}

// TakePermitForPeer takes a permit at the listed server for a peer's request, if one is free. The caller must
// report PeerPermitReleased if ok is true.
func (w *World) TakePermitForPeer(now time.Time, id string) (ok bool) {
	s := w.servers[id]
	if s == nil {
		return false
	}
	if now.After(w.now) {
		w.now = now
	}
	if !w.hasPermit(s) {
		return false
	}
	s.permitsUsed++
	return true
}

// releasePermitForPeer gives back the permit of a peer's request at the server. A process that has taken the
// server's id since then has permits of its own.
func (w *World) releasePermitForPeer(of Server) {
	if s := w.findProcess(of.process()); s != nil && s.permitsUsed > 0 {
		s.permitsUsed--
		w.markFreed(s.service)
	}
}
