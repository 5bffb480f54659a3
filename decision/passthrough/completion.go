package passthrough

import (
	"math"
	"slices"
	"time"

	"masticplank.example/decision/completion"
)

// timely is what the forecast of a request's last token has led to in its latest dispatch.
type timely struct {
	// modelLimit is the largest model that may be requested, by index, if limited is set.
	modelLimit int
	limited    bool
	// forecast is that of the server and model chosen; the zero value if there is none.
	forecast completion.Forecast
	// sentBeside is the number of requests beside this one at its server when it was sent.
	sentBeside float64
	// events is the number of events that the caller has had in earlier attempts.
	events int
	// heldModel is true if no larger model than before is requested, as the time is short.
	heldModel bool
}

// Progress is how far a request's present attempt is.
type Progress = completion.Progress

// GivenUp is why an attempt is given up in favour of another server.
type GivenUp struct {
	// Left is the time to the deadline, First when the first event was forecast after the dispatch, and Elsewhere how
	// long the rest is forecast to take at the best other server.
	Left, First, Elsewhere time.Duration
}

// forecastsEnd reports whether the end of the request's response is forecast: only for streams of engines whose servers
// state how fast their machines are, as elsewhere a forecast would be off by the unknown speed.
func (r *request) forecastsEnd() bool {
	s := r.service
	return s.engine && s.statesSpeeds && s.tokensPerEvent > 0 && r.Route.Kind == KindStream && r.tokens() > 0
}

// tokens is how many tokens the whole response is expected to have; 0 if unknown.
func (r *request) tokens() int {
	return r.service.rates.Tokens(r.Route.Name, r.ExpectedTokens, r.MaxTokens)
}

// eventsLeft is how many events are expected after the first done ones.
func (r *request) eventsLeft(done int) int {
	per := r.service.tokensPerEvent
	return max((r.tokens()+per-1)/per-done, 0)
}

// workWith is the request's work with a model after the first done events, which another server has to process like a
// part of the prompt.
func (r *request) workWith(model, done int) completion.Work {
	ps := &r.service.prefill
	tokens := r.PromptTokens + done*r.service.tokensPerEvent
	return completion.Work{
		Overhead: seconds(ps.minFirstByte), Prefill: seconds(ps.perToken(model) * float64(tokens)), Events: r.eventsLeft(done),
	}
}

// placeOf is a server as a place for a request that is not there yet.
func (w *World) placeOf(v serverView) completion.Place {
	key := v.server.speedKey()
	return completion.Place{Wait: seconds(v.wait), Beside: v.load, Now: w.speeds.Now(w.now, key), Usual: w.speeds.Usual(w.now, key)}
}

// forecastAt forecasts the end of the request's response at a server with a model.
func (w *World) forecastAt(r *request, v serverView, model int) completion.Forecast {
	return r.service.rates.Forecast(r.workWith(model, r.timely.events), w.placeOf(v))
}

// preferTimely returns those of the candidates at which the response is forecast to end before the deadline, with the
// model that would be chosen, else with a smaller one, to which the choice is then limited. If there are none, it returns
// those with the earliest end.
//
// Load: streams of up to a hundred events with 15 to 20 s to their deadline, and short requests with 4 s, at engines that
// take 19 to 270 ms for an event. Harm prevented: a stream begun where it cannot end holds a slot up to its deadline,
// and its caller gets nothing.
func (w *World) preferTimely(r *request, list, views []serverView) []serverView {
	r.timely.limited = false
	if len(list) == 0 || !r.forecastsEnd() {
		return list
	}
	left := r.Deadline.Sub(w.now)
	planned := w.plannedModel(r, views)
	r.timely.limited = true
	for model := planned; model >= min(planned, 0); model-- {
		r.timely.modelLimit = model
		if timely := w.endingWithin(r, list, model, left); len(timely) > 0 {
			return timely
		}
		// Without the margin: the weaker response of a smaller model is worth little, and is only better than none.
		if timely := w.endingWithin(r, list, model, time.Duration(completion.Margin*float64(left))); len(timely) > 0 {
			return w.endingFirst(r, timely, model)
		}
	}
	return w.endingFirst(r, list, min(planned, 0))
}

// endingWithin returns the servers of the list at which the response with the model ends within the time left. The
// result is valid until the next call.
func (w *World) endingWithin(r *request, list []serverView, model int, left time.Duration) []serverView {
	w.timely = w.timely[:0]
	work := r.workWith(model, r.timely.events)
	for _, v := range list {
		if r.service.rates.Forecast(work, w.placeOf(v)).EndsWithin(left) {
			w.timely = append(w.timely, v)
		}
	}
	return w.timely
}

// endSlack is how much longer than at the best server a response may be forecast to take at a server that is chosen
// while none is in time: with the best one alone, all instances would choose the same.
const endSlack = 1.2

// endingFirst returns the servers of the list at which the response with the model ends first, or not much later.
func (w *World) endingFirst(r *request, list []serverView, model int) []serverView {
	first := time.Duration(math.MaxInt64)
	work := r.workWith(model, r.timely.events)
	for _, v := range list {
		first = min(first, r.service.rates.Forecast(work, w.placeOf(v)).End)
	}
	return w.endingWithin(r, list, model, time.Duration(endSlack*completion.Margin*float64(first)))
}

// plannedModel is the model that chooseModel would request in the request's next attempt.
func (w *World) plannedModel(r *request, views []serverView) int {
	if !r.ChooseModel || len(r.Route.Models) == 0 {
		return noModel
	}
	if r.timely.heldModel {
		return r.model
	}
	r.attempts++ // as in tryDispatch, where the attempt counts once its server is chosen
	model := w.chooseModel(r, occupancyOf(r.service, views).withOneMore().headroom(r))
	r.attempts--
	return model
}

// timelyModel is the model to request, given the one that would be requested if there were time for any.
func (r *request) timelyModel(chosen int) int {
	switch {
	case r.timely.heldModel && r.timely.limited:
		return min(r.model, r.timely.modelLimit)
	case r.timely.limited:
		return min(chosen, r.timely.modelLimit)
	}
	return chosen
}

// recordForecast records the forecast of a dispatch to the server, and returns it.
func (w *World) recordForecast(r *request, v serverView) completion.Forecast {
	r.timely.forecast, r.timely.sentBeside = completion.Forecast{}, v.load
	if r.forecastsEnd() {
		r.timely.forecast = w.forecastAt(r, v, r.model)
	}
	return r.timely.forecast
}

// leastFraction is the fraction of the expected tokens that a response has in any case, for a refusal: callers' estimates
// are off by as much in many cases.
const leastFraction = 0.4

// leastTime is a lower bound of the time that the response takes: at the fastest server, with nothing beside it and the
// smallest model.
func (w *World) leastTime(r *request) time.Duration {
	fastest := 1.0
	for _, s := range r.service.servers {
		fastest = min(fastest, w.speeds.Usual(w.now, s.speedKey()))
	}
	events := int(leastFraction * float64(r.eventsLeft(0)))
	prefill := seconds(min(r.service.prefill.perToken(0), smallestPrefillPerToken) * float64(r.PromptTokens))
	return r.service.rates.Least(completion.Work{Prefill: prefill, Events: events}, fastest)
}

// refuseUncompletable refuses a request that has not run if no server could complete it before the deadline, and reports
// whether it did so.
//
// Load: requests that have waited in queues, or whose callers give them little time. Harm prevented: a caller that waits
// for what cannot come, and the slot and prefill that others need. What an idle, fast server with the smallest model could
// still complete is not refused, as forecasts may be too long.
func (w *World) refuseUncompletable(r *request) bool {
	if r.mayHaveRun || !r.forecastsEnd() {
		return false
	}
	least, left := w.leastTime(r), r.Deadline.Sub(w.now)
	if least <= left {
		return false
	}
	c := Refuse{Request: r.ID, Reason: ReasonNoTime, Forecast: least, TimeLeft: left}
	if least <= r.Deadline.Sub(r.arrived) { // the time went by here; a new request would have enough of it
		c.RetryAfter = minRetryAfter + time.Duration(retryAfterJitter*w.rng.Float64()*float64(minRetryAfter))
	}
	w.emit(c)
	w.remove(r)
	return true
}

// replaceableInTime reports whether the response of the largest model, requested now, is forecast to end before the
// deadline at some server.
//
// Load: a short request whose first response comes after most of its time. Harm prevented: its weak response is dropped
// for one that cannot come in time, and its caller gets none.
func (w *World) replaceableInTime(r *request, views []serverView) bool {
	if !r.forecastsEnd() {
		return true
	}
	left, work := r.Deadline.Sub(w.now), r.workWith(len(r.Route.Models)-1, r.timely.events)
	return slices.ContainsFunc(views, func(v serverView) bool {
		return v.hasFreeSlot() && r.service.rates.Forecast(work, w.placeOf(v)).EndsWithin(left)
	})
}

// GivesUp reports whether the request's present attempt is to be given up, as its response is not expected to end before
// the deadline there while it is at another server. Only what may run again, has an attempt left and can be retried
// without using up what failures need is given up.
func (w *World) GivesUp(now time.Time, id RequestID, p Progress) (GivenUp, bool) {
	r := w.requests[id]
	if r == nil || r.server == nil || r.withdrawn || r.timely.forecast.End <= 0 || !r.Route.Retryable() {
		return GivenUp{}, false
	}
	w.now = later(w.now, now)
	if r.attempts >= r.Route.MaxAttempts || !r.service.budget.AllowsOptional(w.now) {
		return GivenUp{}, false
	}
	why := GivenUp{Left: r.Deadline.Sub(w.now), First: r.timely.forecast.FirstEvent}
	done := r.timely.events + p.Events
	if !p.MayMiss(why.Left, why.First, r.eventsLeft(done)) {
		return GivenUp{}, false // the usual case, without a look at other servers
	}
	elsewhere := w.bestElsewhere(r, done)
	why.Elsewhere = elsewhere.End
	generation := r.service.rates.Generation(r.eventsLeft(done), w.presentPlace(r))
	return why, p.GivesUp(why.Left, why.First, generation, r.eventsLeft(done), elsewhere)
}

// presentPlace is the server that the request is at.
func (w *World) presentPlace(r *request) completion.Place {
	key := r.server.speedKey()
	return completion.Place{Beside: r.timely.sentBeside, Now: w.speeds.Now(w.now, key), Usual: w.speeds.Usual(w.now, key)}
}

// bestElsewhere is the earliest forecast of the rest of the response, after the first done events, at any other server
// that would be chosen; the zero Forecast if there is none.
func (w *World) bestElsewhere(r *request, done int) completion.Forecast {
	views := w.viewServers(r.service)
	present := r.server
	others := slices.DeleteFunc(slices.Clone(views), func(v serverView) bool { return v.server == present })
	var best completion.Forecast
	work := r.workWith(r.model, done)
	for _, v := range w.usableCandidates(r, others) {
		s := v.server
		if slices.Contains(r.tried, s) || s.health.ejected(w.now) || w.path.links.Avoids(w.now, s.ID) {
			continue
		}
		f := r.service.rates.Forecast(work, w.placeOf(v))
		if best.End == 0 || f.End < best.End {
			best = f
		}
	}
	return best
}

// observeEnd learns from the end of a response's attempt.
func (r *request) observeEnd(e AttemptEnded) {
	r.timely.events += e.Events
	r.timely.heldModel = e.GivenUp
	if e.Result == Completed {
		r.service.rates.ObserveLength(r.Route.Name, r.timely.events*r.service.tokensPerEvent)
	}
}

// observeDelay learns from when a response begins or, if late, has not begun yet.
func (w *World) observeDelay(r *request, took time.Duration) {
	if r.server != nil {
		r.service.rates.ObserveFirstEvent(r.timely.forecast, took, w.speeds.Usual(w.now, r.server.speedKey()))
	}
}

// observeFirstPace learns from the first events of a stream. Without them, nothing would be learned of the slowest streams,
// which never end.
func (w *World) observeFirstPace(e EventIntervalMeasured) {
	if r := w.requests[e.Request]; r != nil && r.server != nil {
		w.observePace(r, r.server, e.EventInterval)
	}
}

// observePace learns from the event interval of a response at a server.
func (w *World) observePace(r *request, s *server, interval time.Duration) {
	if r.timely.forecast.End > 0 {
		r.service.rates.ObserveInterval(interval, r.timely.sentBeside, w.speeds.Usual(w.now, s.speedKey()))
	}
}
