package passthrough

import (
	"context"
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// writtenAgainFor is how long after a restore of the store an order that equals the one known
	// here is that one, which the operator wrote again.
	orderRewriteWindow = 10 * time.Second
	// rewriteFor is how long after a restore an end that the store lacks is written again.
	endRewriteWindow = 30 * time.Second
)

// restored notes that the store came back from a copy: ends that this instance knows may have to be
// written again, and that roll-outs are in progress.
func (m *rollouts) onRestore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.restoredAt = now
	for _, r := range m.open {
		r.announced = r.knownEnd().Ended()
		if r.announced {
			r.rewriteUntil = now.Add(endRewriteWindow)
		}
	}
	m.wakeUp()
}

// restoredLately says whether what the store lacked may still be written again. The lock is held.
func (m *rollouts) restoredRecently() bool {
	return !m.restoredAt.IsZero() && m.clock.Now().Sub(m.restoredAt) < orderRewriteWindow
}

// known is the end that this instance knows, 0 for none. The lock is held.
func (r *rollout) knownEnd() passthrough.Phase {
	if r.readPhase.Ended() {
		return r.readPhase
	}
	return r.ended
}

// writtenAgain says whether the order, at another offset, is the one that is known here, and then
// takes over the offset. The lock is held.
//
// Load: a store that comes back from a copy in the middle of a roll-out. Harm prevented: a roll-out
// that begins anew, with a full share for a version of which much was seen.
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

// toRewrite are the roll-outs whose end may have to be written again.
func (m *rollouts) lostEnds() []*rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout
	for _, r := range m.open {
		if m.clock.Now().Before(r.rewriteUntil) {
			out = append(out, r)
		}
	}
	return out
}

// rewrite writes the end of a roll-out again where the store lacks it. An end that another instance
// wrote meanwhile is left, as in register.
func (m *rollouts) rewriteEnd(ctx context.Context, r *rollout) {
	if !m.writesRegister() {
		return
	}
	stored, end, err := m.readStored(ctx, r)
	if err != nil {
		return // it is tried again at the next look
	}
	m.mu.Lock()
	phase := r.knownEnd()
	m.mu.Unlock()
	switch {
	case stored.Ended():
		if stored != phase {
			m.logUnwritten(r, "the store holds another end")
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
