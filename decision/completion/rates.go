package completion

import (
	"math"
	"math/bits"
	"time"
)

const (
	// idleInterval is the prior of the time between the events of a stream that has a server of unit speed to itself,
	// intervalPerRequest what each request beside it adds on average, as its prefill delays generation, up to
	// maxPriorBeside requests.
	idleInterval       = 19 * time.Millisecond
	intervalPerRequest = 5 * time.Millisecond
	maxPriorBeside     = 12.0
	// priorResponses is the weight of the prior, in responses; levelPrior that of what all load levels have in common,
	// at one level.
	priorResponses = 3
	levelPrior     = 6
	// rateMemory is how many responses a rate looks back on: enough to average out their spread, few enough to follow a
	// crest of some ten seconds.
	rateMemory = 60
	// maxRatio bounds what one response says: a stream that stood still for its server's restart says nothing of the
	// usual rate.
	maxRatio = 8.0
	// loadLevels is the number of load levels: 0, 1, 2 and 3, 4 to 7 and so on requests beside.
	loadLevels = 9
)

// Rates are the rates of a service's engines as learned from their responses, normalised to unit speed. The zero Rates
// has the priors only. It is not safe for concurrent use.
type Rates struct {
	// all and levels are the ratios of event intervals to the prior, overall and by load level.
	all    mean
	levels [loadLevels]mean
	// fastest is the shortest event interval seen, in seconds; 0 for none.
	fastest float64
	// delay is by how much first events come later than forecast, in seconds at unit speed.
	delay mean
	// lengths are the lengths of whole responses in tokens, by route.
	lengths map[string]*mean
}

// mean is a mean in which older values fade.
type mean struct{ value, n float64 }

func (m *mean) add(x float64) { m.addWithin(x, rateMemory) }

// addWithin is add with a memory of its own.
func (m *mean) addWithin(x, memory float64) {
	m.n = min(m.n+1, memory)
	m.value += (x - m.value) / m.n
}

// withPrior is the mean with a prior of the given weight.
func (m mean) withPrior(prior, weight float64) float64 {
	return (m.value*m.n + prior*weight) / (m.n + weight)
}

// loadLevel returns the load level of a number of requests beside a stream.
func loadLevel(beside float64) int {
	return min(bits.Len(uint(max(math.Round(beside), 0))), loadLevels-1)
}

// priorInterval is the prior of the event interval at unit speed, in seconds.
func priorInterval(beside float64) float64 {
	return idleInterval.Seconds() + intervalPerRequest.Seconds()*min(max(beside, 0), maxPriorBeside)
}

// ObserveInterval records the mean event interval of a stream that had beside requests with it at a server that takes
// factor times as long as one of unit speed.
func (r *Rates) ObserveInterval(interval time.Duration, beside, factor float64) {
	if interval <= 0 || factor <= 0 {
		return
	}
	x := interval.Seconds() / factor
	const drift = 1.002 // the minimum rises slowly, to forget an outlier
	r.fastest *= drift
	if r.fastest == 0 || x < r.fastest {
		r.fastest = x
	}
	ratio := min(x/priorInterval(beside), maxRatio)
	r.all.add(ratio)
	r.levels[loadLevel(beside)].add(ratio)
}

// Interval is the expected event interval with beside requests at a server of unit speed.
func (r *Rates) Interval(beside float64) time.Duration {
	overall := r.all.withPrior(1, priorResponses)
	return seconds(priorInterval(beside) * r.levels[loadLevel(beside)].withPrior(overall, levelPrior))
}

// FastestInterval is a lower bound of the event interval at a server of unit speed.
func (r *Rates) FastestInterval() time.Duration {
	if r.fastest == 0 {
		return idleInterval / 2
	}
	return min(seconds(r.fastest), idleInterval)
}

// delayMemory is how many first events the delay looks back on: a crest builds up within seconds.
const delayMemory = 20

// maxDelay bounds what one first event says, and in seconds.
const maxDelay = 5.0

// ObserveFirstEvent records that the first event came after the given time, or had not come by then, at a server that
// takes factor times as long as one of unit speed.
//
// Load: a crest at which the prompts of all instances wait at engines, which none of them knows in time. Harm prevented:
// larger models asked, and weak responses dropped, by waits that are forecast at a tenth of what they are.
func (r *Rates) ObserveFirstEvent(f Forecast, took time.Duration, factor float64) {
	if f.End <= 0 || factor <= 0 {
		return
	}
	late := (took - f.FirstEvent + f.Delay).Seconds() / factor
	r.delay.addWithin(min(max(late, -maxDelay), maxDelay), delayMemory)
}

// Delay is by how much a first event is expected to come later than by wait and prefill, at unit speed.
func (r *Rates) Delay() time.Duration { return seconds(max(r.delay.withPrior(0, priorResponses), 0)) }

// ObserveLength records the length of a whole response on a route, in tokens.
func (r *Rates) ObserveLength(route string, tokens int) {
	if tokens <= 0 {
		return
	}
	if r.lengths == nil {
		r.lengths = map[string]*mean{}
	}
	m := r.lengths[route]
	if m == nil {
		m = &mean{}
		r.lengths[route] = m
	}
	m.add(float64(tokens))
}

// Tokens is how many tokens a response is expected to have: the caller's estimate if there is one, else the route's usual
// length, in either case at most the caller's maximum; 0 if nothing is known. An estimate or maximum of 0 is not stated.
func (r *Rates) Tokens(route string, estimate, maximum int) int {
	tokens := estimate
	if m := r.lengths[route]; tokens <= 0 && m != nil {
		tokens = int(math.Round(m.value))
	}
	if maximum > 0 && (tokens <= 0 || tokens > maximum) {
		return maximum
	}
	return max(tokens, 0)
}

// seconds converts seconds to a Duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
