package passthrough

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryAfterFraction bounds the retry-after time, before jitter, as a fraction of the time to
	// the request's deadline.
	retryAfterFraction = 0.3
	// retryAfterJitter is the largest fraction that is added at random, so that callers that were
	// refused together do not return together.
	retryAfterJitter = 0.5
)

// refuse ends a request that has not run, with a retry-after time for its caller.
func (w *World) refuse(r *request, reason Reason) {
	if reason == ReasonPartQuarantined {
		w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: quarantineRetryAfter})
		w.remove(r)
		return
	}
	if reason == ReasonTooLarge {
		w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: maxRetryAfter})
		w.remove(r)
		return
	}
	if w.cfg.SharedAdmission && (reason == ReasonNoRoom || reason == ReasonBusy || reason == ReasonServersFull) {
		retryAfter, state := w.returnTime(r)
		w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter, Admission: state})
		w.remove(r)
		return
	}
	retryAfter := r.service.intervals.departures.wait(r.service.queue.ahead(r))
	switch reason {
	case ReasonNoServer:
		retryAfter = max(retryAfter, unreachableBackoff)
	case ReasonBackoff:
		retryAfter = max(retryAfter, unreachableBackoff, w.backoffEnds(r.service).Sub(w.now))
	case ReasonSlowStart, ReasonLimited:
		wait, _ := w.grantWait(r)
		if wait == never {
			wait = unreachableBackoff // another instance may know the servers' holders
		}
		retryAfter = max(retryAfter, wait)
	}
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter = min(retryAfter, maxRetryAfter, time.Duration(retryAfterFraction*float64(r.Deadline.Sub(w.now))))
	retryAfter += time.Duration(retryAfterJitter * w.rng.Float64() * float64(retryAfter))
	if retryAfter <= 0 {
		retryAfter = minRetryAfter // the deadline has passed: the caller's next request has its own
	}
	w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter})
	w.remove(r)
}
