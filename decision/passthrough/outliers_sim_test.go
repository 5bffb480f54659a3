package passthrough

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticplank.example/decision/admission"
	"masticplank.example/decision/outlier"
)

// outlierSim is a fleet in front of engines of which some reset each connection within milliseconds, and others lose a
// part of their responses.
type outlierSim struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	events    simQueue
	route     *Route
	instances []*harness
	handled   []int
	list      []Server
	engines   map[string]*outlierEngine
	// off keeps the evidence from being exchanged, as if the part were switched off.
	off bool
	// lost is the fraction of reports that are lost, late the delay of the others.
	lost float64
	late time.Duration
	// breaks is the fraction of the requests that each engine resets, as the request is at fault.
	breaks float64
	// slow is how many times as long as usual responses take.
	slow float64
	// sent and failed count requests and those that ended without a response.
	sent, failed int
	faulty       map[simKey]bool
	ejected      map[string]*ejections
}

// outlierEngine is one engine.
type outlierEngine struct {
	resets  bool
	loses   float64
	running int
	// failures are the times of its failed attempts.
	failures []time.Time
	// foundAt is when all instances had ejected it.
	foundAt time.Time
}

// ejections are the ejections of an engine: since when an instance has ejected it, and the longest time that one has.
type ejections struct {
	since   map[int]time.Time
	longest time.Duration
}

const (
	outlierEngines = 140
	outlierSlots   = 12
	// outlierRate is in requests per second and engine.
	outlierRate = 4.0
	// outlierFirst and outlierWhole are the times of a response's first and last event.
	outlierFirst = 120 * time.Millisecond
	outlierWhole = 1200 * time.Millisecond
)

func newOutlierSim(t *testing.T, instances int) *outlierSim {
	s := &outlierSim{t: t, rng: rand.New(rand.NewPCG(17, uint64(instances))), now: testStart, engines: map[string]*outlierEngine{},
		late: 150 * time.Millisecond, slow: 1, faulty: map[simKey]bool{}, ejected: map[string]*ejections{}}
	s.route = streamRoute()
	s.route.Models = nil
	s.list = servers("llm", outlierEngines, outlierSlots)
	for _, srv := range s.list {
		s.engines[srv.ID] = &outlierEngine{}
		s.ejected[srv.ID] = &ejections{since: map[int]time.Time{}}
	}
	s.instances, s.handled = make([]*harness, instances), make([]int, instances)
	for i := range instances {
		s.start(i)
	}
	s.exchangeDemand()
	s.run(3*time.Second, true)
	s.sent, s.failed = 0, 0
	return s
}

// start starts an instance, anew if it was running.
func (s *outlierSim) start(i int) {
	h := newHarness(s.t, Settings{Seed: s.rng.Uint64(), RetryRatio: 0.9, RetrySlack: 180, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
	h.now = s.now
	if old := s.instances[i]; old != nil {
		h.next = old.next
	}
	h.tick(FleetSize{Instances: len(s.instances)}, Configured{NewIndex(Config{Version: 1, Services: []Service{{Name: "llm", Slots: outlierSlots}}, Routes: []Route{*s.route}})},
		ServersListed{s.list})
	s.instances[i], s.handled[i] = h, 0
	for _, e := range s.ejected {
		delete(e.since, i)
	}
}

// turn makes a quarter of the engines reset all requests, and another half lose 2.5 in 100 responses.
func (s *outlierSim) turn() {
	for i, srv := range s.list {
		e := s.engines[srv.ID]
		e.resets = i%4 == 0
		if i%2 == 1 {
			e.loses = 0.025
		}
	}
}

// recover makes all engines serve all requests.
func (s *outlierSim) recover() {
	for _, e := range s.engines {
		e.resets, e.loses = false, 0
	}
}

func (s *outlierSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simAction{s.now.Add(d), do})
}

// reportInterval is the time between two reports of an instance, of three failure domains.
func (s *outlierSim) reportInterval() time.Duration {
	return max(150*time.Millisecond, time.Duration(len(s.instances)/3)*2500*time.Microsecond)
}

// run simulates a time.
func (s *outlierSim) run(length time.Duration, requests bool) {
	until := s.now.Add(length)
	var arrive, exchange func()
	arrive = func() {
		s.arrive()
		s.after(seconds(s.rng.ExpFloat64()/(outlierRate*outlierEngines)), func() {
			if s.now.Before(until) {
				arrive()
			}
		})
	}
	exchange = func() {
		s.exchange()
		s.after(s.reportInterval(), func() {
			if s.now.Before(until) {
				exchange()
			}
		})
	}
	if requests {
		s.after(0, arrive)
	}
	s.after(0, exchange)
	for s.events.Len() > 0 && s.events[0].at.Before(until) {
		e := heap.Pop(&s.events).(simAction)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *outlierSim) arrive() {
	i := s.rng.IntN(len(s.instances))
	h := s.instances[i]
	h.now = s.now
	s.sent++
	s.faulty[simKey{i, int(h.next + 1)}] = s.rng.Float64() < s.breaks
	h.arrive(s.route, nil)
	s.carryOut(i)
}

func (s *outlierSim) carryOut(i int) {
	h := s.instances[i]
	for ; s.handled[i] < len(h.allCommands); s.handled[i]++ {
		switch c := h.allCommands[s.handled[i]].(type) {
		case Dispatch:
			s.send(h, i, c)
		case Finish:
			s.failed++
		case ServerEjected:
			s.recordEjection(i, c)
		}
	}
}

func (s *outlierSim) recordEjection(i int, c ServerEjected) {
	e := s.ejected[c.Server]
	if since, ok := e.since[i]; ok && !c.Ejected {
		e.longest = max(e.longest, s.now.Sub(since))
		delete(e.since, i)
	} else if !ok && c.Ejected {
		e.since[i] = s.now
	}
	engine := s.engines[c.Server]
	if engine.foundAt.IsZero() && engine.resets && len(e.since) == len(s.instances) {
		engine.foundAt = s.now
	}
}

func (s *outlierSim) send(h *harness, i int, d Dispatch) {
	e := s.engines[d.Server.ID]
	startTime := d.Server.StartTime
	if e.resets || s.faulty[simKey{i, int(d.Request)}] {
		s.after(3*time.Millisecond, func() { s.fail(h, i, d.Request, e, false) })
		return
	}
	e.running++
	loses := s.rng.Float64() < e.loses
	s.after(seconds(outlierFirst.Seconds()*s.slow), func() {
		load := Load{Running: e.running, Slots: outlierSlots}
		s.tell(h, i, LoadReported{Server: d.Server.ID, StartTime: startTime, Load: load}, FirstByte{Request: d.Request, After: outlierFirst, Load: load, HasLoad: true}, FirstEvent{d.Request})
		s.after(seconds((outlierWhole-outlierFirst).Seconds()*s.slow), func() {
			e.running--
			if loses {
				s.fail(h, i, d.Request, e, true)
				return
			}
			s.tell(h, i, AttemptEnded{Request: d.Request, Result: Completed, EventInterval: 20 * time.Millisecond, Confidence: 1})
		})
	})
}

func (s *outlierSim) fail(h *harness, i int, id RequestID, e *outlierEngine, begun bool) {
	e.failures = append(e.failures, s.now)
	s.tell(h, i, AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Begun: begun})
}

// tell passes events to an instance, unless that has been started anew.
func (s *outlierSim) tell(h *harness, i int, events ...Event) {
	if s.instances[i] != h {
		return
	}
	h.now = s.now
	h.tick(events...)
	s.carryOut(i)
}

// exchangeDemand tells all instances of each other before the first request.
func (s *outlierSim) exchangeDemand() {
	for _, h := range s.instances {
		h.tick(PeerLoads{Instances: len(s.instances) - 1}, PeerDemand{Instances: len(s.instances) - 1})
	}
}

// exchange reports loads, demand and failures of all instances to the others.
func (s *outlierSim) exchange() {
	loads, rows, demand := map[uint32]PeerLoad{}, map[outlier.Server]outlier.Row{}, [][]admission.Demand{}
	own := make([]map[outlier.Server]outlier.Row, len(s.instances))
	for i, h := range s.instances {
		if s.rng.Float64() < s.lost {
			continue
		}
		h.world.now = s.now
		own[i] = map[outlier.Server]outlier.Row{}
		demand = append(demand, h.world.OwnDemand())
		for _, l := range h.world.OwnLoads() {
			have := loads[l.Key]
			loads[l.Key] = PeerLoad{Key: l.Key, Requests: have.Requests + l.Requests, PrefillTime: have.PrefillTime + l.PrefillTime}
		}
		for _, row := range h.world.OwnOutliers() {
			own[i][row.Server] = row
			if have, ok := rows[row.Server]; ok {
				row = have.Merge(row)
			}
			rows[row.Server] = row
		}
	}
	all := admission.Sum(demand...)
	for i, h := range s.instances {
		if s.rng.Float64() < s.lost {
			continue
		}
		s.after(s.late, func() {
			peers := PeerLoads{Instances: len(s.instances) - 1}
			for _, l := range loads {
				peers.Loads = append(peers.Loads, l)
			}
			out := PeerOutliers{}
			if !s.off {
				out.Rows = othersRows(rows, own[i], s.late)
			}
			s.tell(h, i, peers, PeerDemand{Demand: all, Instances: len(s.instances) - 1}, out)
		})
	}
}

// othersRows are the rows of all instances without one's own.
func othersRows(rows, own map[outlier.Server]outlier.Row, age time.Duration) []outlier.Row {
	var out []outlier.Row
	for key, row := range rows {
		mine := own[key]
		row.Failed, row.Total, row.Instances = row.Failed-mine.Failed, row.Total-mine.Total, row.Instances-mine.Instances
		row.Ejecting -= mine.Ejecting
		out = append(out, row.Aged(age))
	}
	return out
}

// slowest is the longest time from the fifth failure of an engine that resets requests until all instances had ejected it,
// and the number of such engines that were not found.
func (s *outlierSim) slowest() (longest time.Duration, missed int) {
	for _, e := range s.engines {
		switch {
		case !e.resets || len(e.failures) < 5:
		case e.foundAt.IsZero() && s.now.Sub(e.failures[4]) > 2*time.Second:
			missed++
		case !e.foundAt.IsZero():
			longest = max(longest, e.foundAt.Sub(e.failures[4]))
		}
	}
	return longest, missed
}

// wronglyEjected counts the sound engines that any instance has ejected, and the longest such time.
func (s *outlierSim) wronglyEjected() (count int, longest time.Duration) {
	for id, e := range s.ejected {
		if s.engines[id].resets {
			continue
		}
		for _, since := range e.since {
			e.longest = max(e.longest, s.now.Sub(since))
		}
		if e.longest > 0 {
			count, longest = count+1, max(longest, e.longest)
		}
	}
	return count, longest
}

const (
	// outlierFailures is the part of the requests that may fail while a quarter of the engines reset all of them, if
	// they are found within outlierFound; more in proportion if reports take longer.
	outlierFailures = 0.01
	// outlierFound is the time from an engine's fifth failure until all instances have ejected it, beside two reports.
	outlierFound = 1500 * time.Millisecond
	// outlierMoment is how long a sound engine may be ejected, outlierMost how many may be: the others can take as much more.
	outlierMoment = 4 * time.Second
	outlierMost   = outlierEngines / 50
)

// TestResettingServersAreFoundByAll guards against requests that fail at each instance in turn, at servers that reset them
// and look idle.
func TestResettingServersAreFoundByAll(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 70, 300, 880} {
		for name, disturb := range map[string]func(*outlierSim){
			"reports":           func(*outlierSim) {},
			"lost reports":      func(s *outlierSim) { s.lost = 0.2 },
			"late reports":      func(s *outlierSim) { s.late = 450 * time.Millisecond },
			"instances restart": func(s *outlierSim) { s.after(4*time.Second, s.restartHalf) },
		} {
			t.Run(fmt.Sprint(n, " instances, ", name), func(t *testing.T) {
				t.Parallel()
				s := newOutlierSim(t, n)
				disturb(s)
				s.turn()
				s.run(8*time.Second, true)
				found, missed := s.slowest()
				wrong, longest := s.wronglyEjected()
				t.Logf("%d of %d requests failed, found after %v, %d missed; %d sound engines ejected, for %v at most", s.failed, s.sent, found, missed, wrong, longest)
				limit := outlierFound + 2*(s.reportInterval()-150*time.Millisecond) + s.late - 150*time.Millisecond
				if most := outlierFailures * float64(limit) / float64(outlierFound); float64(s.failed) > most*float64(s.sent) {
					t.Errorf("%d of %d requests failed, want at most %.3f of them", s.failed, s.sent, most)
				}
				if s.lost == 0 && (found > limit || missed > 0) {
					t.Errorf("all instances had ejected the last engine %v after its fifth failure, %d not at all, want %v", found, missed, limit)
				}
				if longest > outlierMoment || wrong > outlierMost {
					t.Errorf("%d sound engines ejected, for %v at most, want %d and %v", wrong, longest, outlierMost, outlierMoment)
				}
			})
		}
	}
}

// restartHalf starts half of the instances anew.
func (s *outlierSim) restartHalf() {
	for i := 0; i < len(s.instances); i += 2 {
		s.start(i)
	}
}

// TestInstancesFailTheirRequestsAlone shows the load: without the others' evidence, requests fail at all instances.
func TestInstancesFailTheirRequestsAlone(t *testing.T) {
	t.Parallel()
	s := newOutlierSim(t, 70)
	s.off = true
	s.turn()
	s.run(8*time.Second, true)
	t.Logf("%d of %d requests failed", s.failed, s.sent)
	if float64(s.failed) <= outlierFailures*float64(s.sent) {
		t.Errorf("%d of %d requests failed with the part switched off: the load is too small to show anything", s.failed, s.sent)
	}
}

// TestRecoveredServersAreUsedAgain guards against servers that stay ejected once they serve requests, and against all
// instances that try one at once.
func TestRecoveredServersAreUsedAgain(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 70, 300} {
		s := newOutlierSim(t, n)
		s.turn()
		s.run(8*time.Second, true)
		s.recover()
		s.run(10*time.Second, true)
		left := 0
		for _, h := range s.instances {
			left += h.world.EjectedServers()
		}
		if left > 0 {
			t.Errorf("%d instances: %d ejections 10 s after the engines recovered, want none", n, left)
		}
	}
}

// TestRestartedServerIsUsedAtOnce guards against a new process that pays for its predecessor.
func TestRestartedServerIsUsedAtOnce(t *testing.T) {
	t.Parallel()
	s := newOutlierSim(t, 70)
	s.turn()
	s.run(4*time.Second, true)
	if before := s.instances[0].world.servers[s.list[0].ID]; !s.instances[0].world.outliers.Ejected(before.outlierKey()) {
		t.Fatalf("%s is not ejected", s.list[0].ID)
	}
	s.engines[s.list[0].ID].resets = false
	s.list[0].StartTime++
	for i, h := range s.instances {
		s.tell(h, i, ServersListed{s.list})
	}
	s.run(2*time.Second, true)
	for i, h := range s.instances {
		if srv := h.world.servers[s.list[0].ID]; srv.leftOut || h.world.outliers.Ejected(srv.outlierKey()) {
			t.Errorf("instance %d leaves the new process out", i)
		}
	}
}

// TestSoundServersStayInUse guards against sound servers that are ejected: as requests fail at all of them, as their
// machines are slow, or as all of them lose a part of their responses.
func TestSoundServersStayInUse(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*outlierSim){
		"a tenth of the requests break each connection": func(s *outlierSim) { s.breaks = 0.1 },
		"all requests break each connection":            func(s *outlierSim) { s.breaks = 1 },
		"slow machines":                                 func(s *outlierSim) { s.slow = 4 },
		"all lose one response in seven": func(s *outlierSim) {
			for _, e := range s.engines {
				e.loses = 0.14
			}
		},
		"all lose a third of the responses": func(s *outlierSim) {
			for _, e := range s.engines {
				e.loses = 0.33
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newOutlierSim(t, 70)
			disturb(s)
			s.run(10*time.Second, true)
			wrong, longest := s.wronglyEjected()
			t.Logf("%d ejected, for %v at most", wrong, longest)
			if longest > outlierMoment || wrong > outlierMost {
				t.Errorf("%d sound engines ejected, for %v at most, want %d and %v", wrong, longest, outlierMost, outlierMoment)
			}
		})
	}
}
