package completion

import "time"

// Work is what a response still takes, at a server of unit speed.
type Work struct {
	// Overhead is the time to the first event without wait and prefill, Prefill that of the prompt's prefill.
	Overhead time.Duration
	Prefill  time.Duration
	// Events is the number of events that are still to come.
	Events int
}

// Place is a server at which the work would be done.
type Place struct {
	// Wait is how long the prompt waits for other prompts.
	Wait time.Duration
	// Beside is the number of other requests at the server.
	Beside float64
	// Now and Usual are how many times as long as at unit speed work takes there, at this moment and usually.
	Now   float64
	Usual float64
}

// Forecast is when a response's first and last events are expected, counted from its dispatch. The zero Forecast means
// that there is none.
type Forecast struct {
	FirstEvent time.Duration
	End        time.Duration
	// Delay is the part of both that comes from first events being later than forecast lately.
	Delay time.Duration
}

// Forecast forecasts the work at a place. The prompt is processed at the server's present speed; generation lasts for
// seconds, by which a momentary slowness has passed.
func (r *Rates) Forecast(w Work, p Place) Forecast {
	delay := scale(r.Delay(), p.Usual)
	first := p.Wait + w.Overhead + scale(w.Prefill, p.Now) + delay
	return Forecast{Delay: delay, FirstEvent: first, End: first + r.Generation(w.Events, p)}
}

// Generation is how long the events take after the first one has begun.
func (r *Rates) Generation(events int, p Place) time.Duration {
	return time.Duration(max(events, 0)) * scale(r.Interval(p.Beside), p.Usual)
}

// Least is a lower bound of the time that the work takes at the fastest of the service's servers, without any other
// request. fastest is that server's factor.
func (r *Rates) Least(w Work, fastest float64) time.Duration {
	return scale(w.Prefill, fastest) + time.Duration(max(w.Events, 0))*scale(r.FastestInterval(), fastest)
}

// Margin is how many times the forecast must fit into the time left. The event interval at one load spreads by a factor
// of two, and half of all responses are longer than estimated; a larger margin would send more requests to fewer
// servers than is worth it.
const Margin = 1.25

// EndsWithin reports whether the response is expected to end in the time left, with a margin.
func (f Forecast) EndsWithin(left time.Duration) bool { return scale(f.End, Margin) <= left }
