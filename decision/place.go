package decision

import "time"

// place fills free slots from the queues, one request a pool in turn, so that
// pools that share servers share their slots. It looks only at pools with
// queued work and ends when none of them has a free server: its cost is by what
// it places, not by the size of the fleet or of the queues.
func (w *World) place() {
	if !w.fresh {
		return
	}
	for placed := true; placed; {
		placed = false
		for i := 0; i < len(w.busy); {
			p := w.busy[i]
			if len(p.free) > 0 && w.placeNext(p) {
				placed = true
			}
			if i < len(w.busy) && w.busy[i] == p {
				i++
			}
		}
	}
}

// placeNext places the pool's next request. It says whether the queue moved.
func (w *World) placeNext(p *pool) bool {
	it := p.queue.Peek()
	if it == nil {
		return false
	}
	r := it.Value
	if w.hopeless(r) {
		w.giveUp(r, ReasonWaitTooLong)
		return true
	}
	s := w.pick(p, r)
	if s == nil {
		w.giveUp(r, ReasonNoServer)
		return true
	}
	w.left(p, r)
	p.queue.Pop()
	w.dequeued(r)
	w.dispatch(r, s)
	return true
}

// hopeless says that the time left is less than the answer usually takes.
//
// Load: saturation, where the queue stands at the edge of its deadlines. A slot
// given to work that ends too late is lost for work that would not: with half
// the usual time allowed here, a third of the answers came too late.
func (w *World) hopeless(r *request) bool {
	need := r.pool.pace.service(r.item.Cost)
	return w.now.Add(need).After(r.deadline)
}

// pick chooses a server by power of two choices.
func (w *World) pick(p *pool, r *request) *server {
	best := w.sample(p, r)
	other := w.sample(p, r)
	if other != nil && best != nil && w.load(other) < w.load(best) {
		return other
	}
	return best
}

// samples bounds the draws for a server that the request has not tried.
const samples = 8

// sample draws a free server that has not failed the request yet. After a few
// draws any that did not crash under it will do, since trying again where it was
// refused is better than not at all.
func (w *World) sample(p *pool, r *request) *server {
	var fallback *server
	for range samples {
		s := p.free[w.rng.IntN(len(p.free))].server
		if !r.hasTried(s) {
			return s
		}
		fallback = s
	}
	if r.crashes > 0 {
		return nil
	}
	return fallback
}

func (r *request) hasTried(s *server) bool {
	for _, tried := range r.tried {
		if tried == s {
			return true
		}
	}
	return false
}

// load is the server's load as a part of its capacity: the own attempts, which
// are exact, and the others' by the last report, fading with its age.
func (w *World) load(s *server) float64 {
	load := float64(s.running)
	if s.others > 0 {
		age := w.now.Sub(s.reportedAt)
		faded := 1 - float64(age)/float64(w.cfg.ReportLife)
		load += float64(s.others) * max(faded, 0)
	}
	return load / float64(s.capacity())
}

// dispatch starts an attempt.
func (w *World) dispatch(r *request, s *server) {
	r.attempts++
	a := &attempt{
		key:     attemptKey{r.ID, r.attempts},
		request: r,
		server:  s,
		pool:    r.pool,
		team:    r.team,
		started: w.now,
		cost:    r.item.Cost,
		prompt:  w.promptCost(r),
	}
	cmd := Dispatch{Request: r.ID, Attempt: r.attempts, Server: s.ID}
	if r.version != nil {
		a.version = r.version.ID
		cmd.Version = a.version
	}
	w.planRating(r, &cmd)
	r.current = a
	r.state = stateRunning
	s.running++
	w.refresh(s)
	w.attempts[a.key] = a
	w.watch(r, r.deadline)
	w.emit(cmd)
}

// planRating says whether the answer is to be rated, and held for it.
func (w *World) planRating(r *request, cmd *Dispatch) {
	if r.version == nil {
		return
	}
	cmd.Rate = true
	cmd.RateBudget = min(w.cfg.RateBudget, max(r.deadline.Sub(w.now), time.Millisecond))
}
