package decision

import "time"

// waitFor estimates how long the request would wait in its pool's queue: what
// its team has queued there, over the rate at which that drains.
//
// Load: saturation by one team or by all. The rate is measured for each team by
// itself, since the queue's whole rate is no team's: it depends on who else asks.
// Before that is known, the guess is what the pool's slots work off less what the
// other teams use of late, and at least the team's share by weight. Before anything is known the estimate is 0: a wrong
// refusal costs a caller more than a short wait.
func (w *World) waitFor(r *request) time.Duration {
	p := r.pool
	if p == nil || r.team == nil || p.queue.Len() == 0 && len(p.free) > 0 {
		return 0
	}
	f := p.flow(r.team)
	rate := f.drain.rate(w.guessRate(p, f), w.cfg.DrainWindow)
	if rate <= 0 {
		return 0
	}
	return seconds((f.Cost() + r.item.Cost) / rate)
}

// guessRate is the rate at which the flow should drain: what the other teams
// leave, and at least the share by weight among all that ever used the pool.
func (w *World) guessRate(p *pool, f *flow) float64 {
	all := p.pace.rate(p.slots)
	window := w.cfg.DrainWindow
	others := p.use.rate(w.now, window) - f.use.rate(w.now, window)
	return max(all*f.Weight()/p.queue.Weight(), all-others)
}

// advanceDrains moves the meters of the backlogged flows on. The work is by
// flows with queued requests, which are as few as teams times versions.
func (w *World) advanceDrains(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	for _, p := range w.busy {
		for _, f := range p.backlog {
			f.drain.advance(elapsed, w.cfg.DrainWindow)
			f.backlogged = true
		}
	}
}

// left notes that a request goes from its flow to a server. What a flow without
// a backlog sends says nothing of the rate: there it was demand that was short.
func (w *World) left(p *pool, r *request) {
	f := p.flow(r.team)
	if f.backlogged {
		f.drain.left(r.item.Cost)
	}
	f.use.add(r.item.Cost, w.now, w.cfg.DrainWindow)
	p.use.add(r.item.Cost, w.now, w.cfg.DrainWindow)
}

// retryAfter turns an estimate into the time to come back, with a jitter of a
// quarter, so that the refused of one burst do not return as one burst.
func (w *World) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, w.cfg.RetryAfterMin)
	return wait + time.Duration(w.rng.Float64()*float64(wait)/4)
}
