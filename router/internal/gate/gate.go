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

	mu      sync.Mutex
	tracker *freshness.Tracker
	// full says that no more bills can be held, so that new work must wait.
	full func() bool
}

// New returns a gate over the tracker; now is the clock.
func New(tracker *freshness.Tracker, now func() time.Time) *Gate {
	return &Gate{now: now, tracker: tracker, full: func() bool { return false }}
}

// SetFull tells the gate how to learn that no more bills can be held. Call it
// before the gate is used.
func (g *Gate) SetFull(full func() bool) { g.full = full }

// HeadRead implements node.Observer.
func (g *Gate) HeadRead(at time.Time, head uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.HeadRead(at, head)
}

// Folded implements node.Observer.
func (g *Gate) Folded(next uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Folded(next)
}

// ReadFailed implements node.Observer.
func (g *Gate) ReadFailed(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ReadFailed(at)
}

// Vouched takes a peer's word that came just now.
func (g *Gate) Vouched(v freshness.Vouch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Vouched(g.now(), v)
}

// Live takes the names of the instances that the platform lists.
func (g *Gate) Live(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Live(peers)
}

// Mode is what the instance may do now.
func (g *Gate) Mode() freshness.Mode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Mode(g.now())
}

// MayRun returns an empty reason where new work may start. It is asked at
// admission and again right before each dispatch.
func (g *Gate) MayRun(idempotent bool) decision.RefusalReason {
	switch g.Mode() {
	case freshness.ModeFresh:
		return ""
	case freshness.ModeOutage:
		if !idempotent || g.full() {
			return decision.ReasonOutage
		}
		return ""
	default:
		return decision.ReasonNotFresh
	}
}

// Event is the mode as the decision takes it.
func (g *Gate) Event() decision.FreshnessChanged {
	mode := g.Mode()
	return decision.FreshnessChanged{
		Fresh:  mode != freshness.ModeStale,
		Outage: mode == freshness.ModeOutage,
	}
}
