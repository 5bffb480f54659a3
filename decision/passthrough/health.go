package passthrough

import "time"

const (
	// healthMemory is the number of attempts that a server's failure ratio looks back
	// on.
	healthMemory = 12
	// ejectionRatio is the ratio of failed attempts at which a server is ejected. It
	// is above the failure ratio that a route may have with healthy servers, up to 14 in 100.
	ejectionRatio = 0.35
	// minEjectionFailures is the least number of recent failures for an ejection: fewer
	// may happen by chance.
	minEjectionFailures = 3
	// minEjectionTime is how long a server is ejected before it is tried again. The
	// time doubles with each further ejection, up to maxEjectionTime.
	minEjectionTime = 1500 * time.Millisecond
	maxEjectionTime = 12 * time.Second
	// rejectedBackoff is how long a server is not chosen after it rejected a request.
	rejectedBackoff = 150 * time.Millisecond
	// unreachableBackoff is how long a server is not chosen after it could not be
	// reached: it is down, and a crashed server needs seconds to come back.
	unreachableBackoff = 700 * time.Millisecond
)

// health tracks the failures of a server's attempts from this instance, for outlier
// ejection.
//
// Load: one server among many that fails part of its requests while its own health
// check passes. Harm prevented: it fails fast, so it looks idle and attracts more
// requests.
type health struct {
	// failed and total count the failed and all attempts; earlier attempts weigh less.
	failed       float64
	total        float64
	ejectedUntil time.Time
	ejectionTime time.Duration
}

// record records an attempt's end.
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
