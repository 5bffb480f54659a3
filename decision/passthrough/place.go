package passthrough

import "time"

// place sends the request to a server with a free place. It says no where there is none
// now.
func (w *World) place(r *request) bool {
	views := w.look(r.service)
	f := filled(r.service, views)
	v, ok := w.pick(r, views, f)
	if !ok {
		return false
	}
	s := v.server
	if r.waiting {
		r.service.queue.take(r)
		r.waiting = false
	}
	r.service.pace.drain.left(w.now)
	r.server = s
	r.version = s.Version
	r.sent = w.now
	r.first = 0
	r.paced = false
	r.attempts++
	r.tries++
	s.own++
	w.recordSlowStart(s)
	w.recordLimit(s)
	w.noteSession(r, s.Version)
	cmd := Dispatch{
		Request: r.ID, Server: s.Server, Attempt: r.tries,
		Patience: patience(r), Load: int(v.load) + 1, Wait: seconds(v.wait),
		Limit: s.limit.RateLimit,
	}
	if !s.reportedAt.IsZero() {
		cmd.LoadAge = w.now.Sub(s.reportedAt)
	}
	if r.ModelOpen && len(r.Route.Sizes) > 0 {
		f = f.plusOne()
		cmd.Taken, cmd.MeanWait, cmd.Repeats = f.taken, seconds(f.wait), r.service.budget.Left(w.now)
		r.size = w.chooseSize(r, f.room(r))
		cmd.Model = r.Route.Sizes[r.size]
	}
	if r.service.engine {
		w.toRead(r, v)
	} else {
		r.service.throttle.recordDispatch(w.now)
	}
	w.emit(cmd)
	return true
}

const (
	// silentPart is the part of the time to the target for which a repeatable plain
	// request waits for the first byte of an answer before it is tried elsewhere.
	silentPart = 2.5
	// silentLeast bounds that time from below: a slow server is no dead one.
	silentLeast = 400 * time.Millisecond
)

// patience is how long an attempt may stay silent before another server is asked.
//
// Load: a server that hangs or has gone dark. Harm prevented: a caller who waits for it
// to the end. Only what may run again is given up.
func patience(r *request) time.Duration {
	if r.Route.Kind != KindIdempotent || r.attempts >= r.Route.MaxAttempts {
		return 0
	}
	return max(time.Duration(silentPart*float64(r.Route.Target)), silentLeast)
}
