package passthrough

import "time"

// tryDispatch sends the request to a server with a free slot, or refuses it if it cannot be completed in time, or before
// this instance stops. It returns false if no slot is free now.
func (w *World) tryDispatch(r *request) bool {
	if w.outlivesInstance(w.now, r) {
		w.refuse(r, ReasonStopping)
		return true
	}
	if w.refuseUncompletable(r) {
		return true
	}
	if w.exceedsStartShare(r) {
		return false
	}
	views := w.viewServers(r.service)
	occ := occupancyOf(r.service, views)
	v, ok := w.pickServer(r, views, occ)
	if !ok || w.yieldsSlot(r) {
		return false
	}
	s := v.server
	w.recordAdmitted(r)
	if r.queued {
		r.service.queue.take(r)
		r.queued = false
	}
	r.service.intervals.departures.record(w.now)
	r.server = s
	r.version = s.Version
	r.sent = w.now
	r.firstByte = 0
	r.begunAt, r.withdrawn, r.dropped = time.Time{}, false, false
	w.recordTrial(r, s)
	r.intervalReported = false
	r.attempts++
	r.dispatches++
	s.ownRequests++
	r.takeTokens()
	peers := w.takePermit(r, s)
	w.recordSession(r, s.Version)
	cmd := Dispatch{
		Request: r.ID, Server: s.Server, Attempt: r.dispatches,
		At: w.now, FirstByteTimeout: firstByteTimeout(r), Load: int(v.load) + 1, PrefillWait: seconds(v.wait),
		Limit: s.limit.RateLimit, Peers: peers,
	}
	w.takeGrant(r, s, &cmd)
	if !s.reportedAt.IsZero() {
		cmd.LoadAge = w.now.Sub(s.reportedAt)
	}
	if r.service.statesSpeeds {
		cmd.Speed = v.factor
		cmd.StatedSlowdown, cmd.StatedAge = w.speeds.Newest(w.now, s.speedKey())
	}
	if r.ChooseModel && len(r.Route.Models) > 0 {
		occ = occ.withOneMore()
		cmd.Utilization, cmd.MeanPrefillWait, cmd.RetriesLeft = occ.utilization, seconds(occ.prefillWait), r.service.budget.Remaining(w.now)
		if w.plansLarger(r.service) {
			pool := w.pool(r.service, views)
			cmd.Utilization, cmd.MeanPrefillWait, cmd.Pooled = pool.Utilization, seconds(pool.Backlog), pool.Shared
			cmd.WaitedForLarger, cmd.SinceArrival = r.waitedForLarger, w.now.Sub(r.arrived)
			r.model = w.choosePlanned(r, pool, v)
		} else {
			r.model = w.chooseModel(r, occ.headroom(r))
		}
		r.model = r.timelyModel(r.model)
		cmd.Model = r.Route.Models[r.model]
		cmd.LargerModel = w.plansLarger(r.service) && r.model > 0
	}
	cmd.Forecast = w.recordForecast(r, v).End
	if r.service.engine {
		w.beginPrefill(r, v)
	} else {
		r.service.throttle.recordDispatch(w.now)
	}
	w.emit(cmd)
	return true
}

const (
	// firstByteTimeoutFactor is how many times its target latency a retryable plain
	// request waits for the first byte before it is tried elsewhere.
	firstByteTimeoutFactor = 2.5
	// minFirstByteTimeout is the least such wait: a slow server is not one that is down.
	minFirstByteTimeout = 400 * time.Millisecond
)

// firstByteTimeout is how long an attempt may take to its first byte before another
// server is tried; 0 for no bound of its own.
//
// Load: a server that hangs or is down. Harm prevented: a caller who waits for it to
// the deadline. Only plain requests that may run again, and have another attempt left,
// time out this way.
func firstByteTimeout(r *request) time.Duration {
	if r.Route.Kind != KindIdempotent || r.attempts >= r.Route.MaxAttempts {
		return 0
	}
	return max(time.Duration(firstByteTimeoutFactor*float64(r.Route.TargetLatency)), minFirstByteTimeout)
}
