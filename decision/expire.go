package decision

import (
	"container/heap"
	"time"
)

// expire ends requests that have run out of time.
//
// Load: saturation, where requests wait longer than their callers. Harm prevented:
// an answer that completes after its caller has stopped waiting still occupies a
// slot, and a caller kept waiting until its deadline cannot go elsewhere. Queued
// requests are refused at once as not run; running attempts are cancelled at the
// backend server.
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
			continue // superseded by an earlier wake
		}
		next.server.wakeAt = time.Time{}
		w.refreshFree(next.server)
	}
}

func (w *World) expireRequest(r *request) {
	switch {
	case r.held != 0:
		// A held answer is complete. Its rating or its second step is late, and
		// waiting longer would only delay the caller.
		w.deliver(r, r.held)
	case r.state == stateRunning:
		w.recordServerTimeout(r.current)
		w.cancelCurrent(r)
		w.fail(r, AttemptUnknown)
	case r.mayHaveRun:
		w.fail(r, r.lastResult)
	case w.now.Before(r.deadline):
		// Queued past its latest start; see latestStart.
		w.recordWait(r)
		w.conclude(r, ReasonWaitTooLong)
	default:
		w.refuse(r, ReasonDeadline, w.retryAfter(w.waitFor(r)))
	}
}

// setDue sets the time of the request's next timeout.
func (w *World) setDue(r *request, at time.Time) {
	e := dueEntry{due: at.Sub(w.base), id: r.ID, request: r}
	if r.duePos < 0 {
		// Push takes an any: a pointer to a reused entry is converted to it without
		// an allocation.
		w.dueBuffer = e
		heap.Push(&w.due, &w.dueBuffer)
		return
	}
	if w.due[r.duePos].due != e.due {
		w.due[r.duePos] = e
		heap.Fix(&w.due, r.duePos)
	}
}

// clearDue removes the request from the heap.
func (w *World) clearDue(r *request) {
	if r.duePos >= 0 {
		heap.Remove(&w.due, r.duePos)
	}
}
