package passthrough

import "time"

// seconds turns seconds into a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// paceMemory is the number of answers that a mean pace looks back on.
const paceMemory = 20

// mean is an exponential mean of the last answers.
type mean struct {
	value float64
	n     float64
}

func (m *mean) add(x float64) {
	m.n = min(m.n+1, paceMemory)
	m.value += (x - m.value) / m.n
}

// plainSize stands for the model's size of a request that asks for none.
const plainSize = -1

// paceStats is the mean pace of a service's answers by model size.
type paceStats struct {
	by     map[int]*mean
	usuals map[int]*usualTimes
	drain  drainMeter
}

// of is the mean pace in seconds of answers by a model size, usual the logarithm of what is
// usual of it, by load.
func (p *paceStats) of(size int) *mean { return bySize(&p.by, size) }

func (p *paceStats) usual(size int) *usualTimes { return bySize(&p.usuals, size) }

// bySize is the map's row of a model size, made where there is none.
func bySize[T any](by *map[int]*T, size int) *T {
	if *by == nil {
		*by = map[int]*T{}
	}
	row := (*by)[size]
	if row == nil {
		row = new(T)
		(*by)[size] = row
	}
	return row
}

// drainMeter measures how many requests a second leave this instance for a service: with a
// queue, that is how fast it gets shorter.
type drainMeter struct {
	rate float64
	last time.Time
}

// drainWindow is the time that the measured rate looks back on.
const drainWindow = 2 * time.Second

func (d *drainMeter) left(now time.Time) {
	if d.last.IsZero() {
		d.last = now
		return
	}
	gap := max(now.Sub(d.last), time.Millisecond)
	d.last = now
	part := min(1, float64(gap)/float64(drainWindow))
	d.rate += part * (1/gap.Seconds() - d.rate)
}

// wait estimates how long it takes until so many have left.
func (d *drainMeter) wait(count int) time.Duration {
	const leastRate = 1.0 // a second: no worse guess than that after a silence
	return seconds(float64(count) / max(d.rate, leastRate))
}

// slowMost bounds how slow a server is thought to be: enough to keep work away, not so
// much that one stall of many seconds keeps it away for good.
const slowMost = 10

// notePace takes in an answer's pace as evidence on its server.
func (w *World) notePace(r *request, s *server, pace time.Duration) {
	if pace <= 0 {
		return
	}
	all := r.service.pace.of(r.size)
	x := pace.Seconds()
	if all.n > 3 && all.value > 0 {
		s.slow.add(min(x/all.value, slowMost))
	}
	if !w.onTrial(s) {
		all.add(x)
	}
}

// slowness is how many times slower than the service's mean the server is: 1 for most.
func (s *server) slowness() float64 {
	const leastAnswers = 3
	if s.slow.n < leastAnswers || s.slow.value < 1 {
		return 1
	}
	return s.slow.value
}
