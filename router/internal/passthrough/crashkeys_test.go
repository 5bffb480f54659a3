package passthrough

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// startRollout returns an instance with a roll-out of the shop to v2 in progress.
func startRollout(t *testing.T, name string, clock *fakeClock) *testInstance {
	t.Helper()
	p := newTestInstance(name, clock, &fakeLog{}, &fakeLog{})
	p.rollouts.registerRead = true
	p.rollouts.applyOrder(passthrough.Order{Service: "shop", Target: "v2", Duration: time.Minute}, 1)
	p.view()
	return p
}

// view returns the sum of the observations of all instances.
func (p *testInstance) view() view {
	return p.observations.view(p.rollouts.byService["shop"], p.clock.Now())
}

func (p *testInstance) observe(version string, o passthrough.Observation) {
	o.Service, o.Route, o.Version = "shop", "r", version
	p.observations.recordResponse(o)
}

// sendTo passes the instance's pending records to another one.
func (p *testInstance) sendTo(other *testInstance) {
	for _, r := range p.observations.pendingRecords() {
		other.observations.apply(r)
	}
}

// TestCrashOfAServerIsOneFailure guards against reverting a good version because one crash counts
// as many failures: three servers crash, each with responses to several instances in progress.
func TestCrashOfAServerIsOneFailure(t *testing.T) {
	clock := newFakeClock()
	a, b := startRollout(t, "a", clock), startRollout(t, "b", clock)
	for _, p := range []*testInstance{a, b} {
		for range 36 {
			p.observe("v2", passthrough.Observation{})
			p.observe("v1", passthrough.Observation{})
		}
		for server := range 3 {
			for range 4 {
				p.observe("v2", passthrough.Observation{Bad: true, ConnectionLost: true, Server: fmt.Sprint("s", server)})
			}
		}
	}
	b.sendTo(a)
	if v := a.view(); v.newCounts.Bad != 3 || v.newCounts.Good != 72 || v.bad {
		t.Errorf("%d bad and %d good responses, verdict bad %v, want 3, 72, false", v.newCounts.Bad, v.newCounts.Good, v.bad)
	}
}

// TestVersionThatTruncatesResponsesIsBad checks that a version whose servers keep running but truncate
// a third of all responses is found bad.
func TestVersionThatTruncatesResponsesIsBad(t *testing.T) {
	clock := newFakeClock()
	a := startRollout(t, "a", clock)
	for i := range 30 {
		clock.advance(time.Second)
		a.observe("v1", passthrough.Observation{})
		a.observe("v2", passthrough.Observation{})
		a.observe("v2", passthrough.Observation{Bad: true, ConnectionLost: true, Server: fmt.Sprint("s", i%3)})
		if a.view().bad {
			return
		}
	}
	t.Error("not found bad within 30 s")
}

// TestFailuresCountEach checks that failures without a lost connection count one by one.
func TestFailuresCountEach(t *testing.T) {
	a := startRollout(t, "a", newFakeClock())
	for range 7 {
		a.observe("v2", passthrough.Observation{Bad: true, Server: "s"})
		a.observe("v2", passthrough.Observation{})
		a.observe("v1", passthrough.Observation{})
	}
	if v := a.view(); v.newCounts.Bad != 7 || !v.bad {
		t.Errorf("%d bad responses, verdict bad %v, want 7, true", v.newCounts.Bad, v.bad)
	}
}
