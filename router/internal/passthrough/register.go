package passthrough

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// state is what the register holds of a service's newest roll-out.
type registerState struct {
	target string
	phase  passthrough.Phase
}

// toldOf is what was read of the roll-out from the register's topic, and whether that was
// read at all.
func (m *rollouts) knownState(r *rollout) (phase passthrough.Phase, announced, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.readPhase, r.announced, m.statusRead
}

// reader follows the register's topic, so that an end is known everywhere at once.
func (m *rollouts) reader(log keyedlog.Log) *topicReader {
	t := &topicReader{
		name: topicStatus, log: log, clock: m.clock, telemetry: m.telemetry,
		wait: func() time.Duration { return idleReadWait }, maxRetry: slowRetryDelay,
		pause:    func() time.Duration { return maxRetryDelay },
		onRecord: m.applyStatus,
	}
	t.onRestore = m.onRestore
	t.onSnapshot = func(list []keyedlog.Record) {
		for _, rec := range list {
			m.applyStatus(rec)
		}
	}
	t.onRead = func(time.Time, int) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.statusRead = true
	}
	return t
}

// read takes in one record of the register's topic. The first end of a roll-out holds.
func (m *rollouts) applyStatus(rec keyedlog.Record) {
	service, target, phase, ok, err := m.records.Status(rec)
	if err != nil {
		m.telemetry.emit(logging.EventRecordRejected, slog.String("key", rec.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.predatesKnownEnd(service, target, phase) {
		m.states[service] = registerState{target, phase}
	}
	if r := m.open[service]; r != nil && r.Target == target {
		m.applyState(r, phase)
	}
}

// olderState says whether a state is one of before the end that is known, as a copy of the store has
// it. The lock is held.
func (m *rollouts) predatesKnownEnd(service, target string, phase passthrough.Phase) bool {
	known := m.states[service]
	return m.restoredRecently() && known.target == target && known.phase.Ended() && !phase.Ended()
}

// takeState notes what the register holds of a roll-out.
func (m *rollouts) applyState(r *rollout, phase passthrough.Phase) {
	r.announced = true
	if phase.Ended() && !r.readPhase.Ended() {
		r.readPhase = phase
	}
}

// register reads the register and, where it holds no end yet, writes the plan's. It
// returns the plan that holds.
//
// Safety: the append is refused unless the topic ends where it was read, so an end that
// another instance wrote in between is never overwritten. An append without an answer is
// read back at the next look, before anything else is written.
func (m *rollouts) commitPlan(ctx context.Context, r *rollout, plan passthrough.Rollout, seen view) passthrough.Rollout {
	stored, end, err := m.readStored(ctx, r)
	if err != nil {
		return withoutCompletion(plan)
	}
	if stored != 0 {
		m.markAnnounced(r)
	}
	switch {
	case stored.Ended():
		plan.Phase = stored
		m.end(r, stored, seen, "read")
		return plan
	case stored != 0 && !plan.Phase.Ended():
		return plan
	case !m.writePhase(ctx, r, plan.Phase, end):
		return withoutCompletion(plan)
	}
	m.markAnnounced(r)
	if plan.Phase.Ended() {
		m.end(r, plan.Phase, seen, "written")
	}
	return plan
}

// stored is the phase that the register holds of the roll-out, 0 for none, and where its topic ends.
func (m *rollouts) readStored(ctx context.Context, r *rollout) (phase passthrough.Phase, end keyedlog.Position, err error) {
	snap, err := m.statusLog.Newest(ctx)
	if err != nil {
		return 0, end, err
	}
	for _, rec := range snap.Records {
		service, target, phase, ok, err := m.records.Status(rec)
		if err == nil && ok && service == r.Service && target == r.Target {
			return phase, snap.Next, nil
		}
	}
	return 0, snap.Next, nil
}

// write writes a phase of the roll-out where the topic ends at the position, and says whether it did.
func (m *rollouts) writePhase(ctx context.Context, r *rollout, phase passthrough.Phase, end keyedlog.Position) bool {
	rec, err := m.records.StatusRecord(r.Service, r.Target, phase)
	if err == nil {
		err = m.statusLog.Append(ctx, end, rec)
	}
	if err != nil && !errors.Is(err, keyedlog.ErrMoved) {
		m.logUnwritten(r, err.Error())
	}
	return err == nil
}

// unwritten tells why a roll-out's state is not in the register.
func (m *rollouts) logUnwritten(r *rollout, why string) {
	m.telemetry.emit(logging.EventRolloutUnwritten, slog.String("service", r.Service), slog.String(logging.KeyError, why))
}

// announce notes that the register holds the roll-out.
func (m *rollouts) markAnnounced(r *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.announced = true
}

// undecided is the plan while the register does not hold the end that this instance would
// write: a bad version gets nothing already, a good one is not completed yet.
func withoutCompletion(plan passthrough.Rollout) passthrough.Rollout {
	if plan.Phase == passthrough.PhaseCompleted {
		plan.Phase = passthrough.PhaseCanary
	}
	return plan
}
