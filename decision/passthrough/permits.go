package passthrough

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// While a service is brittle, each slot of each of its servers is a permit of one instance; at engines some slots
// stay free. Permits are dealt to the failure domains in turn, and within a failure domain to instances by
// rendezvous hashing with bounded loads, so that instances that know the same servers and neighbours agree on them
// without any message, few permits change hands when an instance comes or goes, and none has many more than
// others. An instance whose permits are in use, or that has none, sends through a peer of its region that has some;
// the peer sends the request on once a permit is free. So a server never gets more requests than it has slots, however
// many instances there are.
//
// The few slots of a plain server are dealt in chunks, so that a request finds a free one by few questions, and other
// servers are tried before it is refused. The many slots of engines are dealt one by one, as most streams then use their
// own instance's and need no peer.

const (
	// maxPermitPeers is how many peers with permits are named for a request, some of which may be gone.
	maxPermitPeers = 8
	// plainPermitChunk is how many slots of a plain server go to the same instance.
	plainPermitChunk = 3
	// fullPause is for how long no request is offered to peers after all of them had no free permit.
	fullPause = 80 * time.Millisecond
	// maxPermitShare is how many permits an instance has at most, as a multiple of the mean.
	maxPermitShare = 1.25
)

// permitInputs are the values that a service's permits depend on.
type permitInputs struct {
	neighboursVersion int
	remoteVersion     int
	listVersion       int
}

// permits are an instance's and its peers' permits at the servers of a service.
type permits struct {
	inputs permitInputs
	// peers are the names of the peers with permits at a server, with their numbers.
	peers map[*server]map[string]int
}

// updatePermits deals the service's permits, unless that was done for the same servers and instances.
func (w *World) updatePermits(s *service) {
	inputs := permitInputs{w.neighbours.version, w.remoteVersion, w.listVersion}
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
		srv.permits = 0
	}
	dealers := w.newDealers(domains, float64(total)/float64(len(domains)))
	dealt := 0
	for _, srv := range list {
		for first := 0; first < srv.permitCount(); first += s.permitChunk() {
			if d := dealers[domains[dealt%len(domains)]]; d != nil {
				d.deal(srv, first, min(s.permitChunk(), srv.permitCount()-first))
			}
			dealt++
		}
	}
}

// permitChunk is how many slots of a server of the service go to the same instance.
func (s *service) permitChunk() int {
	if s.engine {
		return 1
	}
	return plainPermitChunk
}

// newDealers returns a dealer for each failure domain whose instances are known. perDomain is the mean number of permits
// of a failure domain.
func (w *World) newDealers(domains []string, perDomain float64) map[string]*dealer {
	out := map[string]*dealer{}
	for _, domain := range domains {
		if n := w.instancesOf(domain); n != nil {
			limit := int(math.Ceil(maxPermitShare * perDomain / float64(max(len(n.names), 1))))
			out[domain] = &dealer{neighbours: n, self: w.neighbours.self, isOwn: domain == w.cfg.Domain, counts: make([]int, len(n.names)), limit: limit}
		}
	}
	return out
}

// dealer deals the permits of a failure domain to its instances.
type dealer struct {
	neighbours *neighbours
	// self is this instance, isOwn is true if the failure domain is its own.
	self  string
	isOwn bool
	// counts are how many permits each instance has, limit is how many it may have before it gets no more.
	counts []int
	limit  int
}

// deal gives count slots of the server, from the number first on, to one of the instances.
func (d *dealer) deal(s *server, first, count int) {
	n := d.neighbours
	key := mix(s.hash + uint64(first))
	owner, best := -1, uint64(0)
	for i, hash := range n.hashes {
		if score := mix(hash ^ key); d.counts[i] < d.limit && (owner < 0 || score > best) {
			owner, best = i, score
		}
	}
	if owner < 0 {
		if d.isOwn {
			s.permits += count // an instance that knows no neighbours is alone
		}
		return
	}
	d.counts[owner] += count
	name := n.names[owner]
	if d.isOwn && name == d.self {
		s.permits += count
		return
	}
	peers := s.service.permits.peers
	if peers[s] == nil {
		peers[s] = map[string]int{}
	}
	peers[s][name] += count
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
	if until := later(s.fullUntil, s.service.fullUntil); w.now.Before(until) {
		s.service.wakeBy(until)
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
	peers := s.service.permits.peers[s]
	for _, name := range slices.Sorted(maps.Keys(peers)) {
		list = append(list, scored{name, w.rng.Float64() / float64(peers[name])})
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

// noPermit tries another server for a request for whose server no peer had a free permit. A request to a plain service is
// refused if all servers are full; one to an engine waits.
func (w *World) noPermit(r *request, s *server) {
	if r.service.engine {
		r.service.fullUntil = w.now.Add(fullPause)
		w.retry(r, nil) // streams have seconds until their first event is due
		return
	}
	r.service.throttle.accepted.add(w.now, -1)
	if s != nil {
		s.fullUntil = w.now.Add(fullPause)
		r.dispatches-- // no attempt was made
	}
	if reason := w.retryRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	if !w.tryDispatch(r) {
		w.finishOrRefuse(r, ReasonServersFull)
	}
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
