package decision

import "time"

// waitFor estimates how long the request would wait in its pool's queue, by the
// queue as it stands and by how such estimates turned out of late.
func (w *World) waitFor(r *request) time.Duration {
	return time.Duration(float64(w.rawWait(r)) * r.bias())
}

func (r *request) bias() float64 {
	if r.pool == nil || r.team == nil {
		return 1
	}
	return r.pool.flow(r.team).bias.factor()
}

// rawWait is the estimate by the queue as it stands.
//
// Load: saturation by one team or by all, of a pool that other instances use as
// well. Two bounds hold. The work that goes before the request by fair queueing,
// at the rate at which this instance's queue truly drains: it shows the queues of
// the others as they are, and the request of a team below its share so waits for
// the next slot only. And the team's own queue at the team's own rate: it shows
// what the others go on asking for. Before a rate is known the estimate is 0: a
// wrong refusal costs a caller more than a short wait.
func (w *World) rawWait(r *request) time.Duration {
	p := r.pool
	if p == nil || r.team == nil || p.queue.Len() == 0 && len(p.free) > 0 {
		return 0
	}
	window := w.cfg.DrainRateHalfLife
	rate := p.drain.rate(p.serviceTime.rate(p.slots), window)
	if rate <= 0 {
		return 0
	}
	f := p.flow(r.team)
	nextSlot := p.serviceTime.meanCost() / rate
	ahead := nextSlot + p.queue.CostAhead(&f.Flow)/w.queuedRate(p, f, rate)
	ownQueue := f.Cost() / w.ownRate(p, f, rate)
	return seconds(max(ahead, ownQueue))
}

// queuedRate is what is left of the pool's rate for the flows that are queued and
// for f: the teams that are not queued now will ask for what they use of late,
// up to their share.
func (w *World) queuedRate(p *pool, f *flow, rate float64) float64 {
	window := w.cfg.DrainRateHalfLife
	queued := f.usage.rate(&w.usageClock, window)
	for _, other := range p.flows {
		if other != nil && other != f && other.Len() > 0 {
			queued += other.usage.rate(&w.usageClock, window)
		}
	}
	idle := p.usage.rate(&w.usageClock, window) - queued
	share := p.queue.ActiveWeight(&f.Flow) / p.queue.Weight()
	return max(rate*share, rate-idle)
}

// ownRate is the flow's part of the rate: what the others leave of it by what
// they use of late, and at least its share among those that are queued.
func (w *World) ownRate(p *pool, f *flow, rate float64) float64 {
	window := w.cfg.DrainRateHalfLife
	others := p.usage.rate(&w.usageClock, window) - f.usage.rate(&w.usageClock, window)
	share := f.Weight() / p.queue.ActiveWeight(&f.Flow)
	return max(rate*share, rate-others)
}

// advanceDrains moves the meters of the backlogged pools on. The work is by
// pools with queued requests, which are as few as versions.
func (w *World) advanceDrains(elapsed time.Duration) {
	w.advanceUsage()
	if elapsed <= 0 {
		return
	}
	for _, p := range w.queuedPools {
		p.drain.advance(elapsed, w.cfg.DrainRateHalfLife)
		p.backlogged = true
	}
}

// left notes that a request goes from its queue to a server. What a queue without
// a backlog sends says nothing of the rate: there it was demand that was short.
func (w *World) recordDeparture(p *pool, r *request) {
	f := p.flow(r.team)
	if p.backlogged {
		p.drain.add(r.item.Cost)
	}
	f.usage.add(r.item.Cost, &w.usageClock)
	p.usage.add(r.item.Cost, &w.usageClock)
}

// waited notes how the estimate of a request's wait turned out, whether it got a
// slot or gave up.
func (w *World) recordWait(r *request) {
	if r.expected > 0 {
		r.pool.flow(r.team).bias.learn(r.expected, w.now.Sub(r.queuedAt))
		r.expected = 0
	}
}

// retryAfter turns an estimate into the time to come back, with a jitter of a
// quarter, so that the refused of one burst do not return as one burst.
func (w *World) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, w.cfg.RetryAfterMin)
	return wait + time.Duration(w.rng.Float64()*float64(wait)/4)
}
