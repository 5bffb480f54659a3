package passthrough

import "time"

// seconds converts seconds to a Duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// averageMemory is the number of values that a moving average looks back on.
const averageMemory = 20

// movingAverage is the plain mean of the first averageMemory values, and an exponential
// moving average after that.
type movingAverage struct {
	value float64
	n     float64
}

func (m *movingAverage) add(x float64) {
	m.n = min(m.n+1, averageMemory)
	m.value += (x - m.value) / m.n
}

// noModel stands for the model index of a request that asks for no model of the route.
const noModel = -1

// intervalStats are the event intervals of a service's responses, by model index.
type intervalStats struct {
	perModel   map[int]*movingAverage
	baselines  map[int]*baselineTimes
	departures departureMeter
}

// average is the mean event interval of a model in seconds, without the version that is being
// rolled out.
func (p *intervalStats) average(model int) *movingAverage { return entryFor(&p.perModel, model) }

// baseline is the baseline of a model's event intervals.
func (p *intervalStats) baseline(model int) *baselineTimes { return entryFor(&p.baselines, model) }

// entryFor returns the map's entry for a model index, and creates it if needed.
func entryFor[T any](entries *map[int]*T, model int) *T {
	if *entries == nil {
		*entries = map[int]*T{}
	}
	entry := (*entries)[model]
	if entry == nil {
		entry = new(T)
		(*entries)[model] = entry
	}
	return entry
}

// departureMeter measures how many requests per second leave this instance for a service,
// which is how fast a queue shrinks.
type departureMeter struct {
	rate float64
	last time.Time
}

// departureWindow is the time that the measured rate looks back on.
const departureWindow = 2 * time.Second

func (d *departureMeter) record(now time.Time) {
	if d.last.IsZero() {
		d.last = now
		return
	}
	gap := max(now.Sub(d.last), time.Millisecond)
	d.last = now
	part := min(1, float64(gap)/float64(departureWindow))
	d.rate += part * (1/gap.Seconds() - d.rate)
}

// wait estimates how long it takes for count requests to leave.
func (d *departureMeter) wait(count int) time.Duration {
	const minRate = 1.0 // per second: after a pause the rate is assumed to be no lower
	return seconds(float64(count) / max(d.rate, minRate))
}

// maxSlowdown bounds how slow a server is considered to be: enough to keep requests away,
// but not forever after one stall of many seconds.
const maxSlowdown = 10

// recordInterval records a response's event interval for its server and its service.
func (w *World) recordInterval(r *request, s *server, interval time.Duration) {
	if interval <= 0 {
		return
	}
	mean := r.service.intervals.average(r.model)
	x := interval.Seconds() / s.statedFactor()
	if mean.n > 3 && mean.value > 0 {
		s.relativeTime.add(min(x/mean.value, maxSlowdown))
	}
	if !w.runsTarget(s) {
		mean.add(x)
	}
}

// slowdown is how many times slower than the service's mean the server is: 1 for most.
func (s *server) slowdown() float64 {
	const minCount = 3
	if s.relativeTime.n < minCount || s.relativeTime.value < 1 {
		return 1
	}
	return s.relativeTime.value
}
