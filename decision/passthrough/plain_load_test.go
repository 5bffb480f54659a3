package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The servers of these tests are plain ones: shopSlots requests run at once for 30 ms each, and
// shopQueue more wait. A full server rejects the rest with a response or, in half of the cases,
// by a connection reset that leaves open whether the request ran.
const (
	shopServers = 5
	shopSlots   = 6
	shopQueue   = 24
	shopWork    = 30 * time.Millisecond
	shopStep    = 5 * time.Millisecond
	// shopCapacity is how many requests the servers serve per second.
	shopCapacity = shopServers * shopSlots * float64(time.Second) / float64(shopWork)
)

type shopJob struct {
	instance *harness
	id       RequestID
	left     time.Duration
}

// shopSim simulates many instances and a few plain servers.
type shopSim struct {
	rng       *rand.Rand
	route     *Route
	instances []*harness
	servers   map[string][]*shopJob
	handled   map[*harness]int
	arrived   map[*harness]map[RequestID]time.Time
	now       time.Time

	// hotShare is the fraction of the requests that team-0 sends; nine other teams send the
	// rest. rejectShare is the fraction that the first server rejects.
	hotShare, rejectShare float64

	sent, inTarget, late, refused, failed int
	rejected                              int
	// smallSent and smallServed count the other teams' requests.
	smallSent, smallServed int
	teams                  map[*harness]map[RequestID]string
}

func newShopSim(t *testing.T, instances int, route *Route) *shopSim {
	s := &shopSim{rng: rand.New(rand.NewPCG(3, 3)), route: route, servers: map[string][]*shopJob{},
		handled: map[*harness]int{}, arrived: map[*harness]map[RequestID]time.Time{}, teams: map[*harness]map[RequestID]string{}, now: testStart}
	list := servers("shop", shopServers, shopSlots)
	for i := range instances {
		h := newHarness(t, Settings{Seed: uint64(i), RetryRatio: 0.9, RetrySlack: 600, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
		h.tick(FleetSize{Instances: instances})
		c := Config{Version: 1, Services: []Service{{Name: "shop"}}, Routes: []Route{*route}}
		h.tick(Configured{NewIndex(c)})
		h.tick(ServersListed{list})
		s.instances = append(s.instances, h)
		s.arrived[h] = map[RequestID]time.Time{}
		s.teams[h] = map[RequestID]string{}
	}
	return s
}

// reset sets the counts to zero.
func (s *shopSim) reset() {
	s.sent, s.inTarget, s.late, s.refused, s.failed, s.rejected = 0, 0, 0, 0, 0, 0
	s.smallSent, s.smallServed = 0, 0
}

// simulate sends factor times what the servers can serve.
func (s *shopSim) simulate(length time.Duration, factor float64) {
	due := 0.0
	for until := s.now.Add(length); s.now.Before(until); {
		s.now = s.now.Add(shopStep)
		for _, h := range s.instances {
			h.now = s.now
		}
		for i := range shopServers {
			s.serve(s.instances[0].world.services["shop"].servers[i].ID)
		}
		for due += factor * shopCapacity * shopStep.Seconds(); due >= 1; due-- {
			h := s.instances[s.rng.IntN(len(s.instances))]
			team := s.team()
			s.sent++
			s.arrived[h][h.next+1], s.teams[h][h.next+1] = s.now, team
			h.arrive(s.route, func(r *Request) { r.Team = team })
			s.carryOut(h)
		}
		s.expireQueueWaits()
	}
}

const hotTeam = "team-0"

// team draws a request's team.
func (s *shopSim) team() string {
	if s.rng.Float64() < s.hotShare {
		return hotTeam
	}
	s.smallSent++
	return fmt.Sprint("team-", 1+s.rng.IntN(9))
}

// expireQueueWaits ends the queue waits that have expired.
func (s *shopSim) expireQueueWaits() {
	for _, h := range s.instances {
		if h.world.services["shop"].queue.len == 0 {
			continue
		}
		for id, at := range s.arrived[h] {
			if r := h.world.requests[id]; r != nil && r.queued && s.now.Sub(at) >= MaxQueueWait(&r.Request, at) {
				h.tick(QueueWaitExpired{id})
			}
		}
		s.carryOut(h)
	}
}

// serve simulates one step of a server.
func (s *shopSim) serve(id string) {
	jobs := s.servers[id]
	var kept []*shopJob
	for i, j := range jobs {
		if i < shopSlots {
			j.left -= shopStep
		}
		if j.left > 0 {
			kept = append(kept, j)
			continue
		}
		s.servers[id] = kept
		s.complete(id, j, len(jobs)-1)
	}
	s.servers[id] = kept
}

func (s *shopSim) complete(server string, j *shopJob, busy int) {
	at := s.arrived[j.instance][j.id]
	delete(s.arrived[j.instance], j.id)
	if s.now.Sub(at) <= s.route.TargetLatency {
		s.inTarget++
	} else {
		s.late++
	}
	if s.teams[j.instance][j.id] != hotTeam {
		s.smallServed++
	}
	load := Load{Running: min(busy, shopSlots), Waiting: max(busy-shopSlots, 0), Slots: shopSlots}
	j.instance.tick(LoadReported{Server: server, Load: load}, AttemptEnded{Request: j.id, Result: Completed, EventInterval: s.now.Sub(at)})
	s.carryOut(j.instance)
}

// carryOut carries out an instance's commands.
func (s *shopSim) carryOut(h *harness) {
	for s.handled[h] < len(h.allCommands) {
		c := h.allCommands[s.handled[h]]
		s.handled[h]++
		switch c := c.(type) {
		case Dispatch:
			s.dispatch(h, c)
		case Refuse:
			s.refused++
			delete(s.arrived[h], c.Request)
		case Finish:
			s.failed++
			delete(s.arrived[h], c.Request)
		}
	}
}

func (s *shopSim) dispatch(h *harness, c Dispatch) {
	id := c.Server.ID
	rejects := id == "shop-0" && s.rng.Float64() < s.rejectShare
	if len(s.servers[id]) < shopSlots+shopQueue && !rejects {
		work := time.Duration((0.5 + s.rng.Float64()) * float64(shopWork))
		s.servers[id] = append(s.servers[id], &shopJob{instance: h, id: c.Request, left: work})
		return
	}
	s.rejected++
	if s.rng.IntN(2) == 0 {
		h.tick(AttemptEnded{Request: c.Request, Result: Broken, ConnectionLost: true})
		return
	}
	load := Load{Running: shopSlots, Waiting: shopQueue, Slots: shopSlots}
	h.tick(LoadReported{Server: id, Load: load}, AttemptEnded{Request: c.Request, Result: Rejected})
}

// TestFullPlainServersAreNotOverloaded guards against overloading full servers. 100 instances send
// up to eight times what five servers can serve, with requests that may run once. One that may
// have run can only be reported as failed, so requests should be refused by the instances
// rather than rejected by the servers; and the servers must stay busy.
func TestFullPlainServersAreNotOverloaded(t *testing.T) {
	for _, factor := range []float64{0.6, 1.5, 3, 8} {
		route := onceRoute()
		route.MaxAttempts, route.Timeout = 1, 1200*time.Millisecond
		s := newShopSim(t, 100, route)
		s.simulate(time.Second, 0.3)
		s.reset()
		const length = 3 * time.Second
		s.simulate(length, factor)
		served := float64(s.inTarget+s.late) / length.Seconds()
		t.Logf("x %.1f: %d sent, %d in time, %d late, %d refused, %d failed, %d rejected: %.0f per second of %.0f",
			factor, s.sent, s.inTarget, s.late, s.refused, s.failed, s.rejected, served, shopCapacity)
		if factor > 1 && served < 0.85*shopCapacity {
			t.Errorf("at %.1f times the capacity %.0f requests per second are served, want at least 0.85 of %.0f", factor, served, shopCapacity)
		}
		if s.failed > s.sent/50 {
			t.Errorf("at %.1f times the capacity %d of %d failed, want at most one in 50", factor, s.failed, s.sent)
		}
	}
}

// TestBurstOfOneTeamLeavesSlotsToOthers guards against one team's burst of five times what the
// servers can serve that displaces nine teams, which ask for a third of the capacity together.
func TestBurstOfOneTeamLeavesSlotsToOthers(t *testing.T) {
	route := onceRoute()
	route.MaxAttempts, route.Timeout = 1, 1200*time.Millisecond
	s := newShopSim(t, 20, route)
	s.simulate(time.Second, 0.3)
	s.hotShare = 15.0 / 16
	s.simulate(time.Second, 5.33)
	s.reset()
	s.simulate(3*time.Second, 5.33)
	if got := float64(s.smallServed) / float64(s.smallSent); got < 0.7 {
		t.Errorf("%.2f of the small teams' requests served, want at least 0.7; %d of the hot team's", got, s.inTarget+s.late-s.smallServed)
	}
}

// TestOneRejectingServerDoesNotCauseRefusals guards against refusals while servers are free:
// one of five servers rejects half of its requests at a usual load, and each of 300 instances
// sees one request per second.
func TestOneRejectingServerDoesNotCauseRefusals(t *testing.T) {
	s := newShopSim(t, 300, plainRoute())
	s.rejectShare = 0.5
	s.simulate(6*time.Second, 0.3)
	if s.refused > s.sent/200 {
		t.Errorf("%d of %d refused with servers free, want at most one in 200", s.refused, s.sent)
	}
}
