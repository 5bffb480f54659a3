package passthrough

import (
	"context"
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// orderRewriteWindow is how long after a restore an order that equals the known one is treated
	// as the same order, written again by the operator.
	orderRewriteWindow = 10 * time.Second
	// endRewriteWindow is how long after a restore an end that the store lacks is written again.
	endRewriteWindow = 30 * time.Second
)

// onRestore makes this instance write again what a restored register may lack: the ends that it knows
// and the states of roll-outs in progress.
func (m *rollouts) onRestore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.restoredAt = now
	for _, r := range m.byService {
		r.registered = r.knownEnd().Ended()
		if r.registered {
			r.rewriteUntil = now.Add(endRewriteWindow)
		}
	}
	m.wakeUp()
}

// restoredRecently reports whether the last restore is less than orderRewriteWindow ago. The lock is held.
func (m *rollouts) restoredRecently() bool {
	return !m.restoredAt.IsZero() && m.clock.Now().Sub(m.restoredAt) < orderRewriteWindow
}

// knownEnd returns the end that this instance knows, 0 for none. The lock is held.
func (r *rollout) knownEnd() passthrough.Phase {
	if r.readPhase.Ended() {
		return r.readPhase
	}
	return r.ended
}

// isRewrittenOrder reports whether an order at another offset is the known one, written again after
// a restore. If so, it adopts the new offset. The lock is held.
//
// Load: the store is restored in the middle of a roll-out. Harm prevented: the roll-out starts again,
// and a version that was already exposed to requests gets the full exposure once more.
func (m *rollouts) isRewrittenOrder(r *rollout, o passthrough.Order, offset uint64) bool {
	if r.Order != o || !m.restoredRecently() {
		return false
	}
	r.earlierOffsets = append(r.earlierOffsets, r.offset)
	r.offset = offset
	m.observations.setOrderOffset(o.Service, offset)
	m.telemetry.logStateKept("rollout", o.Service, "its order was written again")
	return true
}

// lostEnds returns the roll-outs whose end may have to be written again.
func (m *rollouts) lostEnds() []*rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout
	for _, r := range m.byService {
		if m.clock.Now().Before(r.rewriteUntil) {
			out = append(out, r)
		}
	}
	return out
}

// rewriteEnd writes the end of a roll-out again if the store lacks it. An end that another instance
// wrote meanwhile is kept, as in commitPlan.
func (m *rollouts) rewriteEnd(ctx context.Context, r *rollout) {
	if !m.writesRegister() {
		return
	}
	stored, end, err := m.readRegister(ctx, r)
	if err != nil {
		return // the next run retries
	}
	m.mu.Lock()
	phase := r.knownEnd()
	m.mu.Unlock()
	switch {
	case stored.Ended():
		if stored != phase {
			m.logUnwritten(r, "the restored store holds another end")
		}
		m.clearRewrite(r)
	case m.writePhase(ctx, r, phase, end):
		m.clearRewrite(r)
		m.telemetry.logStateKept("rollout_end", r.Service, "the store lacked it and has it again")
	}
}

func (m *rollouts) clearRewrite(r *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.rewriteUntil = time.Time{}
}
