package decision

import "time"

// waitFor estimates how long the request would wait in its pool's queue: the
// estimate for the present queue, corrected by how far recent estimates were off.
func (w *World) waitFor(r *request) time.Duration {
	return time.Duration(float64(w.rawWait(r)) * r.bias())
}

// bias is the correction factor for the estimated waits of the request's team in
// its pool.
func (r *request) bias() float64 {
	if r.pool == nil || r.team == nil {
		return 1
	}
	return r.pool.flow(r.team).bias.factor()
}

// rawWait is the uncorrected estimate for the present queue.
//
// Load: saturation, by one team or by all, of a pool that other instances use as
// well. The estimate is the larger of two. The first is the work that fair queueing
// puts before the request, at the measured drain rate of this instance's queue: it
// reflects the present queues of the other teams, and a team below its share waits
// for the next slot only. The second is the team's own queue at the team's own
// rate: it reflects the continuing demand of the other teams. Before a rate is
// known the estimate is 0: a wrong refusal costs a caller more than a short wait.
func (w *World) rawWait(r *request) time.Duration {
	p := r.pool
	if p == nil || r.team == nil || p.queue.Len() == 0 && len(p.free) > 0 {
		return 0
	}
	halfLife := w.cfg.RateHalfLife
	rate := p.drain.rate(p.serviceTime.rate(p.slots), halfLife)
	if rate <= 0 {
		return 0
	}
	f := p.flow(r.team)
	nextSlot := p.serviceTime.meanCost() / rate
	ahead := nextSlot + p.queue.CostAhead(&f.Flow)/w.queuedRate(p, f, rate)
	ownQueue := f.Cost() / w.ownRate(p, f, rate)
	return seconds(max(ahead, ownQueue))
}

// queuedRate is the part of the pool's rate that is left for f and the other flows
// with queued requests. The flows without any are expected to keep their recent
// usage, up to their share.
func (w *World) queuedRate(p *pool, f *flow, rate float64) float64 {
	halfLife := w.cfg.RateHalfLife
	queued := f.usage.rate(&w.usageClock, halfLife)
	for _, other := range p.flows {
		if other != nil && other != f && other.Len() > 0 {
			queued += other.usage.rate(&w.usageClock, halfLife)
		}
	}
	unqueued := p.usage.rate(&w.usageClock, halfLife) - queued
	share := p.queue.ActiveWeight(&f.Flow) / p.queue.Weight()
	return max(rate*share, rate-unqueued)
}

// ownRate is the flow's part of the pool's rate: what the recent usage of the
// others leaves of it, and at least its share among the queued flows.
func (w *World) ownRate(p *pool, f *flow, rate float64) float64 {
	halfLife := w.cfg.RateHalfLife
	others := p.usage.rate(&w.usageClock, halfLife) - f.usage.rate(&w.usageClock, halfLife)
	share := f.Weight() / p.queue.ActiveWeight(&f.Flow)
	return max(rate*share, rate-others)
}

// advanceMeters advances the usage clock and the drain meters of the pools that had
// queued requests since the last tick. Its cost grows with the number of pools with
// queued requests, at most one per version or service.
func (w *World) advanceMeters(elapsed time.Duration) {
	w.advanceUsage()
	if elapsed <= 0 {
		return
	}
	for _, p := range w.queuedPools {
		p.drain.advance(elapsed, w.cfg.RateHalfLife)
		p.backlogged = true
	}
}

// recordDeparture records that a request leaves its queue for a server. Without a
// backlog it does not count for the drain rate, since demand and not capacity was
// the limit.
func (w *World) recordDeparture(p *pool, r *request) {
	f := p.flow(r.team)
	if p.backlogged {
		p.drain.add(r.item.Cost)
	}
	f.usage.add(r.item.Cost, &w.usageClock)
	p.usage.add(r.item.Cost, &w.usageClock)
}

// recordWait records the estimated and the actual wait of a request, whether it got
// a slot or was ended without one.
func (w *World) recordWait(r *request) {
	if r.expectedWait > 0 {
		r.pool.flow(r.team).bias.learn(r.expectedWait, w.now.Sub(r.queuedAt))
		r.expectedWait = 0
	}
}

// retryAfter converts an estimated wait to the time after which a caller may retry.
// A random part of up to a quarter is added, so that the refused requests of a burst
// do not return as a burst.
func (w *World) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, w.cfg.RetryAfterMin)
	return wait + time.Duration(w.rng.Float64()*float64(wait)/4)
}
