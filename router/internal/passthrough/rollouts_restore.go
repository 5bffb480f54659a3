package passthrough

import (
	"context"
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// writtenAgainFor is how long after a restore of the store an order that equals the one known
	// here is that one, which the operator wrote again.
	writtenAgainFor = 10 * time.Second
	// rewriteFor is how long after a restore an end that the store lacks is written again.
	rewriteFor = 30 * time.Second
)

// restored notes that the store came back from a copy: ends that this instance knows may have to be
// written again, and that roll-outs are in progress.
func (m *rollouts) restored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.restoredAt = now
	for _, r := range m.open {
		r.announced = r.known().Ended()
		if r.announced {
			r.rewriteUntil = now.Add(rewriteFor)
		}
	}
	m.wakeUp()
}

// restoredLately says whether what the store lacked may still be written again. The lock is held.
func (m *rollouts) restoredLately() bool {
	return !m.restoredAt.IsZero() && m.clock.Now().Sub(m.restoredAt) < writtenAgainFor
}

// known is the end that this instance knows, 0 for none. The lock is held.
func (r *rollout) known() passthrough.Phase {
	if r.told.Ended() {
		return r.told
	}
	return r.ended
}

// writtenAgain says whether the order, at another offset, is the one that is known here, and then
// takes over the offset. The lock is held.
//
// Load: a store that comes back from a copy in the middle of a roll-out. Harm prevented: a roll-out
// that begins anew, with a full share for a version of which much was seen.
func (m *rollouts) writtenAgain(r *rollout, o passthrough.Order, offset uint64) bool {
	if r.Order != o || !m.restoredLately() {
		return false
	}
	r.earlier = append(r.earlier, r.offset)
	r.offset = offset
	m.observations.reorder(o.Service, offset)
	m.journal.stateKept("rollout", o.Service, "its order was written again")
	return true
}

// toRewrite are the roll-outs whose end may have to be written again.
func (m *rollouts) toRewrite() []*rollout {
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
func (m *rollouts) rewrite(ctx context.Context, r *rollout) {
	if !m.writes() {
		return
	}
	stored, end, err := m.stored(ctx, r)
	if err != nil {
		return // it is tried again at the next look
	}
	m.mu.Lock()
	phase := r.known()
	m.mu.Unlock()
	switch {
	case stored.Ended():
		if stored != phase {
			m.unwritten(r, "the store holds another end")
		}
		m.rewritten(r)
	case m.write(ctx, r, phase, end):
		m.rewritten(r)
		m.journal.stateKept("rollout_end", r.Service, "the store lacked it and has it again")
	}
}

func (m *rollouts) rewritten(r *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.rewriteUntil = time.Time{}
}
