package decision

import "time"

// assign sets the version and pool of the request and its cost and priority in the
// queue.
func (w *World) assign(r *request, target choice) {
	r.version = target.version
	r.pool = target.pool
	r.item.Cost = w.costOf(r)
	r.item.Priority = r.Priority
	if w.cfg.Policy.FIFO {
		r.item.Priority = 0
	}
}

// costOf estimates the cost of a request in generated tokens. Prompt tokens are
// processed in parallel and count for a fraction. The team's account is corrected
// when the actual cost is known.
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

// enqueue adds the request to its team's flow in the queue of its pool. Each pool
// has a queue of its own, so that requests for a version without a free slot do not
// block those for other versions.
func (w *World) enqueue(r *request) {
	p := r.pool
	f := p.flow(r.team)
	r.expectedWait, r.queuedAt = w.rawWait(r), w.now
	p.queue.Push(&f.Flow, &r.item)
	r.state = stateQueued
	r.team.queued++
	w.setDue(r, w.latestStart(r))
	if p.queuedPos < 0 {
		p.queuedPos = len(w.queuedPools)
		w.queuedPools = append(w.queuedPools, p)
		p.backlog.set(true, w.now, w.cfg.BacklogHalfLife)
	}
}

// latestStart is the latest time at which the request may leave the queue: after it
// the answer would usually be too late or, in overload, the request has been queued
// for the longest time allowed.
//
// Load: saturation, where requests may wait twice as long as estimated or longer,
// since other instances take slots that the estimates count on. Harm prevented: a
// caller that waits until its deadline for an answer that cannot come in time, and
// a first token after most of the time has passed. A request that may have run
// cannot be refused any more, so only its deadline applies.
func (w *World) latestStart(r *request) time.Time {
	timeLeft := r.deadline.Sub(w.now)
	wait := timeLeft - r.pool.serviceTime.upperBound(r.item.Cost)
	if !r.mayHaveRun && r.held == 0 && w.overloaded(r.pool) {
		wait = min(wait, time.Duration(w.cfg.OverloadWait*float64(timeLeft)))
	}
	return w.now.Add(max(wait, 0))
}

// dequeue removes a queued request from any position in its queue.
func (w *World) dequeue(r *request) {
	if r.state != stateQueued {
		return
	}
	r.pool.queue.Remove(&r.item)
	w.leftQueue(r)
}

// leftQueue updates the request's state and the counts after it has left its queue.
func (w *World) leftQueue(r *request) {
	r.state = stateArrived
	r.team.queued--
	if r.pool.queue.Len() == 0 {
		w.removeQueuedPool(r.pool)
	}
}

// removeQueuedPool removes a pool without queued requests from queuedPools.
func (w *World) removeQueuedPool(p *pool) {
	if p.queuedPos < 0 {
		return
	}
	p.backlog.set(false, w.now, w.cfg.BacklogHalfLife)
	last := len(w.queuedPools) - 1
	moved := w.queuedPools[last]
	w.queuedPools[p.queuedPos] = moved
	moved.queuedPos = p.queuedPos
	w.queuedPools[last] = nil
	w.queuedPools = w.queuedPools[:last]
	p.queuedPos = -1
	p.backlogged = false
}

// flow returns the team's part of the pool's queue and creates it if it does not
// exist.
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
