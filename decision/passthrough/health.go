package passthrough

import "time"

const (
	// healthMemory is the number of attempts that a server's record looks back on.
	healthMemory = 12
	// sickShare is the part of failed attempts that makes a server sick: a route's own
	// failures, 14 in 100 at one of the sites, must not.
	sickShare = 0.35
	// sickAfter is the least number of recent failures: fewer happen by chance.
	sickAfter = 3
	// sickFor is how long a sick server is left out before it is tried again, doubled
	// up to sickMost with each relapse.
	sickFor  = 1500 * time.Millisecond
	sickMost = 12 * time.Second
	// refusedFor leaves out a server that refused a connection or a request.
	refusedFor = 150 * time.Millisecond
	// absentFor leaves out one that could not be reached at all: it is down, and a
	// crashed server needs seconds to come back.
	absentFor = 700 * time.Millisecond
)

// health is a server's recent record, by this instance's attempts.
//
// Load: one server among many that fails part of its requests while its own health
// check is good. Harm prevented: it fails fast, looks idle, and draws work.
type health struct {
	failed float64
	total  float64
	until  time.Time
	span   time.Duration
}

// note takes in an attempt's end.
func (h *health) note(ok bool, now time.Time) {
	const keep = 1 - 1.0/healthMemory
	h.failed *= keep
	h.total = h.total*keep + 1
	if ok {
		if h.failed/h.total < sickShare/2 {
			h.span = 0
		}
		return
	}
	h.failed++
	if h.failed < sickAfter || h.failed/h.total < sickShare {
		return
	}
	h.span = min(max(2*h.span, sickFor), sickMost)
	h.until = now.Add(h.span)
	h.failed, h.total = sickAfter-1, sickAfter/sickShare
}

func (h *health) barred(now time.Time) bool { return now.Before(h.until) }
