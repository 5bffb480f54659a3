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

// registerState is the newest state of a service's roll-out in the register, the status topic
// (Store.Status).
type registerState struct {
	target string
	phase  passthrough.Phase
}

// knownState returns the end of the roll-out that was read from the register (0 for none), whether the
// register holds the roll-out, and whether the register was read at all.
func (m *rollouts) knownState(r *rollout) (phase passthrough.Phase, registered, registerRead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.readPhase, r.registered, m.registerRead
}

// reader returns a reader of the register, from which all instances learn of an end at once.
func (m *rollouts) reader(log keyedlog.Log) *topicReader {
	t := &topicReader{
		name: topicStatus, log: log, clock: m.clock, telemetry: m.telemetry,
		wait: func() time.Duration { return idleReadWait }, longestRetryDelay: slowRetryDelay,
		pause:    func() time.Duration { return maxRetryDelay },
		onRecord: m.applyRegisterRecord,
	}
	t.onRestore = m.onRestore
	t.onSnapshot = func(list []keyedlog.Record) {
		for _, rec := range list {
			m.applyRegisterRecord(rec)
		}
	}
	t.onRead = func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.registerRead = true
	}
	return t
}

// applyRegisterRecord applies one record of the register. An open roll-out keeps the first end read.
func (m *rollouts) applyRegisterRecord(rec keyedlog.Record) {
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
		m.registerStates[service] = registerState{target, phase}
	}
	if r := m.byService[service]; r != nil && r.Target == target {
		m.applyState(r, phase)
	}
}

// predatesKnownEnd reports whether a state is older than the known end, as after a restore of the store.
// The lock is held.
func (m *rollouts) predatesKnownEnd(service, target string, phase passthrough.Phase) bool {
	known := m.registerStates[service]
	return m.restoredRecently() && known.target == target && known.phase.Ended() && !phase.Ended()
}

// applyState records the phase that the register holds of a roll-out. The lock is held.
func (m *rollouts) applyState(r *rollout, phase passthrough.Phase) {
	r.registered = true
	if phase.Ended() && !r.readPhase.Ended() {
		r.readPhase = phase
	}
}

// commitPlan reads the register and, if it holds no end yet, writes the plan's phase. A phase that is
// not an end is written only if the register holds no phase yet. commitPlan returns the plan to follow.
//
// The append fails unless the register still ends where it was read, so an end that another instance
// wrote in between is never overwritten. If the result of an append is unknown, the next call reads
// the register before it writes anything.
func (m *rollouts) commitPlan(ctx context.Context, r *rollout, plan passthrough.Rollout, seen view) passthrough.Rollout {
	stored, end, err := m.readRegister(ctx, r)
	if err != nil {
		return withoutCompletion(plan)
	}
	if stored != 0 {
		m.markRegistered(r)
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
	m.markRegistered(r)
	if plan.Phase.Ended() {
		m.end(r, plan.Phase, seen, "written")
	}
	return plan
}

// readRegister returns the phase that the register holds of the roll-out, 0 for none, and the position
// after the register's last record.
func (m *rollouts) readRegister(ctx context.Context, r *rollout) (phase passthrough.Phase, end keyedlog.Position, err error) {
	snap, err := m.register.Newest(ctx)
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

// writePhase writes a phase of the roll-out if the register still ends at end. It reports whether the
// phase was written.
func (m *rollouts) writePhase(ctx context.Context, r *rollout, phase passthrough.Phase, end keyedlog.Position) bool {
	rec, err := m.records.StatusRecord(r.Service, r.Target, phase)
	if err == nil {
		err = m.register.Append(ctx, end, rec)
	}
	if err != nil && !errors.Is(err, keyedlog.ErrConflict) {
		m.logUnwritten(r, err.Error())
	}
	return err == nil
}

// logUnwritten logs why a roll-out's phase was not written to the register.
func (m *rollouts) logUnwritten(r *rollout, why string) {
	m.telemetry.emit(logging.EventRolloutUnwritten, slog.String("service", r.Service), slog.String(logging.KeyError, why))
}

// markRegistered records that the register holds the roll-out.
func (m *rollouts) markRegistered(r *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.registered = true
}

// withoutCompletion returns the plan to follow while the register does not hold the planned end: a
// reverted version gets no requests at once, but a completion waits until the register holds it.
func withoutCompletion(plan passthrough.Rollout) passthrough.Rollout {
	if plan.Phase == passthrough.PhaseCompleted {
		plan.Phase = passthrough.PhaseCanary
	}
	return plan
}
