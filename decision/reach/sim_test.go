package reach

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated network: a message takes simLatency, and a request waits for a tunnel for simPatience at most. A request
// occupies its tunnel for simService.
const (
	simLatency  = time.Millisecond
	simPatience = 600 * time.Millisecond
	simService  = 50 * time.Millisecond
	// simInterval is the time between two requests at an instance.
	simInterval = 250 * time.Millisecond
	simServers  = 40
	simBackoff  = 700 * time.Millisecond
	// simPoll is the time between two looks for a path while there is none.
	simPoll = 10 * time.Millisecond
	// simRetries is how many servers a request tries.
	simRetries = 5
	// simMove is the time between two moves of a cut that moves.
	simMove = 2 * time.Second
	// simSettle is the time after a cut from which on first tries count, simDuration how long the cut is played.
	simSettle   = time.Second
	simDuration = 4 * time.Second
)

// simCut is a cut of a simulated fleet.
type simCut struct {
	instances, domains int
	// isCut reports whether an instance is cut off at a time after the cut began.
	isCut func(i int, since time.Duration) bool
	// moves is the time between two moves of the cut, 0 for none.
	moves time.Duration
	// down are the servers that are down for all.
	down int
}

// sim is a fleet in which some instances are cut off from all servers.
type sim struct {
	cut   simCut
	rng   *rand.Rand
	start time.Time
	now   time.Time
	queue simQueue
	nodes []*simNode
	// byName are the indexes of nodes.
	byName map[string]int
	// served and total count first tries at instances that are cut off, and at the others.
	served, total map[bool]int
	asks          int
	events        int
}

type simNode struct {
	sim       *sim
	index     int
	self      Peer
	links     *Links
	paths     *Paths
	searching bool
	// carried are the tunnels that are open here, total counts all.
	carried int
	total   int
	// stated are the tunnels that peers have stated.
	stated map[string]int
	// backoff is until when a server is not chosen that could not be reached.
	backoff map[int]time.Time
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// newSim returns a fleet; seed determines all random choices.
func newSim(cut simCut, seed uint64) *sim {
	s := &sim{cut: cut, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), byName: map[string]int{}, served: map[bool]int{}, total: map[bool]int{}}
	s.now = s.start
	var domains []string
	for d := range cut.domains {
		domains = append(domains, fmt.Sprint("domain-", d))
	}
	for i := range cut.instances {
		n := &simNode{sim: s, index: i, links: NewLinks(), stated: map[string]int{}, backoff: map[int]time.Time{}}
		n.self = Peer{Name: fmt.Sprint("instance-", i), Address: fmt.Sprint("10.0.0.1:", i), Domain: domains[i*cut.domains/cut.instances]}
		n.paths = NewPaths(n.self, domains, s.rng.Uint64())
		n.links.SetServers(s.now, simServers, func(string) bool { return true })
		s.byName[n.self.Name] = i
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes { // each knows its neighbours
		for _, x := range s.nodes {
			if x.self.Domain == n.self.Domain {
				n.paths.Add(x.self)
			}
		}
	}
	for _, n := range s.nodes {
		at := time.Duration(s.rng.Float64() * float64(simInterval))
		for ; at < simDuration; at += simInterval {
			s.after(at, n.request)
		}
	}
	return s
}

func (s *sim) after(delay time.Duration, run func()) {
	s.events++
	heap.Push(&s.queue, simEvent{s.now.Add(delay), s.events, run})
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at.After(s.start.Add(simDuration + time.Second)) {
			return
		}
		s.now = e.at
		e.run()
	}
}

func (n *simNode) isCut() bool { return n.sim.cut.isCut(n.index, n.sim.now.Sub(n.sim.start)) }

// request sends one request, and counts whether its first try is served.
func (n *simNode) request() {
	s, cut := n.sim, n.isCut()
	since := s.now.Sub(s.start)
	if s.cut.moves > 0 {
		since %= s.cut.moves
	}
	counted := since >= simSettle
	if counted {
		s.total[cut]++
	}
	n.try(simRetries, func(ok bool) {
		if ok && counted {
			s.served[cut]++
		}
	})
}

// try sends to a random server, and to others if nothing was sent there.
func (n *simNode) try(left int, done func(ok bool)) {
	s := n.sim
	if left == 0 {
		done(false)
		return
	}
	server := s.rng.IntN(simServers)
	for range simServers {
		if !n.links.Avoids(s.now, serverName(server)) && !s.now.Before(n.backoff[server]) {
			break
		}
		server = s.rng.IntN(simServers)
	}
	plan := n.links.Plan(s.now, serverName(server))
	if plan.Probe {
		s.after(simLatency, func() { n.dial(server) })
	}
	switch {
	case plan.Direct:
		s.after(simLatency, func() {
			switch {
			case n.dial(server):
				done(true)
			case n.links.AsksPeers(s.now, serverName(server)):
				n.throughPeer(server, s.now, 0, left, done)
			default:
				n.backoff[server] = s.now.Add(simBackoff)
				n.try(left-1, done)
			}
		})
	case plan.ViaPeer:
		n.throughPeer(server, s.now, 0, left, done)
	default:
		done(false)
	}
}

// dial connects directly.
func (n *simNode) dial(server int) bool {
	if n.isCut() || server < n.sim.cut.down {
		n.links.Missed(n.sim.now, serverName(server))
		return false
	}
	n.links.Reached(n.sim.now, serverName(server))
	return true
}

// throughPeer sends through the least loaded peer with a path, or waits for one.
func (n *simNode) throughPeer(server int, began time.Time, unreachable, left int, done func(ok bool)) {
	s := n.sim
	n.paths.Want(s.now)
	n.search()
	var best *simNode
	bestLoad := 0.0
	for _, x := range n.paths.list {
		if n.paths.Prefer(s.now, x.Name, serverName(server)) != Proven {
			continue
		}
		if load := float64(n.stated[x.Name]) + s.rng.Float64(); best == nil || load < bestLoad {
			best, bestLoad = s.nodes[s.byName[x.Name]], load
		}
	}
	if best == nil {
		switch {
		case n.paths.Exhausted(s.now, anyPeer):
			n.links.NobodyReaches(s.now)
			if n.links.NobodyHasAPath(s.now) || n.links.IsLost(s.now, serverName(server)) {
				done(false)
				return
			}
			n.backoff[server] = s.now.Add(simBackoff) // the server may be down, others may be reached
			n.try(left-1, done)
		case n.paths.Known(s.now) > 0: // none of them reaches the server
			n.backoff[server] = s.now.Add(simBackoff)
			n.try(left-1, done)
		case s.now.Sub(began) >= simPatience:
			done(false)
		default:
			s.after(simPoll, func() { n.throughPeer(server, began, unreachable, left, done) })
		}
		return
	}
	n.stated[best.self.Name]++
	s.after(2*simLatency, func() {
		name := best.self.Name
		n.stated[name] = best.carried
		switch best.connect(server) {
		case All:
			n.paths.HasPath(s.now, name)
			n.links.PeerReached(s.now, serverName(server))
			done(true)
			return
		case Some:
			n.paths.MissesServer(s.now, name, serverName(server), false)
			if unreachable++; unreachable == 2 {
				n.links.PeersMissed(s.now, serverName(server))
				n.backoff[server] = s.now.Add(simBackoff)
				n.try(left-1, done)
				return
			}
		case Doubtful:
			n.paths.MissesServer(s.now, name, serverName(server), true)
		case None:
			n.paths.HasNone(s.now, name)
		}
		n.throughPeer(server, began, unreachable, left, done)
	})
}

// connect connects for a peer, and returns All if that has succeeded, else what the peer is told.
func (n *simNode) connect(server int) Standing {
	standing := n.links.Standing(n.sim.now)
	if standing == None {
		return None
	}
	if n.links.Misses(n.sim.now, serverName(server)) || !n.dial(server) {
		return max(n.links.Standing(n.sim.now), Some)
	}
	n.carried++
	n.total++
	n.sim.after(simService, func() { n.carried-- })
	return All
}

// search asks peers for a path, round by round.
func (n *simNode) search() {
	if n.searching {
		return
	}
	n.searching = true
	n.round()
}

func (n *simNode) round() {
	s := n.sim
	if !n.paths.IsWanted(s.now) {
		n.searching = false
		return
	}
	ask, again := n.paths.NextRound(s.now, anyPeer)
	s.asks += len(ask)
	if n.paths.IsShort(s.now) { // the store's lists name some instances of another failure domain
		s.after(5*simLatency, func() {
			for range 8 {
				n.paths.Add(s.nodes[s.rng.IntN(len(s.nodes))].self)
			}
		})
	}
	for _, x := range ask {
		peer := s.nodes[s.byName[x.Name]]
		s.after(2*simLatency, func() {
			n.paths.Answered(s.now, x.Name, peer.paths.Tell(s.now, peer.links.Standing(s.now), n.self.Domain))
		})
	}
	s.after(max(again.Sub(s.now), 2*simLatency), n.round)
}

// simResult adds up simulated fleets.
type simResult struct {
	served, total map[bool]int
	asks          int
	// loads are the tunnels that each instance has carried, of those that carry any, sorted.
	loads []int
}

// play simulates a cut with several seeds, more for small fleets.
func (c simCut) play() simResult {
	const instances = 400
	out := simResult{served: map[bool]int{}, total: map[bool]int{}}
	runs := max(instances/c.instances, 1)
	for seed := range uint64(runs) {
		s := newSim(c, seed)
		s.run()
		for _, cut := range []bool{true, false} {
			out.served[cut] += s.served[cut]
			out.total[cut] += s.total[cut]
		}
		out.asks += s.asks / runs
		for _, n := range s.nodes {
			if n.total > 0 {
				out.loads = append(out.loads, n.total)
			}
		}
	}
	slices.Sort(out.loads)
	return out
}

// share is the part of the first tries that was served.
func (r simResult) share(cut bool) float64 {
	return float64(r.served[cut]) / float64(max(r.total[cut], 1))
}

// simCuts are the cuts of a fleet, by name.
func simCuts(count, domains int) map[string]simCut {
	first := func(share float64) func(int, time.Duration) bool {
		return func(i int, _ time.Duration) bool { return float64(i) < share*float64(count) }
	}
	cuts := map[string]simCut{
		"a tenth":                    {isCut: first(0.1)},
		"half":                       {isCut: first(0.5)},
		"all of a domain":            {isCut: first(1 / float64(domains))},
		"three quarters":             {isCut: first(0.75)},
		"0.9":                        {isCut: first(0.9)},
		"0.98":                       {isCut: first(0.98)},
		"all but one":                {isCut: func(i int, _ time.Duration) bool { return i > 0 }},
		"scattered":                  {isCut: func(i int, _ time.Duration) bool { return i%5 > 0 }},
		"half, servers down":         {isCut: first(0.5), down: simServers / 10},
		"half, half of servers down": {isCut: first(0.5), down: simServers / 2},
		"moving": {moves: simMove, isCut: func(i int, since time.Duration) bool {
			return (i*4/count+int(since/simMove))%2 == 0
		}},
	}
	if count < 10 {
		delete(cuts, "0.98") // nobody is left
		delete(cuts, "0.9")
	}
	for _, name := range []string{"a tenth", "half", "three quarters", "scattered", "all of a domain", "half, servers down"} {
		if count > 100 { // these differ little from those of a smaller fleet
			delete(cuts, name)
		}
	}
	for name, c := range cuts {
		c.instances, c.domains = count, domains
		cuts[name] = c
	}
	return cuts
}

// TestCutOffInstancesAreServedAtAnySize guards against instances without a path that serve less the more of them there
// are, and against a storm of questions.
func TestCutOffInstancesAreServedAtAnySize(t *testing.T) {
	for _, count := range []int{8, 58, 300, 880} {
		for name, cut := range simCuts(count, min(max(count/12, 2), 24)) {
			t.Run(fmt.Sprint(count, " instances, ", name), func(t *testing.T) {
				t.Parallel()
				got := cut.play()
				askRate := float64(got.asks) / float64(count) / simDuration.Seconds()
				t.Logf("cut off: %.3f of %d, others: %.3f of %d, %.1f questions a second at each instance, %d carry, the most %v",
					got.share(true), got.total[true], got.share(false), got.total[false], askRate, len(got.loads), got.loads[max(len(got.loads)-3, 0):])
				if got.total[true] == 0 || got.share(true) < 0.98*got.share(false) {
					t.Errorf("instances that are cut off serve %.3f, the others %.3f", got.share(true), got.share(false))
				}
				calm := 1.0
				if cut.down > 0 {
					without := cut
					without.isCut = func(int, time.Duration) bool { return false }
					calm = without.play().share(false)
				}
				if got.share(false) < 0.98*calm {
					t.Errorf("the others serve %.3f, without the cut %.3f", got.share(false), calm)
				}
				if most := burstRounds*burstAsks/simDuration.Seconds() + looseAsks*float64(time.Second/looseInterval); askRate > most {
					t.Errorf("%.1f questions a second at each instance, want %.1f at most", askRate, most)
				}
			})
		}
	}
}
