// Package gate reports whether new work may start at this instance, from the
// freshness of the folded state. Package api, package decision and the readiness
// check depend on it.
package gate

import (
	"sync"
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/decision"
)

// Gate makes a freshness.Tracker safe for concurrent use. As a node.Observer it
// follows the node's reads of the log.
type Gate struct {
	now func() time.Time

	mu       sync.Mutex
	tracker  *freshness.Tracker
	lastMode freshness.Mode
	onChange func(freshness.Mode)
	// heldBillsFull reports whether no more bills can be held (see billing.Holder).
	// If so, new work is refused during an outage of the log.
	heldBillsFull func() bool
}

// New returns a gate over tracker; now is the clock.
func New(tracker *freshness.Tracker, now func() time.Time) *Gate {
	return &Gate{
		now:           now,
		tracker:       tracker,
		onChange:      func(freshness.Mode) {},
		heldBillsFull: func() bool { return false },
	}
}

// OnChange sets a callback for changes of the mode. It runs before anyone can act
// on the new mode, under the gate's lock: f must not block for long or call the
// gate. Call OnChange before the gate is used.
func (g *Gate) OnChange(f func(freshness.Mode)) { g.onChange = f }

// SetHeldBillsFull sets the function that reports whether no more bills can be
// held. Call it before the gate is used.
func (g *Gate) SetHeldBillsFull(full func() bool) { g.heldBillsFull = full }

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

// Vouched takes a peer's report on the log's head, received just now.
func (g *Gate) Vouched(v freshness.Vouch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Vouched(g.now(), v)
	g.update()
}

// SetLiveInstances takes the names of the instances that the platform lists,
// which may include this one.
func (g *Gate) SetLiveInstances(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetLiveInstances(names)
	g.update()
}

// Mode returns what the instance may do now.
func (g *Gate) Mode() freshness.Mode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.update()
}

// update advances the tracker to the current time and returns the mode. It calls
// onChange under the lock, so that package decision has received a mode before
// any request is admitted by it. Each call is a tick of the tracker: the first
// call after a pause detects it, so that no request is admitted on what was known
// before the pause.
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

// MayRun returns an empty reason if new work may start, else the reason for
// refusing it. It is called at admission and again right before each dispatch.
// idempotent is false for work that must first write to the log, such as a claim,
// the pins of a session or a manifest: during an outage it is refused.
func (g *Gate) MayRun(idempotent bool) decision.RefusalReason {
	switch g.Mode() {
	case freshness.ModeFresh:
		return ""
	case freshness.ModeOutage:
		if !idempotent || g.heldBillsFull() {
			return decision.ReasonOutage
		}
		return ""
	default:
		return decision.ReasonNotFresh
	}
}

// FreshnessEvent returns the event that reports mode to package decision.
func FreshnessEvent(mode freshness.Mode) decision.FreshnessChanged {
	return decision.FreshnessChanged{
		Fresh:  mode != freshness.ModeStale,
		Outage: mode == freshness.ModeOutage,
	}
}
