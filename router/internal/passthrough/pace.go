package passthrough

import (
	"sync"
	"time"
)

// pace counts the events of an attempt's stream. It is safe for concurrent use.
type pace struct {
	mu     sync.Mutex
	events int
	first  time.Time
}

// add counts events that have arrived now.
func (p *pace) add(events int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		p.first = now
	}
	p.events += events
}

// leaveOut leaves a time since the first event out of the pace.
func (p *pace) leaveOut(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first = p.first.Add(d)
}

// read returns the number of events, and when the first one arrived.
func (p *pace) read() (events int, first time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.first
}

// paceSample is the number of a stream's events at one time.
type paceSample struct {
	at     time.Time
	events int
}

// paceWindow is the time over which a stream's present pace is measured. If it is better than that of the whole stream, it
// counts: a machine that was busy for some hundred milliseconds does not end a stream that goes on well.
const paceWindow = 1500 * time.Millisecond
