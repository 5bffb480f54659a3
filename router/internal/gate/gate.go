// Package gate answers "may new work start here now?" for the callers' edge, the
// decision and readiness, from the freshness of the folded state.
package gate

import (
	"sync"
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/decision"
)

// Gate wraps the pure freshness tracker for many goroutines. It observes the
// node's reads.
type Gate struct {
	now func() time.Time

	mu       sync.Mutex
	tracker  *freshness.Tracker
	lastMode freshness.Mode
	onChange func(freshness.Mode)
	// full says that no more bills can be held, so that new work must wait.
	billBufferFull func() bool
}

// New returns a gate over the tracker; now is the clock.
func New(tracker *freshness.Tracker, now func() time.Time) *Gate {
	return &Gate{
		now:            now,
		tracker:        tracker,
		onChange:       func(freshness.Mode) {},
		billBufferFull: func() bool { return false },
	}
}

// OnChange sets who is told of each change of mode, before anybody can act on
// it; f must not block for long nor ask the gate. Call it before the gate is
// used.
func (g *Gate) OnChange(f func(freshness.Mode)) { g.onChange = f }

// SetFull tells the gate how to learn that no more bills can be held. Call it
// before the gate is used.
func (g *Gate) SetHeldBillsFull(full func() bool) { g.billBufferFull = full }

// HeadRead implements node.Observer.
func (g *Gate) HeadRead(at time.Time, head uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.HeadRead(at, head)
	g.update()
}

// Folded implements node.Observer.
func (g *Gate) Folded(next uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Folded(next)
	g.update()
}

// ReadFailed implements node.Observer.
func (g *Gate) ReadFailed(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ReadFailed(at)
	g.update()
}

// Vouched takes a peer's word that came just now.
func (g *Gate) Vouched(v freshness.Vouch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Vouched(g.now(), v)
	g.update()
}

// Live takes the names of the instances that the platform lists.
func (g *Gate) SetLiveInstances(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetLiveInstances(peers)
	g.update()
}

// Mode is what the instance may do now.
func (g *Gate) Mode() freshness.Mode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.update()
}

// mode looks at the clock; whoever finds a change tells of it, under the lock,
// so that the decision has heard of a mode before a caller is let in by it.
// Each look is a tick, so a pause is found by the first look after it, and what
// was known before it does not let anything in.
func (g *Gate) update() freshness.Mode {
	now := g.now()
	g.tracker.Tick(now)
	mode := g.tracker.Mode(now)
	if mode != g.lastMode {
		g.lastMode = mode
		g.onChange(mode)
	}
	return mode
}

// MayRun returns an empty reason where new work may start. It is asked at
// admission and again right before each dispatch.
func (g *Gate) MayRun(idempotent bool) decision.RefusalReason {
	switch g.Mode() {
	case freshness.ModeFresh:
		return ""
	case freshness.ModeOutage:
		if !idempotent || g.billBufferFull() {
			return decision.ReasonOutage
		}
		return ""
	default:
		return decision.ReasonNotFresh
	}
}

// Event is a mode as the decision takes it.
func FreshnessEvent(mode freshness.Mode) decision.FreshnessChanged {
	return decision.FreshnessChanged{
		Fresh:  mode != freshness.ModeStale,
		Outage: mode == freshness.ModeOutage,
	}
}
