package passthrough

import (
	"testing"
	"time"

	"masticplank.example/decision/reach"
)

// silentSim lets one of three plain servers fall silent: it accepts requests and answers none of them until it
// goes on.
type silentSim struct {
	*harness
	route *Route
	// silent is the id of the silent server.
	silent string
	// open are the attempts in progress.
	open map[RequestID]silentAttempt
	// done counts the commands that were carried out.
	done int

	retries, toSilent, failed int
}

type silentAttempt struct {
	server  string
	sent    time.Time
	timeout time.Duration
}

func (s *silentSim) carryOut() {
	for ; s.done < len(s.allCommands); s.done++ {
		switch c := s.allCommands[s.done].(type) {
		case Dispatch:
			s.open[c.Request] = silentAttempt{c.Server.ID, s.now, c.FirstByteTimeout}
			if c.Attempt > 1 {
				s.retries++
			}
			if c.Server.ID == s.silent {
				s.toSilent++
			}
		case Refuse, Finish:
			s.failed++
		}
	}
}

// run sends a request each interval.
func (s *silentSim) run(length, interval time.Duration) {
	const step, work = 5 * time.Millisecond, 30 * time.Millisecond
	next := s.now
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance(step)
		for id, a := range s.open {
			switch waited := s.now.Sub(a.sent); {
			case a.server != s.silent && waited >= work:
				delete(s.open, id)
				s.tick(LoadReported{Server: a.server, Load: Load{Running: 1, Slots: 6}}, AttemptEnded{Request: id, Result: Completed, EventInterval: waited})
			case a.timeout > 0 && waited >= a.timeout:
				delete(s.open, id)
				s.tick(AttemptEnded{Request: id, Result: Broken})
			}
		}
		for ; !next.After(s.now); next = next.Add(interval) {
			s.arrive(s.route, nil)
		}
		s.carryOut()
	}
}

// TestSilentSecondIsNoCrash guards against a wave of retries, and against a server that is kept out afterwards,
// when a sound server falls silent for a second and goes on.
func TestSilentSecondIsNoCrash(t *testing.T) {
	for name, route := range map[string]*Route{"retryable": plainRoute(), "at most once": onceRoute()} {
		t.Run(name, func(t *testing.T) {
			route.Timeout = 3 * time.Second
			s := &silentSim{harness: newListedHarness(t, route, servers("shop", 3, 6)), route: route, open: map[RequestID]silentAttempt{}}
			const interval = 20 * time.Millisecond
			s.run(2*time.Second, interval)
			s.silent = "shop-1"
			s.run(1500*time.Millisecond, interval)
			s.silent = ""
			t.Logf("%d sent to the silent server, %d retries, %d failures", s.toSilent, s.retries, s.failed)
			if s.toSilent > 6 {
				t.Errorf("%d requests sent to the silent server, want at most as many as it has slots", s.toSilent)
			}
			if s.retries > s.toSilent || s.failed > 0 {
				t.Errorf("%d retries, %d failures, want one retry for each of the %d requests at most and no failure", s.retries, s.failed, s.toSilent)
			}
			s.run(200*time.Millisecond, interval)
			srv := s.world.servers["shop-1"]
			if srv.health.ejected(s.now) || !srv.usable(s.now) || srv.inSlowStart(s.now) {
				t.Errorf("ejected %v, usable %v, in slow start %v 0.2 s after it went on", srv.health.ejected(s.now), srv.usable(s.now), srv.inSlowStart(s.now))
			}
			if path, _ := s.world.Path(); path != reach.Up {
				t.Errorf("path %v, want up", path)
			}
			for _, c := range s.allCommands {
				switch c.(type) {
				case CrashSuspected, SlowStartBegun, RefreshServers:
					t.Errorf("%T", c)
				}
			}
		})
	}
}
