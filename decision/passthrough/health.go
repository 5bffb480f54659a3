package passthrough

import "time"

const (
	// healthMemory is the number of attempts that a server's record looks back on.
	healthMemory = 12
	// sickShare is the part of failed attempts that makes a server sick: a route's own
	// failures, 14 in 100 at one of the sites, must not.
	ejectionRatio = 0.35
	// sickAfter is the least number of recent failures: fewer happen by chance.
	minEjectionFailures = 3
	// sickFor is how long a sick server is left out before it is tried again, doubled
	// up to sickMost with each relapse.
	minEjectionTime = 1500 * time.Millisecond
	maxEjectionTime = 12 * time.Second
	// refusedFor leaves out a server that refused a connection or a request.
	rejectedBackoff = 150 * time.Millisecond
	// absentFor leaves out one that could not be reached at all: it is down, and a
	// crashed server needs seconds to come back.
	unreachableBackoff = 700 * time.Millisecond
)

// health is a server's recent record, by this instance's attempts.
//
// Load: one server among many that fails part of its requests while its own health
// check is good. Harm prevented: it fails fast, looks idle, and draws work.
type health struct {
	failed       float64
	total        float64
	ejectedUntil time.Time
	ejectionTime time.Duration
}

// note takes in an attempt's end.
func (h *health) record(ok bool, now time.Time) {
	const keep = 1 - 1.0/healthMemory
	h.failed *= keep
	h.total = h.total*keep + 1
	if ok {
		if h.failed/h.total < ejectionRatio/2 {
			h.ejectionTime = 0
		}
		return
	}
	h.failed++
	if h.failed < minEjectionFailures || h.failed/h.total < ejectionRatio {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.failed, h.total = minEjectionFailures-1, minEjectionFailures/ejectionRatio
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
