package passthrough

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// rollouts executes the operator's roll-out orders. Each instance plans by itself, from the time
// since the order and from the observations of all instances. The end is written to the register
// once, by the first instance whose plan ends.
type rollouts struct {
	records      Records
	register     keyedlog.Log
	driver       *Driver
	servers      *serverList
	observations *observationStore
	telemetry    *telemetry
	clock        Clock
	// exposure limits the requests that a bad version may get.
	exposure passthrough.ExposureLimit
	// writesRegister reports whether this instance writes the register. The other instances of its
	// failure domain only read it, to limit the number of calls to the store in a large fleet.
	writesRegister func() bool

	mu sync.Mutex
	// byService holds the latest roll-out of each service, also after its end.
	byService map[string]*rollout
	// registerStates are the newest states of roll-outs in the register by service; registerRead
	// is true if the register was read.
	registerStates map[string]registerState
	registerRead   bool
	wake           chan struct{}
	// lastRunAt is when open roll-outs were last advanced, zero while there are none.
	lastRunAt time.Time
	// restoredAt is when the last restore of the store was noticed, zero if there was none.
	restoredAt time.Time
}

// rollout is a roll-out order with the state of its execution at this instance.
type rollout struct {
	passthrough.Order
	offset uint64
	// earlierOffsets are the offsets of the order before it was written again.
	earlierOffsets []uint64
	// rewriteUntil is the time until which an end that the store lacks is written again; zero if
	// it need not be.
	rewriteUntil time.Time
	// orderedAt is when this instance read the order.
	orderedAt time.Time
	plan      passthrough.Rollout
	// ended is the end that this instance has applied, readPhase the end that was read from the
	// register; 0 for none yet.
	ended     passthrough.Phase
	readPhase passthrough.Phase
	// badSince is when this instance began to find the version bad, zero if it does not.
	badSince time.Time
	// held is true if the roll-out's time passed before a verdict on its version was possible;
	// finishAt is when the held roll-out completes once the version was found good.
	held     bool
	finishAt time.Time
	// known are the latest numbers of responses of the new version that were known here. dueAt is when this instance
	// first found the roll-out due to be completed, zero for not yet.
	known []knownResponses
	dueAt time.Time
	// registered is true if the register holds the roll-out.
	registered bool
}

// rolloutInterval is the time between two evaluations of open roll-outs: a bad version must be
// reverted within seconds of its 50th bad response.
const rolloutInterval = 400 * time.Millisecond

func newRollouts(records Records, topic keyedlog.Log, driver *Driver, l *serverList, observations *observationStore, tel *telemetry, clock Clock, limit passthrough.ExposureLimit) *rollouts {
	return &rollouts{
		records: records, register: topic, driver: driver, servers: l, observations: observations, telemetry: tel, clock: clock,
		exposure: limit, writesRegister: func() bool { return true }, byService: map[string]*rollout{}, registerStates: map[string]registerState{}, wake: make(chan struct{}, 1),
	}
}

// applyOrder applies a roll-out order. An order that is already known changes nothing.
func (m *rollouts) applyOrder(o passthrough.Order, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.byService[o.Service]; old != nil && (old.Order == o && old.offset == offset || m.isRewrittenOrder(old, o, offset)) {
		return
	}
	r := &rollout{Order: o, offset: offset, orderedAt: m.clock.Now()}
	// Until the register was read, the new version gets no requests: an instance that starts in
	// the middle of a roll-out knows neither its phase nor the open sessions.
	r.plan = passthrough.Rollout{Order: o, Phase: passthrough.PhaseCanary, FirstHalf: true, CollectingSessions: true}
	if old := m.byService[o.Service]; old != nil {
		m.observations.setFoundBad(old.Service, old.Target, false)
	}
	m.byService[o.Service] = r
	if st, ok := m.registerStates[o.Service]; ok && st.target == o.Target {
		m.applyState(r, st.phase)
	}
	m.driver.Handle(passthrough.RolloutUpdated{Rollout: r.plan})
	m.telemetry.emit(logging.EventRolloutOrdered, slog.String("service", o.Service),
		slog.String("target", o.Target), slog.Int64("duration_ms", o.Duration.Milliseconds()), slog.Uint64("offset", offset))
	m.wakeUp()
}

// wakeUp makes run evaluate the roll-outs if it waits for one to open.
func (m *rollouts) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// active reports whether some roll-out has not ended.
func (m *rollouts) active() bool { return len(m.openRollouts()) > 0 }

// run advances the open roll-outs until ctx ends. While there are none, it waits for wakeUp.
func (m *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.advanceAll(ctx) {
			select {
			case <-m.wake:
			case <-ctx.Done():
			}
			continue
		}
		sleep(ctx, rolloutInterval, nil)
	}
}

// advanceAll advances the open roll-outs and writes lost ends again. It reports whether there were any.
func (m *rollouts) advanceAll(ctx context.Context) bool {
	open, lost := m.openRollouts(), m.lostEnds()
	m.detectSuspension(len(open) > 0)
	for _, r := range open {
		m.advance(ctx, r)
	}
	for _, r := range lost {
		m.rewriteEnd(ctx, r)
	}
	return len(open)+len(lost) > 0
}

// detectSuspension detects whether this process was suspended since the last run, and then marks the
// observations as incomplete. open is true if there are open roll-outs.
//
// Load: an instance is suspended for the second half of a roll-out, and does not notice an outage
// of the store in that time, in which its peers cannot report their observations. Harm prevented: the
// instance, which knows of no failure, completes a bad version before its peers can report it.
func (m *rollouts) detectSuspension(open bool) {
	now := m.clock.Now()
	if !m.lastRunAt.IsZero() && now.Sub(m.lastRunAt) > propagationTime {
		m.observations.onSuspension()
	}
	m.lastRunAt = time.Time{}
	if open {
		m.lastRunAt = now
	}
}

// openRollouts returns the roll-outs that have not ended.
func (m *rollouts) openRollouts() []*rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout
	for _, r := range m.byService {
		if r.ended == 0 {
			out = append(out, r)
		}
	}
	return out
}

// advance updates the plan of one roll-out and writes its end to the register when it is due.
func (m *rollouts) advance(ctx context.Context, r *rollout) {
	now := m.clock.Now()
	seen := m.observations.view(r, now)
	elapsed := max(now.Sub(r.orderedAt), seen.elapsed)
	plan := passthrough.PlanRollout(r.Order, now, elapsed, m.exposure, seen.newCounts, seen.oldCounts, seen.bad)
	stored, registered, registerRead := m.knownState(r)
	if stored.Ended() {
		plan.Phase = stored
		m.end(r, stored, seen, "read")
		m.applyPlan(r, plan, seen)
		return
	}
	if plan.CollectingSessions {
		m.observations.addOpenSessions(r.Service, m.driver.openSessions(r.Service, r.Target, plan.Share))
	}
	m.observations.setFoundBad(r.Service, r.Target, plan.Phase == passthrough.PhaseReverted)
	plan = r.delayHeldEnd(plan, now)
	plan = r.awaitEvidence(plan, now, seen)
	if plan.Phase == passthrough.PhaseCompleted && (!m.mayComplete(r) || m.observations.peerFoundBad(r.Service, r.Target) || m.observations.mayMissRecords() && !seen.clean()) {
		plan.Phase = passthrough.PhaseCanary
	}
	switch {
	case (m.writesRegister() || r.revertOverdue(plan, now)) && (plan.Phase.Ended() || !registered):
		plan = m.commitPlan(ctx, r, plan, seen)
	case !registerRead && !plan.Phase.Ended():
		return // the roll-out may have ended long ago
	default:
		plan = withoutCompletion(plan)
	}
	m.applyPlan(r, plan, seen)
}

// heldRolloutLead is how long the new version gets all new work before a held roll-out completes: the
// old servers are stopped on completion, and streams that last some seconds may still run there.
const heldRolloutLead = 5 * time.Second

// delayHeldEnd delays the completion of a held roll-out by heldRolloutLead. In that time the new version
// gets all new work, as it does before the completion of a roll-out that was not held.
func (r *rollout) delayHeldEnd(plan passthrough.Rollout, now time.Time) passthrough.Rollout {
	if plan.Held {
		r.held, r.finishAt = true, time.Time{}
	}
	if !r.held || plan.Phase != passthrough.PhaseCompleted {
		return plan
	}
	if r.finishAt.IsZero() {
		r.finishAt = now.Add(heldRolloutLead)
	}
	if now.Before(r.finishAt) {
		plan.Phase, plan.CompleteAt, plan.MaxLead = passthrough.PhaseCanary, r.finishAt, heldRolloutLead
	}
	return plan
}

// maxEvidenceWait is how long a completion waits for evidence at most: a version that hardly any caller asks for is
// completed in the end.
const maxEvidenceWait = 2 * propagationTime

// knownResponses is how many responses of the new version were known at a time.
type knownResponses struct {
	at    time.Time
	count int
}

// recordKnown records how many responses of the new version are known now, and returns how many were at least
// propagationTime ago: the others' responses of that time are known by now.
func (r *rollout) recordKnown(now time.Time, count int) (before int) {
	r.known = append(r.known, knownResponses{now, count})
	for len(r.known) > 1 && now.Sub(r.known[1].at) >= propagationTime {
		r.known = r.known[1:]
	}
	if now.Sub(r.known[0].at) >= propagationTime {
		before = r.known[0].count
	}
	return before
}

// awaitEvidence delays the completion of a roll-out whose version has not responded yet although the old one has, most
// of whose responses became known within the last propagationTime, or which may fail too often. The new version gets
// all new work meanwhile.
//
// Load: the instances stand still, or the servers take no requests, for most of a roll-out. Harm prevented: a bad
// version is completed on a handful of responses, before those that other instances got are known.
func (r *rollout) awaitEvidence(plan passthrough.Rollout, now time.Time, seen view) passthrough.Rollout {
	total := seen.newCounts.Total()
	before := r.recordKnown(now, total)
	if plan.Phase != passthrough.PhaseCompleted {
		return plan
	}
	if r.dueAt.IsZero() {
		r.dueAt = now
	}
	tooNew := total == 0 && seen.oldCounts.Total() > 0 || 3*before < total
	inDoubt := passthrough.MayFailTooOften(seen.newCounts, seen.oldCounts)
	if until := r.dueAt.Add(maxEvidenceWait); (tooNew || inDoubt) && !seen.clean() && now.Before(until) {
		plan.Phase, plan.CompleteAt, plan.MaxLead = passthrough.PhaseCanary, until, heldRolloutLead
	}
	return plan
}

// revertTimeout is how long an instance that does not write the register waits for others to revert
// a bad version. They evaluate every 0.4 s and usually have this instance's observations by then;
// the maximum, propagationTime, is longer.
const revertTimeout = 2 * time.Second

// revertOverdue reports whether this instance should revert a bad version itself, since the instances
// that write the register may have lost the observations or may never get them.
func (r *rollout) revertOverdue(plan passthrough.Rollout, now time.Time) bool {
	if plan.Phase != passthrough.PhaseReverted {
		r.badSince = time.Time{}
		return false
	}
	if r.badSince.IsZero() {
		r.badSince = now
	}
	return now.Sub(r.badSince) >= revertTimeout
}

// mayComplete reports whether the new version has enough servers for all traffic: at least one, and at
// least half as many as all other versions, none of them leaving. The old servers are stopped at once on
// completion.
func (m *rollouts) mayComplete(r *rollout) bool {
	newServers, oldServers := m.servers.countServers(r.Service, r.Target)
	return newServers > 0 && 2*newServers >= oldServers
}

// end applies and logs the end of a roll-out. how is "written" if this instance wrote the end to the
// register, "read" if it read it there.
func (m *rollouts) end(r *rollout, phase passthrough.Phase, seen view, how string) {
	m.mu.Lock()
	r.ended = phase
	m.mu.Unlock()
	m.observations.endRollout(r.Service)
	m.observations.setFoundBad(r.Service, r.Target, false)
	m.telemetry.emit(logging.EventRolloutEnded, slog.String("service", r.Service), slog.String("target", r.Target),
		slog.Bool("completed", phase == passthrough.PhaseCompleted), slog.String("how", how),
		slog.Int("new_good", seen.newCounts.Good), slog.Int("new_bad", seen.newCounts.Bad),
		slog.Any("first", seen.newCounts.FirstByte), slog.Any("pace", seen.newCounts.EventInterval),
		slog.Int("old_good", seen.oldCounts.Good), slog.Int("old_bad", seen.oldCounts.Bad))
}

// applyPlan passes a changed plan to decision/passthrough and logs each step, that is any change other
// than of a time or from one share above 0 to another.
func (m *rollouts) applyPlan(r *rollout, plan passthrough.Rollout, seen view) {
	if plan == r.plan {
		return
	}
	step := plan.Phase != r.plan.Phase || plan.FirstHalf != r.plan.FirstHalf || plan.CollectingSessions != r.plan.CollectingSessions ||
		plan.Held != r.plan.Held || (plan.Share > 0) != (r.plan.Share > 0)
	r.plan = plan
	m.driver.Handle(passthrough.RolloutUpdated{Rollout: plan})
	if !step {
		return
	}
	m.telemetry.emit(logging.EventRolloutStep, slog.String("service", r.Service), slog.String("target", r.Target),
		slog.Int("phase", int(plan.Phase)), slog.Float64("share", plan.Share), slog.Bool("first_half", plan.FirstHalf),
		slog.Bool("held", plan.Held), slog.Any("pace", seen.newCounts.EventInterval),
		slog.Int64("lead_ms", plan.MaxLead.Milliseconds()),
		slog.Int("new_good", seen.newCounts.Good), slog.Int("new_bad", seen.newCounts.Bad))
}
