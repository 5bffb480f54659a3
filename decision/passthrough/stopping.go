package passthrough

import (
	"cmp"
	"slices"
	"time"
)

const (
	// plainDurationFactor is applied to the mean response time of a plain route while this instance stops: a refused request
	// is served elsewhere, one that is cut off may have run.
	plainDurationFactor = 3
	// minNeededTime is the least time that a request may need, also on a route without responses yet.
	minNeededTime = 300 * time.Millisecond
)

// outlivesInstance reports whether a request that has not run would probably be cut off when this instance stops. It holds
// for each way to a server: on arrival, from the queue, as a retry, and once a connection, a permit or a grant was waited for.
//
// Load: an instance that is stopping and still gets requests until the load balancer notices, and on kept connections until
// the end: streams as long as the grace period, and requests in its last tenths of a second. Harm prevented: a response that
// is cut off, while a refusal sends the caller to an instance that stays.
func (w *World) outlivesInstance(now time.Time, r *request) bool {
	if w.endsAt.IsZero() || r.mayHaveRun {
		return false
	}
	return now.Add(w.neededTime(r.Route)).After(w.endsAt)
}

// neededTime is how much time must be left for a request on the route.
func (w *World) neededTime(route *Route) time.Duration {
	if route.Kind == KindStream {
		return max(w.expectedDuration(route, durationFactor), minNeededTime)
	}
	return max(w.expectedDuration(route, plainDurationFactor), minNeededTime)
}

// refuseOutliving refuses the queued requests that would be cut off, while their callers still have time to go elsewhere.
func (w *World) refuseOutliving() {
	if w.endsAt.IsZero() {
		return
	}
	var late []*request
	for _, r := range w.requests {
		if r.queued && w.outlivesInstance(w.now, r) {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range late {
		w.refuse(r, ReasonStopping)
	}
}
