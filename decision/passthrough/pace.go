package passthrough

import "time"

// seconds turns seconds into a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// paceMemory is the number of answers that a mean pace looks back on.
const averageMemory = 20

// mean is an exponential mean of the last answers.
type movingAverage struct {
	value float64
	n     float64
}

func (m *movingAverage) add(x float64) {
	m.n = min(m.n+1, averageMemory)
	m.value += (x - m.value) / m.n
}

// plainSize stands for the model's size of a request that asks for none.
const noModel = -1

// paceStats is the mean pace of a service's answers by model size.
type intervalStats struct {
	perModel   map[int]*movingAverage
	baselines  map[int]*baselineTimes
	departures departureMeter
}

// of is the mean pace in seconds of answers by a model size, usual the logarithm of what is
// usual of it, by load.
func (p *intervalStats) average(model int) *movingAverage { return rowFor(&p.perModel, model) }

func (p *intervalStats) baseline(model int) *baselineTimes { return rowFor(&p.baselines, model) }

// bySize is the map's row of a model size, made where there is none.
func rowFor[T any](rows *map[int]*T, model int) *T {
	if *rows == nil {
		*rows = map[int]*T{}
	}
	row := (*rows)[model]
	if row == nil {
		row = new(T)
		(*rows)[model] = row
	}
	return row
}

// drainMeter measures how many requests a second leave this instance for a service: with a
// queue, that is how fast it gets shorter.
type departureMeter struct {
	rate float64
	last time.Time
}

// drainWindow is the time that the measured rate looks back on.
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

// wait estimates how long it takes until so many have left.
func (d *departureMeter) wait(count int) time.Duration {
	const minRate = 1.0 // a second: no worse guess than that after a silence
	return seconds(float64(count) / max(d.rate, minRate))
}

// slowMost bounds how slow a server is thought to be: enough to keep work away, not so
// much that one stall of many seconds keeps it away for good.
const maxSlowdown = 10

// notePace takes in an answer's pace as evidence on its server.
func (w *World) recordInterval(r *request, s *server, interval time.Duration) {
	if interval <= 0 {
		return
	}
	mean := r.service.intervals.average(r.model)
	x := interval.Seconds()
	if mean.n > 3 && mean.value > 0 {
		s.relativeTime.add(min(x/mean.value, maxSlowdown))
	}
	if !w.runsTarget(s) {
		mean.add(x)
	}
}

// slowness is how many times slower than the service's mean the server is: 1 for most.
func (s *server) slowdown() float64 {
	const minCount = 3
	if s.relativeTime.n < minCount || s.relativeTime.value < 1 {
		return 1
	}
	return s.relativeTime.value
}
