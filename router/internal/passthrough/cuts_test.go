package passthrough

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// startedRollout is an instance that knows of a roll-out of the shop to v2.
func startedRollout(t *testing.T, name string, clock *fakeClock) *parts {
	t.Helper()
	p := newParts(name, clock, &fakeLog{}, &fakeLog{})
	p.rollouts.known = true
	p.rollouts.ordered(passthrough.Order{Service: "shop", Target: "v2", Duration: time.Minute}, 1)
	p.look()
	return p
}

// look takes stock of the roll-out, and returns what all instances saw.
func (p *parts) look() view { return p.observations.view(p.rollouts.open["shop"], p.clock.Now()) }

func (p *parts) sees(version string, o passthrough.Observation) {
	o.Service, o.Route, o.Version = "shop", "r", version
	p.observations.observed(o)
}

// tellsTo hands what an instance saw to another one.
func (p *parts) tellsTo(other *parts) {
	for _, r := range p.observations.due() {
		other.observations.take(r)
	}
}

// TestCrashOfAServerIsOneFailure plays a good version of whose servers three crash, each with
// answers of several instances.
func TestCrashOfAServerIsOneFailure(t *testing.T) {
	clock := newFakeClock()
	a, b := startedRollout(t, "a", clock), startedRollout(t, "b", clock)
	for _, p := range []*parts{a, b} {
		for range 36 {
			p.sees("v2", passthrough.Observation{})
			p.sees("v1", passthrough.Observation{})
		}
		for server := range 3 {
			for range 4 {
				p.sees("v2", passthrough.Observation{Bad: true, ConnectionLost: true, Server: fmt.Sprint("s", server)})
			}
		}
	}
	b.tellsTo(a)
	if v := a.look(); v.fresh.Bad != 3 || v.fresh.Good != 72 || v.bad {
		t.Errorf("%d bad and %d good answers, bad %v", v.fresh.Bad, v.fresh.Good, v.bad)
	}
}

// TestVersionThatCutsAnswersOffIsBad plays one whose servers go on, and cut off a third of their
// answers all the time.
func TestVersionThatCutsAnswersOffIsBad(t *testing.T) {
	clock := newFakeClock()
	a := startedRollout(t, "a", clock)
	for i := range 30 {
		clock.pass(time.Second)
		a.sees("v1", passthrough.Observation{})
		a.sees("v2", passthrough.Observation{})
		a.sees("v2", passthrough.Observation{Bad: true, ConnectionLost: true, Server: fmt.Sprint("s", i%3)})
		if a.look().bad {
			return
		}
	}
	t.Error("not found in 30 s")
}

// TestFailuresCountEach holds that answers which a server failed by itself count one by one.
func TestFailuresCountEach(t *testing.T) {
	a := startedRollout(t, "a", newFakeClock())
	for range 7 {
		a.sees("v2", passthrough.Observation{Bad: true, Server: "s"})
		a.sees("v2", passthrough.Observation{})
		a.sees("v1", passthrough.Observation{})
	}
	if v := a.look(); v.fresh.Bad != 7 || !v.bad {
		t.Errorf("%d bad answers, bad %v", v.fresh.Bad, v.bad)
	}
}
