package freshness

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// scenario drives a Tracker that ticks every 100 ms.
type scenario struct {
	t   *testing.T
	tr  *Tracker
	now time.Time
}

func newScenario(t *testing.T, live ...string) *scenario {
	s := &scenario{t, New(Config{Self: "me"}), start}
	s.tr.Tick(s.now)
	if live != nil {
		s.tr.SetLiveInstances(live)
	}
	return s
}

// run ticks for the given time and calls each, unless it is nil, after each tick.
func (s *scenario) run(seconds float64, each func()) {
	end := s.now.Add(time.Duration(seconds * float64(time.Second)))
	for s.now.Before(end) {
		s.now = s.now.Add(100 * time.Millisecond)
		s.tr.Tick(s.now)
		if each != nil {
			each()
		}
	}
}

func (s *scenario) vouch(peer string, head uint64, age time.Duration, reachable bool) {
	s.tr.Vouched(s.now, Vouch{Peer: peer, Head: head, HeadAge: age, LogReachable: reachable})
}

func (s *scenario) fresh() {
	s.tr.HeadRead(s.now, 10)
	s.tr.Folded(10)
}

func (s *scenario) want(m Mode) {
	s.t.Helper()
	if r := s.tr.Report(s.now); r.Mode != m {
		s.t.Errorf("at %v: %+v, want mode %d", s.now.Sub(start), r, m)
	}
}

var fleet = []string{"me", "a", "b", "c"}

// Guards against an instance that counts as fresh, or as in an outage, without the
// confirmations or reports that this takes: it would run work under a manifest that
// was replaced.
func TestModes(t *testing.T) {
	tests := map[string]func(s *scenario){
		"nothing seen": func(s *scenario) {
			s.want(ModeStale)
			s.run(10, nil)
			s.want(ModeStale)
		},
		"head read but not folded": func(s *scenario) {
			s.tr.HeadRead(s.now, 10)
			s.want(ModeStale)
			s.tr.Folded(9)
			s.want(ModeStale)
			s.tr.Folded(10)
			s.want(ModeFresh)
		},
		"folding a head late confirms the time it was read": func(s *scenario) {
			s.tr.HeadRead(s.now, 10)
			s.run(6, nil)
			s.tr.Folded(10)
			s.want(ModeStale)
		},
		"fresh for the bound and no longer": func(s *scenario) {
			s.fresh()
			s.run(5, nil)
			s.want(ModeFresh)
			s.run(0.1, nil)
			s.want(ModeStale)
		},
		"log down for all": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
				s.vouch("b", 9, time.Minute, false)
			})
			s.want(ModeOutage)
			s.fresh()
			s.want(ModeFresh)
		},
		"log down, only half of the list reports": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
			})
			s.want(ModeStale)
		},
		"log down, the reporting peers are not in the list": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("x", 10, time.Minute, false)
				s.vouch("y", 10, time.Minute, false)
			})
			s.want(ModeStale)
		},
		"log down, one peer reaches it and is ahead": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
				s.vouch("b", 10, time.Minute, false)
				s.vouch("c", 11, 0, true)
			})
			s.want(ModeStale)
		},
		"log down, a peer has folded more": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
				s.vouch("b", 11, time.Minute, false)
			})
			s.want(ModeStale)
			s.tr.Folded(11)
			s.want(ModeOutage)
		},
		"log down, but no own read has failed": func(s *scenario) {
			s.run(6, func() {
				s.vouch("a", 0, time.Minute, false)
				s.vouch("b", 0, time.Minute, false)
			})
			s.want(ModeStale)
		},
		"outdated reports do not make a majority": func(s *scenario) {
			s.fresh()
			s.vouch("a", 10, time.Minute, false)
			s.vouch("b", 10, time.Minute, false)
			s.run(6, func() { s.tr.ReadFailed(s.now) })
			s.want(ModeStale)
		},
		"disconnected from the log, a peer vouches": func(s *scenario) {
			s.fresh()
			s.run(20, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Second, true)
			})
			s.want(ModeFresh)
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 11, time.Second, true)
			})
			s.want(ModeStale)
			s.tr.Folded(11)
			s.want(ModeFresh)
		},
		"a vouch is as old as the head that it names": func(s *scenario) {
			s.tr.Folded(10)
			s.vouch("a", 10, 4*time.Second, true)
			s.want(ModeFresh)
			s.run(1.1, nil)
			s.want(ModeStale)
			s.vouch("a", 10, 6*time.Second, true)
			s.want(ModeStale)
			s.vouch("a", 10, -time.Hour, true)
			s.want(ModeStale)
		},
		"disconnected from the log and from all peers": func(s *scenario) {
			s.fresh()
			s.run(60, func() { s.tr.ReadFailed(s.now) })
			s.want(ModeStale)
		},
		"paused and resumed": func(s *scenario) {
			s.fresh()
			s.now = s.now.Add(2600 * time.Millisecond)
			s.want(ModeStale)
			s.tr.Tick(s.now)
			s.want(ModeStale)
			s.tr.HeadRead(s.now.Add(-time.Second), 10) // sent before the pause ended
			s.want(ModeStale)
			s.tr.HeadRead(s.now, 10)
			s.want(ModeFresh)
		},
		"a pause shorter than half the bound": func(s *scenario) {
			s.fresh()
			s.now = s.now.Add(2400 * time.Millisecond)
			s.want(ModeFresh)
		},
		"paused during an outage": func(s *scenario) {
			s.fresh()
			down := func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
				s.vouch("b", 10, time.Minute, false)
			}
			s.run(6, down)
			s.now = s.now.Add(3 * time.Second)
			s.want(ModeStale)
			down()
			s.want(ModeOutage)
		},
		"a reporting peer is no longer listed": func(s *scenario) {
			s.fresh()
			s.run(6, func() {
				s.tr.ReadFailed(s.now)
				s.vouch("a", 10, time.Minute, false)
				s.vouch("b", 10, time.Minute, false)
			})
			s.tr.SetLiveInstances([]string{"me", "b", "c", "d"})
			s.want(ModeStale)
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) { f(newScenario(t, fleet...)) })
	}
}

// Guards against a majority of a fleet of unknown size: only an instance that is
// listed as the single one may enter outage mode without a report of a peer.
func TestSmallFleets(t *testing.T) {
	tests := map[string]struct {
		live []string
		want Mode
	}{
		"one alone":   {[]string{"me"}, ModeOutage},
		"no list yet": {nil, ModeStale},
		"empty list":  {[]string{}, ModeStale},
		"two":         {[]string{"me", "a"}, ModeStale},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, tt.live...)
			if tt.live != nil {
				s.tr.SetLiveInstances(tt.live)
			}
			s.fresh()
			s.run(6, func() { s.tr.ReadFailed(s.now) })
			s.want(tt.want)
		})
	}
}

// Guards against a pause that goes unnoticed: while a machine is suspended, the
// monotonic clock stops and the wall clock does not, so the pause must be
// detected by the latter.
func TestSuspendedMachine(t *testing.T) {
	s := newScenario(t, fleet...)
	s.fresh()
	now := time.Now()
	before := now.Round(0).Add(-time.Hour)
	if got := pauseBetween(before, now); got < time.Hour {
		t.Errorf("detected a pause of %v, want at least 1h", got)
	}
}
