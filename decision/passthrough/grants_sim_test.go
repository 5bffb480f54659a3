package passthrough

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// crowdMove is how long the same instances get most requests.
	crowdMove = 2 * time.Second
	// crowdPart is the part of all requests that they get, crowdDemand the demand as a fraction of what servers state.
	crowdPart   = 0.9
	crowdDemand = 0.68
	// largestCrowdFleet is the target in docs/CAPACITY.md.
	largestCrowdFleet = 880
	// crowdServed is the least share of the requests that is served at the first try, crowdLoss by how much it may be
	// below that before.
	crowdServed = 0.95
	crowdLoss   = 0.02
)

// crowdSim simulates instances in front of plain servers that are all rate-limited.
type crowdSim struct {
	rng       *rand.Rand
	now       time.Time
	instances []*harness
	byName    map[string]*harness
	lost      map[string]bool
	stated    float64
	limited   bool
	// waiting are the requests that are queued, with the times at which they are given up.
	waiting []crowdRequest
	handled []int
	sent    map[string][]time.Time
	served  int
	refused int
}

type crowdRequest struct {
	instance int
	id       RequestID
	until    time.Time
}

// newCrowdSim starts instances in failure domains, and a server for each eight, which states a rate limit or is in slow
// start.
func newCrowdSim(t *testing.T, instances, domains int, limited bool, seed uint64) *crowdSim {
	t.Helper()
	s := &crowdSim{rng: rand.New(rand.NewPCG(seed, 7)), now: testStart, byName: map[string]*harness{}, lost: map[string]bool{},
		stated: 20, limited: limited, handled: make([]int, instances), sent: map[string][]time.Time{}}
	var names []string
	members := map[string][]string{}
	for i := range domains {
		names = append(names, fmt.Sprint("z", i))
	}
	for i := range instances {
		members[names[i%domains]] = append(members[names[i%domains]], fmt.Sprint("i", i))
	}
	list := servers("shop", max(instances/8, 3), 50)
	for i := range list {
		list[i].Domain = names[i%domains]
		if !limited {
			list[i].SlowStartRemaining = time.Hour
		}
	}
	index := NewIndex(Config{Version: 1, Routes: []Route{*plainRoute()}, Services: []Service{{Name: "shop", SlowStartDuration: time.Hour, SlowStartRate: s.stated}}})
	for i := range instances {
		h := newHarness(t, Settings{Seed: seed + uint64(i), Domain: names[i%domains], Domains: names, SlowStartBurst: testSlowStartBurst, SlowStartSlack: testSlowStartSlack,
			RetryRatio: 0.9, RetrySlack: 56, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
		self := fmt.Sprint("i", i)
		h.tick(Configured{index}, FleetSize{Instances: instances}, Neighbours{Self: self, Names: members[names[i%domains]]}, ServersListed{list})
		for _, domain := range names {
			h.tick(RemoteNeighbours{Domain: domain, Names: members[domain]})
		}
		s.instances = append(s.instances, h)
		s.byName[self] = h
	}
	s.report()
	return s
}

// report tells all instances the limits, as reports between them do.
func (s *crowdSim) report() {
	if !s.limited {
		return
	}
	for _, h := range s.instances {
		var limits []PeerLimit
		for _, srv := range h.world.servers {
			limits = append(limits, PeerLimit{Key: srv.peerKey(), Limit: RateLimit{Limited: true, PerSecond: s.stated}})
		}
		h.now = s.now
		h.tick(PeerLimits{limits})
	}
}

// run sends requests to the instances that to returns, and returns the share that is served at the first try.
func (s *crowdSim) run(length time.Duration, to func() int) float64 {
	const step = 5 * time.Millisecond
	rate := crowdDemand * s.stated * float64(len(s.instances[0].world.servers))
	s.served, s.refused = 0, 0
	s.report()
	due := 0.0
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		// The demand of each second is the same; within it, arrivals are random.
		for due += 2 * s.rng.Float64() * rate * step.Seconds(); due >= 1; due-- {
			i := to()
			h := s.instances[i]
			h.now = s.now
			id := h.arrive(plainRoute(), nil)
			s.waiting = append(s.waiting, crowdRequest{i, id, s.now.Add(MaxQueueWait(&Request{TargetTime: s.now.Add(plainRoute().TargetLatency), Deadline: s.now.Add(time.Second)}, s.now))})
			s.carryOut(i)
		}
		s.wake()
	}
	return float64(s.served) / float64(max(s.served+s.refused, 1))
}

// wake lets time pass at the instances with queued requests.
func (s *crowdSim) wake() {
	s.waiting = slices.DeleteFunc(s.waiting, func(r crowdRequest) bool { return s.instances[r.instance].last(r.id) != nil })
	for _, r := range s.waiting {
		h := s.instances[r.instance]
		if h.now = s.now; s.now.Before(r.until) {
			h.tick()
		} else {
			h.tick(QueueWaitExpired{Request: r.id})
		}
		s.carryOut(r.instance)
	}
}

// carryOut carries out the commands of an instance.
func (s *crowdSim) carryOut(i int) {
	h := s.instances[i]
	peer := func(name string) *harness {
		if s.lost[name] {
			return nil
		}
		return s.byName[name]
	}
	for ; s.handled[i] < len(h.allCommands); s.handled[i]++ {
		switch c := h.allCommands[s.handled[i]].(type) {
		case Dispatch:
			wait, ok := obtainGrant(h, c, peer)
			if !ok {
				continue
			}
			s.served++
			s.sent[c.Server.ID] = append(s.sent[c.Server.ID], s.now.Add(wait))
			h.tick(AttemptEnded{Request: c.Request, Result: Completed, Limit: &RateLimit{Limited: s.limited, PerSecond: s.stated}})
		case Refuse:
			s.refused++
		}
	}
}

// maxPerSecond is how many requests a server may get in any second.
func (s *crowdSim) maxPerSecond() float64 {
	if s.limited {
		return s.stated
	}
	return s.stated*testSlowStartBurst + testSlowStartSlack
}

// TestRateIsOfUseWhereverRequestsArrive guards against instances that get most requests of a region, and refuse them
// although rate-limited servers have room.
func TestRateIsOfUseWhereverRequestsArrive(t *testing.T) {
	sizes := []struct{ instances, domains int }{{8, 2}, {58, 3}, {300, 6}, {largestCrowdFleet, 24}}
	for _, size := range sizes {
		crowds := []int{1, 3, 6, max(size.instances/5, 1)}
		for _, limited := range []bool{true, false} {
			for _, lost := range []float64{0, 0.1} {
				if size.instances == largestCrowdFleet && limited == (lost == 0) {
					continue // each of the two is simulated once at this size, which takes a gigabyte
				}
				t.Run(fmt.Sprintf("%d/limited=%v/lost=%v", size.instances, limited, lost), func(t *testing.T) {
					s := newCrowdSim(t, size.instances, size.domains, limited, 3)
					for i := range int(lost * float64(size.instances)) {
						s.lost[fmt.Sprint("i", 7*i%size.instances)] = true
					}
					for _, few := range crowds {
						checkCrowdSim(t, s, few)
					}
					for id, times := range s.sent {
						if most := maxInAnySecond(times); float64(most) > s.maxPerSecond() {
							t.Errorf("%s got %d requests in a second, allowed %.1f", id, most, s.maxPerSecond())
						}
					}
				})
			}
		}
	}
}

// checkCrowdSim lets few instances get most requests, three times others, and checks what is served.
func checkCrowdSim(t *testing.T, s *crowdSim, few int) {
	t.Helper()
	any := func() int {
		for {
			if i := s.rng.IntN(len(s.instances)); !s.lost[fmt.Sprint("i", i)] {
				return i
			}
		}
	}
	s.run(time.Second, any) // all buckets are as full as usual
	before := s.run(crowdMove, any)
	for range 3 {
		var crowd []int
		for len(crowd) < few {
			crowd = append(crowd, any())
		}
		got := s.run(crowdMove, func() int {
			if s.rng.Float64() < crowdPart {
				return crowd[s.rng.IntN(few)]
			}
			return any()
		})
		t.Logf("%d instances with most requests served %.3f, all before %.3f", few, got, before)
		if want := max(crowdServed, before-crowdLoss); got < want {
			t.Errorf("%d instances with most requests served %.3f, want %.3f", few, got, want)
		}
	}
}
