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

// rollouts carries the operator's orders out. Each instance plans by itself, by the time
// since the order and by what all saw; the end is written once, by whoever comes first.
type rollouts struct {
	records      Records
	statusLog    keyedlog.Log
	driver       *Driver
	servers      *serverList
	observations *observationStore
	telemetry    *telemetry
	clock        Clock
	// limit bounds the requests that a version may get before its deadline.
	exposure passthrough.ExposureLimit
	// writes says whether this instance writes the register; the others of its failure
	// domain only read it, which keeps the calls of a large fleet few.
	writesRegister func() bool

	mu   sync.Mutex
	open map[string]*rollout
	// status is the newest state of each service's roll-out; known says that the
	// register's topic was read.
	states     map[string]registerState
	statusRead bool
	wake       chan struct{}
	// lookedAt is when open roll-outs were looked at last, zero while there are none.
	lastRunAt time.Time
	// restoredAt is when the store came back from a copy last.
	restoredAt time.Time
}

// rollout is one order with what this instance knows of it.
type rollout struct {
	passthrough.Order
	offset uint64
	// earlier are the offsets of the order before it was written again.
	earlierOffsets []uint64
	// rewriteUntil is until when an end that the store lacks is written again; zero for never.
	rewriteUntil time.Time
	// since is the time of the order, as far as known.
	orderedAt time.Time
	plan      passthrough.Rollout
	// ended is the phase that the register holds and that was taken over, 0 for none yet;
	// told is the one that was read from it.
	ended     passthrough.Phase
	readPhase passthrough.Phase
	// badSince is when this instance found the version bad, zero while it does not.
	badSince time.Time
	// held says that the roll-out's time was over while its version was in doubt, finishAt when it
	// ends since it was cleared.
	held     bool
	finishAt time.Time
	// announced says that the register holds that the roll-out is in progress.
	announced bool
}

// rolloutEvery is how often open roll-outs are looked at: a bad version must be out within
// seconds of its 50th bad answer.
const rolloutInterval = 400 * time.Millisecond

func newRollouts(records Records, topic keyedlog.Log, driver *Driver, l *serverList, b *observationStore, j *telemetry, clock Clock, limit passthrough.ExposureLimit) *rollouts {
	return &rollouts{
		records: records, statusLog: topic, driver: driver, servers: l, observations: b, telemetry: j, clock: clock,
		exposure: limit, writesRegister: func() bool { return true }, open: map[string]*rollout{}, states: map[string]registerState{}, wake: make(chan struct{}, 1),
	}
}

// ordered takes in an order. One that is known already changes nothing.
func (m *rollouts) applyOrder(o passthrough.Order, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.open[o.Service]; old != nil && (old.Order == o && old.offset == offset || m.isRewrittenOrder(old, o, offset)) {
		return
	}
	r := &rollout{Order: o, offset: offset, orderedAt: m.clock.Now()}
	// Until the register's topic was read, the new version gets nothing: an instance that starts
	// in the middle of a roll-out knows neither its phase nor the open sessions.
	r.plan = passthrough.Rollout{Order: o, Phase: passthrough.PhaseCanary, FirstHalf: true, CollectingSessions: true}
	m.open[o.Service] = r
	if st, ok := m.states[o.Service]; ok && st.target == o.Target {
		m.applyState(r, st.phase)
	}
	m.driver.Handle(passthrough.RolloutUpdated{Rollout: r.plan})
	m.telemetry.emit(logging.EventRolloutOrdered, slog.String("service", o.Service),
		slog.String("target", o.Target), slog.Int64("duration_ms", o.Duration.Milliseconds()), slog.Uint64("offset", offset))
	m.wakeUp()
}

// wakeUp has the roll-outs looked at now.
func (m *rollouts) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// active says whether some roll-out has not ended.
func (m *rollouts) active() bool { return len(m.openRollouts()) > 0 }

// run looks at the open roll-outs until ctx ends; without any it sleeps.
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

// look advances the open roll-outs and writes lost ends again. It says whether there were any.
func (m *rollouts) advanceAll(ctx context.Context) bool {
	open, lost := m.openRollouts(), m.lostEnds()
	m.detectPause(len(open) > 0)
	for _, r := range open {
		m.advance(ctx, r)
	}
	for _, r := range lost {
		m.rewriteEnd(ctx, r)
	}
	return len(open)+len(lost) > 0
}

// noticePause finds out that this process stood still between two looks.
//
// Load: an instance that is suspended for the second half of a roll-out, beside an outage of the store
// that it does not see. Harm prevented: a bad version completed by one that has heard nothing of it,
// before the others could tell.
func (m *rollouts) detectPause(open bool) {
	now := m.clock.Now()
	if !m.lastRunAt.IsZero() && now.Sub(m.lastRunAt) > propagationTime {
		m.observations.onPause()
	}
	m.lastRunAt = time.Time{}
	if open {
		m.lastRunAt = now
	}
}

// snapshot copies the open roll-outs.
func (m *rollouts) openRollouts() []*rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout
	for _, r := range m.open {
		if r.ended == 0 {
			out = append(out, r)
		}
	}
	return out
}

// advance plans one roll-out anew, and ends it in the register where its time has come.
func (m *rollouts) advance(ctx context.Context, r *rollout) {
	now := m.clock.Now()
	seen := m.observations.view(r, now)
	elapsed := max(now.Sub(r.orderedAt), seen.elapsed)
	plan := passthrough.PlanRollout(r.Order, now, elapsed, m.exposure, seen.newCounts, seen.oldCounts, seen.bad)
	told, announced, known := m.knownState(r)
	if told.Ended() {
		plan.Phase = told
		m.end(r, told, seen, "read")
		m.applyPlan(r, plan, seen)
		return
	}
	if plan.CollectingSessions {
		m.observations.addOpenSessions(r.Service, m.driver.openSessions(r.Service, r.Target, plan.Share))
	}
	plan = r.delayHeldEnd(plan, now)
	if plan.Phase == passthrough.PhaseCompleted && (!m.mayComplete(r) || m.observations.mayMissRecords() && !seen.clean()) {
		plan.Phase = passthrough.PhaseCanary
	}
	switch {
	case (m.writesRegister() || r.revertOverdue(plan, now)) && (plan.Phase.Ended() || !announced):
		plan = m.commitPlan(ctx, r, plan, seen)
	case !known && !plan.Phase.Ended():
		return // it may have ended long ago
	default:
		plan = withoutCompletion(plan)
	}
	m.applyPlan(r, plan, seen)
}

// lateLead is how long the new version gets all new work before a roll-out that was held ends:
// the old servers stop at once then, with the streams of some seconds that run there.
const heldRolloutLead = 5 * time.Second

// late lets a roll-out that was held end as it would have in time: the new version gets all new
// work first.
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

// revertAnyway is how long an instance that leaves the register to others waits for them to
// take a bad version back: they look every 0.4 s, and learn what it saw within a second.
const revertTimeout = 2 * time.Second

// overdue says whether this instance should take a bad version back by itself: those that
// write may have lost what they saw, or may never get it.
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

// mayComplete says whether the new version has the servers for all of the traffic: the
// old ones are stopped at once.
func (m *rollouts) mayComplete(r *rollout) bool {
	current, old := m.servers.countServers(r.Service, r.Target)
	return current > 0 && 2*current >= old
}

func (m *rollouts) end(r *rollout, phase passthrough.Phase, seen view, how string) {
	m.mu.Lock()
	r.ended = phase
	m.mu.Unlock()
	m.observations.endRollout(r.Service)
	m.telemetry.emit(logging.EventRolloutEnded, slog.String("service", r.Service), slog.String("target", r.Target),
		slog.Bool("completed", phase == passthrough.PhaseCompleted), slog.String("how", how),
		slog.Int("new_good", seen.newCounts.Good), slog.Int("new_bad", seen.newCounts.Bad),
		slog.Any("first", seen.newCounts.FirstByte), slog.Any("pace", seen.newCounts.EventInterval),
		slog.Int("old_good", seen.oldCounts.Good), slog.Int("old_bad", seen.oldCounts.Bad))
}

// adopt tells the decision of a changed plan.
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
