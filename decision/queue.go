package decision

import "time"

// aim points the request at a version's or service's pool.
func (w *World) assign(r *request, to choice) {
	r.version = to.version
	r.pool = to.pool
	r.item.Cost = w.costOf(r)
	r.item.Priority = r.Priority
	if w.cfg.Policy.FIFO {
		r.item.Priority = 0
	}
}

// costOf sizes a request in generated tokens. Prompt tokens are read in parallel
// and so count for a part. It is an estimate: the true cost corrects the team's
// share when it is known.
func (w *World) costOf(r *request) float64 {
	if r.Service != "" {
		return w.cfg.ServiceCost
	}
	tokens := r.MaxTokens
	if tokens <= 0 {
		tokens = w.cfg.DefaultMaxTokens
	}
	return max(w.promptCost(r)+float64(tokens), 1)
}

func (w *World) promptCost(r *request) float64 {
	return float64(max(r.PromptTokens, 0)) * w.cfg.PromptTokenCost
}

// enqueue puts the request in its team's flow of its pool's queue. Each pool has
// a queue of its own, so that a request whose version has no free slot holds up
// none for another version.
func (w *World) enqueue(r *request) {
	p := r.pool
	f := p.flow(r.team)
	r.expected, r.queuedAt = w.rawWait(r), w.now
	p.queue.Push(&f.Flow, &r.item)
	r.state = stateQueued
	r.team.queued++
	w.setDue(r, w.latestStart(r))
	if p.queuedPos < 0 {
		p.queuedPos = len(w.queuedPools)
		w.queuedPools = append(w.queuedPools, p)
		p.backlog.set(true, w.now, w.cfg.BurstDuration)
	}
}

// lastStart is the last moment at which the request may leave the queue: after it
// the answer would usually come too late, or it has waited for its part.
//
// Load: saturation, where estimates of waits fall short by half and more, since
// other instances take slots that they count on. Harm prevented: a caller that is
// held to its deadline for an answer that cannot come any more, and a first token
// after most of the time has gone. What may have run is past refusing, so its
// patience is its deadline.
func (w *World) latestStart(r *request) time.Time {
	timeLeft := r.deadline.Sub(w.now)
	wait := timeLeft - r.pool.serviceTime.upperBound(r.item.Cost)
	if !r.ran && r.held == 0 && w.overloaded(r.pool) {
		wait = min(wait, time.Duration(w.cfg.OverloadWait*float64(timeLeft)))
	}
	return w.now.Add(max(wait, 0))
}

// dequeue takes a queued request out, wherever it stands.
func (w *World) dequeue(r *request) {
	if r.state != stateQueued {
		return
	}
	r.pool.queue.Remove(&r.item)
	w.dequeued(r)
}

// dequeued keeps the sums after a request has left its queue.
func (w *World) dequeued(r *request) {
	r.state = stateArrived
	r.team.queued--
	if r.pool.queue.Len() == 0 {
		w.removeQueuedPool(r.pool)
	}
}

// idle takes a pool off the busy list.
func (w *World) removeQueuedPool(p *pool) {
	if p.queuedPos < 0 {
		return
	}
	p.backlog.set(false, w.now, w.cfg.BurstDuration)
	last := len(w.queuedPools) - 1
	moved := w.queuedPools[last]
	w.queuedPools[p.queuedPos] = moved
	moved.queuedPos = p.queuedPos
	w.queuedPools[last] = nil
	w.queuedPools = w.queuedPools[:last]
	p.queuedPos = -1
	p.backlogged = false
}

// flow is the team's part of the pool's queue.
func (p *pool) flow(t *team) *flow {
	if p.shared != nil {
		return p.shared
	}
	for len(p.flows) <= t.index {
		p.flows = append(p.flows, nil)
	}
	if p.flows[t.index] == nil {
		f := &flow{}
		p.queue.AddFlow(&f.Flow, t.account)
		p.flows[t.index] = f
	}
	return p.flows[t.index]
}
