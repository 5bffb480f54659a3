package decision

import "time"

// waitFor estimates how long the request would wait in its pool's queue.
//
// Load: saturation by one team or by all. By weighted max-min a team waits at
// most for its own queue at its own share of the drain rate, and at most for the
// whole queue at the whole rate; the smaller bound holds. Before a rate is known
// the estimate is 0: a wrong refusal costs a caller more than a short wait.
func (w *World) waitFor(r *request) time.Duration {
	p := r.pool
	if p == nil || r.team == nil || p.queue.Len() == 0 && len(p.free) > 0 {
		return 0
	}
	rate := p.drain.rate(p.slots, w.cfg.DrainWindow)
	if rate <= 0 {
		return 0
	}
	f := p.flow(r.team)
	weight := p.queue.ActiveWeight()
	if f.Len() == 0 {
		weight += f.Weight()
	}
	// What is ahead, and half of the slot that has to come free.
	own := (f.Cost() + r.item.Cost) * weight / f.Weight()
	all := p.queue.Cost() + r.item.Cost
	return seconds(min(own, all) / rate)
}

// retryAfter turns an estimate into the time to come back, with a jitter of a
// quarter, so that the refused of one burst do not return as one burst.
func (w *World) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, w.cfg.RetryAfterMin)
	return wait + time.Duration(w.rng.Float64()*float64(wait)/4)
}
