package decision

import (
	"container/heap"
	"time"
)

// expire ends what has run out of time.
//
// Load: saturation, where work waits longer than its caller. Harm prevented: an
// answer that comes after its caller gave up still takes a slot, and a caller
// that is held to its deadline cannot go elsewhere. Queued work is refused at
// once as not run; running work is cancelled at the backend server.
func (w *World) expire() {
	w.wakeServers()
	for now := w.now.Sub(w.base); len(w.due) > 0 && w.due[0].due <= now; {
		w.expireRequest(w.due[0].request)
	}
}

func (w *World) wakeServers() {
	for len(w.wakes) > 0 && !w.wakes[0].at.After(w.now) {
		next := heap.Pop(&w.wakes).(wake)
		if !next.at.Equal(next.server.wakeAt) {
			continue // an earlier wake has taken its place
		}
		next.server.wakeAt = time.Time{}
		w.refresh(next.server)
	}
}

func (w *World) expireRequest(r *request) {
	switch {
	case r.held != 0:
		// A held answer is whole: its rating is late, and no later than this is
		// it of use to the caller.
		w.deliver(r, r.held)
	case r.state == stateRunning:
		w.recordServerTimeout(r.current)
		w.cancelCurrent(r)
		w.fail(r, AttemptUnknown)
	case r.ran:
		w.fail(r, r.lastResult)
	case w.now.Before(r.deadline):
		w.recordWait(r)
		w.conclude(r, ReasonWaitTooLong)
	default:
		w.refuse(r, ReasonDeadline, w.retryAfter(w.waitFor(r)))
	}
}

// watch sets when the request must be looked at next.
func (w *World) setDue(r *request, at time.Time) {
	e := dueEntry{due: at.Sub(w.base), id: r.ID, request: r}
	if r.duePos < 0 {
		w.pushDue = e
		heap.Push(&w.due, &w.pushDue)
		return
	}
	if w.due[r.duePos].due != e.due {
		w.due[r.duePos] = e
		heap.Fix(&w.due, r.duePos)
	}
}

// unwatch takes the request off the heap.
func (w *World) clearDue(r *request) {
	if r.duePos >= 0 {
		heap.Remove(&w.due, r.duePos)
	}
}
