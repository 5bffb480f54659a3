package passthrough

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// brittleFleet simulates instances and servers that are brittle: a server that rejects more than
// perSecond requests in a second fails for some seconds.
type brittleFleet struct {
	rng       *rand.Rand
	route     *Route
	kind      brittleKind
	instances []*harness
	servers   []*brittleServer
	now       time.Time
	// queue is how many requests wait at a server besides those that run. perSecond is what the servers
	// state, 0 if they are not brittle.
	queue     int
	perSecond float64
	handled   map[*harness]int
	byName    map[string]*harness
	sends     map[*shopJob]brittleSend
	opened    map[*harness]map[RequestID]time.Time
	transit   []brittleSend
	// loads are the instances' reports in transit to the others.
	loads      map[*harness][]PeerLoad
	brittle    map[string]float64
	reportedAt time.Time

	sent, served, refused, failed, rejected, falls int
}

// brittleKind is a kind of servers: their slots, the mean work of a request, and how many requests wait at a server
// before they let fewer wait. step is the time between two steps of the simulation, which a request also takes to its
// server.
type brittleKind struct {
	service Service
	route   *Route
	slots   int
	work    time.Duration
	queue   int
	step    time.Duration
}

// brittleShops are plain servers, brittleEngines are engines.
func brittleShops() brittleKind {
	route := onceRoute()
	route.MaxAttempts, route.Timeout = 2, 1500*time.Millisecond
	return brittleKind{Service{Name: "shop"}, route, shopSlots, shopWork, shopQueue, 2 * time.Millisecond}
}

func brittleEngines() brittleKind {
	const slots, queue = 24, 48
	return brittleKind{Service{Name: "llm", Slots: slots}, streamRoute(), slots, 800 * time.Millisecond, queue, 5 * time.Millisecond}
}

type brittleServer struct {
	Server
	jobs       []*shopJob
	rejectedAt []time.Time
	downUntil  time.Time
}

// brittleSend is a request on its way to a server.
type brittleSend struct {
	instance *harness
	dispatch Dispatch
	sentAt   time.Time
	// owner is the peer whose permit the request holds, nil for none. peers are those that it is still
	// offered to, the first one since offeredAt.
	owner     *harness
	peers     []string
	offeredAt time.Time
}

const (
	// brittleReportInterval is the time between two load reports of an instance. They are applied by the
	// others after as long again.
	brittleReportInterval = 250 * time.Millisecond
	brittleDownTime       = 4 * time.Second
)

func newBrittleFleet(t *testing.T, kind brittleKind, instances, count int, seed uint64) *brittleFleet {
	t.Helper()
	f := &brittleFleet{rng: rand.New(rand.NewPCG(seed, 9)), kind: kind, route: kind.route, now: testStart, queue: kind.queue,
		handled: map[*harness]int{}, byName: map[string]*harness{}, sends: map[*shopJob]brittleSend{}, opened: map[*harness]map[RequestID]time.Time{}, loads: map[*harness][]PeerLoad{}}
	var list []Server
	for i, s := range servers(kind.service.Name, count, kind.slots) {
		s.Domain = domainOf(i)
		list = append(list, s)
		f.servers = append(f.servers, &brittleServer{Server: s})
	}
	names := map[string][]string{}
	for i := range instances {
		names[domainOf(i)] = append(names[domainOf(i)], fmt.Sprintf("i%d", i))
	}
	for i := range instances {
		h := newHarness(t, Settings{Seed: seed + uint64(i), Domain: domainOf(i), Domains: limitDomains, RetryRatio: 0.9,
			RetrySlack: 56, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
		h.tick(FleetSize{Instances: instances}, Neighbours{Self: fmt.Sprintf("i%d", i), Names: names[domainOf(i)]},
			Configured{NewIndex(Config{Version: 1, Services: []Service{kind.service}, Routes: []Route{*f.route}})}, ServersListed{list})
		f.instances = append(f.instances, h)
		f.byName[fmt.Sprintf("i%d", i)] = h
		f.opened[h] = map[RequestID]time.Time{}
	}
	return f
}

// capacity is how many requests the servers serve in a second.
func (f *brittleFleet) capacity() float64 {
	return float64(len(f.servers)*f.kind.slots) * float64(time.Second) / float64(f.kind.work)
}

func (f *brittleFleet) reset() {
	f.sent, f.served, f.refused, f.failed, f.rejected, f.falls = 0, 0, 0, 0, 0, 0
}

// simulate sends factor times what the servers can serve.
func (f *brittleFleet) simulate(length time.Duration, factor float64) {
	due := 0.0
	for until := f.now.Add(length); f.now.Before(until); {
		f.now = f.now.Add(f.kind.step)
		for _, h := range f.instances {
			h.now = f.now
		}
		if f.now.Sub(f.reportedAt) >= brittleReportInterval {
			f.reportedAt = f.now
			f.exchangeLoads()
		}
		arriving := f.transit
		f.transit = nil
		for _, send := range arriving {
			f.arrive(send)
		}
		for _, s := range f.servers {
			f.serve(s)
		}
		for due += factor * f.capacity() * f.kind.step.Seconds(); due >= 1; due-- {
			h := f.instances[f.rng.IntN(len(f.instances))]
			f.sent++
			f.opened[h][h.next+1] = f.now
			h.arrive(f.route, func(r *Request) { r.Team = "team" })
			f.carryOut(h)
		}
		f.expireQueueWaits()
	}
}

func (f *brittleFleet) exchangeLoads() {
	sum := map[uint32]int{}
	for _, list := range f.loads {
		for _, l := range list {
			sum[l.Key] += l.Requests
		}
	}
	brittle := f.brittle
	for _, h := range f.instances {
		var others []PeerLoad
		own := map[uint32]int{}
		for _, l := range f.loads[h] {
			own[l.Key] = l.Requests
		}
		for key, n := range sum {
			others = append(others, PeerLoad{Key: key, Requests: n - own[key]})
		}
		h.tick(PeerLoads{Loads: others, Instances: len(f.instances) - 1}, PeerBrittle{brittle})
		f.carryOut(h)
	}
	f.brittle = map[string]float64{}
	for _, h := range f.instances {
		f.loads[h] = h.world.OwnLoads()
		maps.Copy(f.brittle, h.world.OwnBrittle())
	}
}

func (f *brittleFleet) expireQueueWaits() {
	for _, h := range f.instances {
		if h.world.services[f.kind.service.Name].queue.len == 0 {
			continue
		}
		h.tick()
		for id, at := range f.opened[h] {
			if r := h.world.requests[id]; r != nil && r.queued && f.now.Sub(at) >= MaxQueueWait(&r.Request, at) {
				h.tick(QueueWaitExpired{id})
			}
		}
		f.carryOut(h)
	}
}

func (f *brittleFleet) carryOut(h *harness) {
	for f.handled[h] < len(h.allCommands) {
		c := h.allCommands[f.handled[h]]
		f.handled[h]++
		switch c := c.(type) {
		case Dispatch:
			f.transit = append(f.transit, brittleSend{instance: h, dispatch: c, sentAt: f.now, peers: c.Peers, offeredAt: f.now})
		case Refuse:
			f.refused++
			delete(f.opened[h], c.Request)
		case Finish:
			f.failed++
			delete(f.opened[h], c.Request)
		}
	}
}

// offer offers a request to the next peer with permits, for at most permitWait each.
func (f *brittleFleet) offer(send brittleSend) {
	const permitWait = 60 * time.Millisecond
	server := send.dispatch.Server
	peer := f.byName[send.peers[0]]
	switch {
	case peer.world.TakePermitForPeer(f.now, server.ID):
		send.owner, send.peers = peer, nil
	case f.now.Sub(send.offeredAt) >= permitWait:
		send.peers, send.offeredAt = send.peers[1:], f.now
	}
	if send.owner == nil && len(send.peers) == 0 {
		send.instance.tick(AttemptEnded{Request: send.dispatch.Request, Result: NotSent, NoPermit: true})
		f.carryOut(send.instance)
		return
	}
	f.transit = append(f.transit, send)
}

// arrive lets a request arrive at its server.
func (f *brittleFleet) arrive(send brittleSend) {
	h, id := send.instance, send.dispatch.Request
	if len(send.peers) > 0 {
		f.offer(send)
		return
	}
	var s *brittleServer
	for _, x := range f.servers {
		if x.ID == send.dispatch.Server.ID {
			s = x
		}
	}
	if f.now.Before(s.downUntil) {
		f.release(send)
		h.tick(AttemptEnded{Request: id, Result: NotSent})
		f.carryOut(h)
		return
	}
	if len(s.jobs) < f.kind.slots+f.queue {
		work := time.Duration((0.5 + f.rng.Float64()) * float64(f.kind.work))
		s.jobs = append(s.jobs, &shopJob{instance: h, id: id, left: work})
		f.sends[s.jobs[len(s.jobs)-1]] = send
		return
	}
	f.release(send)
	f.rejected++
	s.rejectedAt = slices.DeleteFunc(append(s.rejectedAt, f.now), func(at time.Time) bool { return f.now.Sub(at) > time.Second })
	f.state(s, h, send.sentAt)
	h.tick(LoadReported{Server: s.ID, Load: f.load(s, len(s.jobs))}, AttemptEnded{Request: id, Result: Rejected})
	f.carryOut(h)
	if f.perSecond > 0 && float64(len(s.rejectedAt)) > f.perSecond {
		f.fall(s)
	}
}

// release gives back the permit of a request.
func (f *brittleFleet) release(send brittleSend) {
	if send.owner != nil {
		send.owner.tick(PeerPermitReleased{send.dispatch.Server})
		f.carryOut(send.owner)
	}
}

// state passes on what a server's response states.
func (f *brittleFleet) state(s *brittleServer, h *harness, sent time.Time) {
	h.tick(ServerStated{Server: s.Server, Brittle: f.perSecond > 0, BrittlePerSecond: f.perSecond, Sent: sent})
}

func (f *brittleFleet) load(_ *brittleServer, busy int) Load {
	return Load{Running: min(busy, f.kind.slots), Waiting: max(busy-f.kind.slots, 0), Slots: f.kind.slots}
}

// fall breaks all connections of a server that fails.
func (f *brittleFleet) fall(s *brittleServer) {
	f.falls++
	s.downUntil, s.rejectedAt = f.now.Add(brittleDownTime), nil
	jobs := s.jobs
	s.jobs = nil
	for _, j := range jobs {
		f.release(f.sends[j])
		delete(f.sends, j)
		j.instance.tick(AttemptEnded{Request: j.id, Result: Broken, ConnectionLost: true})
		f.carryOut(j.instance)
	}
}

// serve simulates one step of a server.
func (f *brittleFleet) serve(s *brittleServer) {
	var done []*shopJob
	var kept []*shopJob
	for i, j := range s.jobs {
		if i < f.kind.slots {
			j.left -= f.kind.step
		}
		if j.left > 0 {
			kept = append(kept, j)
		} else {
			done = append(done, j)
		}
	}
	s.jobs = kept
	for _, j := range done {
		f.served++
		f.release(f.sends[j])
		delete(f.sends, j)
		at := f.opened[j.instance][j.id]
		delete(f.opened[j.instance], j.id)
		f.state(s, j.instance, at)
		j.instance.tick(LoadReported{Server: s.ID, Load: f.load(s, len(s.jobs))}, AttemptEnded{Request: j.id, Result: Completed, EventInterval: f.now.Sub(at)})
		f.carryOut(j.instance)
	}
}

// TestBrittleServersDoNotFall guards against instances that each keep to the number of rejections that a
// brittle server survives, and together exceed it; also after its waiting room has shrunk, at any load.
func TestBrittleServersDoNotFall(t *testing.T) {
	testBrittleServers(t, brittleShops, []float64{2, 5, 12}, brittleSize{8, 3}, brittleSize{58, 3}, brittleSize{300, 5})
}

// TestBrittleEnginesDoNotFall is the same for engines, whose load the instances report to each other: they learn of
// what the others have sent some tenths of a second later.
func TestBrittleEnginesDoNotFall(t *testing.T) {
	testBrittleServers(t, brittleEngines, []float64{2, 12}, brittleSize{8, 6}, brittleSize{58, 12}, brittleSize{300, 18})
}

// brittleSize is the size of a simulated fleet.
type brittleSize struct{ instances, servers int }

// testBrittleServers simulates servers of the kind that state the numbers of rejections a second.
func testBrittleServers(t *testing.T, kind func() brittleKind, stated []float64, sizes ...brittleSize) {
	t.Helper()
	const (
		// notice is the time from the first statement until the servers let fewer wait.
		notice = 3 * time.Second
		length = 10 * time.Second
	)
	for _, size := range sizes {
		for _, perSecond := range stated {
			for _, factor := range []float64{0.3, 0.8, 1.5, 4} {
				name := fmt.Sprintf("%d instances, %.0f rejections, load %.1f", size.instances, perSecond, factor)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					f := newBrittleFleet(t, kind(), size.instances, size.servers, 1)
					f.simulate(2*time.Second, 0.3)
					f.perSecond = perSecond
					f.simulate(notice, 0.3)
					f.queue = 1
					f.reset()
					f.simulate(length, factor)
					served := float64(f.served) / min(float64(f.sent), f.capacity()*length.Seconds())
					t.Logf("%d sent, %d served (%.2f of what is possible), %d refused, %d failed, %d rejected, %d falls", f.sent, f.served, served, f.refused, f.failed, f.rejected, f.falls)
					if allowed := 2 + len(f.servers)/10; f.falls > allowed {
						t.Errorf("%d servers failed, want at most %d", f.falls, allowed)
					}
				})
			}
		}
	}
}
