package decision

import (
	"time"

	"masticplank.example/decision/internal/verdict"
)

// Handling of a request that crashes each backend server that runs it.
//
// Load: its caller sends it again and again. Harm prevented: each duplicate (a
// request with the same fingerprint) takes down a server with everything running
// there, until the pool is gone. After Config.MaxCrashes crashes (2 by default) over
// all duplicates at this instance, the fingerprint is quarantined on all instances.
// Only duplicates that run already at the first crash can crash more servers here.

func newCrashes(cfg Config) *verdict.Crashes[Fingerprint] {
	c := verdict.DefaultCrashConfig()
	c.MaxServers = cfg.MaxCrashes
	c.Quarantine = cfg.QuarantineDuration
	return verdict.NewCrashes[Fingerprint](c)
}

// ingestQuarantine applies a quarantine set by another instance.
func (w *World) ingestQuarantine(e RequestQuarantined) {
	w.crashes.ApplyQuarantine(e.Fingerprint, e.Until, w.now)
}

// crashAdmission returns whether a request with the fingerprint may run now, must
// wait for a running duplicate, or is quarantined. Nothing is looked up for a zero
// fingerprint or while no crash is recorded.
func (w *World) crashAdmission(f Fingerprint) verdict.CrashAdmission {
	if f == 0 || w.crashes.Len() == 0 {
		return verdict.CrashAllowed
	}
	admission, _ := w.crashes.Admit(f, w.now)
	return admission
}

func (w *World) isQuarantined(f Fingerprint) bool {
	return w.crashAdmission(f) == verdict.CrashQuarantined
}

// quarantineLeft is the remaining time of the quarantine.
func (w *World) quarantineLeft(f Fingerprint) time.Duration {
	_, until := w.crashes.Admit(f, w.now)
	return max(until.Sub(w.now), 0)
}

// recordAttemptStart records a dispatch.
func (w *World) recordAttemptStart(a *attempt) {
	f := a.request.Fingerprint
	if f != 0 && w.crashes.Len() > 0 {
		a.counted = w.crashes.AttemptStarted(f, w.now)
	}
}

// recordAttemptEnd records an attempt's end and quarantines the request at the
// limit.
func (w *World) recordAttemptEnd(a *attempt, result AttemptResult) {
	f := a.request.Fingerprint
	crashed := result == AttemptCrashed
	if f == 0 || !crashed && !a.counted {
		return
	}
	quarantine, until := w.crashes.AttemptEnded(f, a.counted, crashed, w.now)
	if quarantine {
		w.emit(Quarantine{Fingerprint: f, Until: until})
	}
}

// park takes a request that may not run now out of the queue, so that it does not
// block those behind it. The request waits for one of two things: for a running
// duplicate, if the fingerprint has crashed a server (if both crashed one, the
// limit could be exceeded), or for a server that may take it, if none of the free
// ones may.
func (w *World) park(r *request) {
	w.dequeue(r)
	r.state = stateParked
	w.parked = append(w.parked, r)
}

// unpark returns parked requests to the queues, except those that must still wait
// for a running duplicate.
func (w *World) unpark() {
	kept := w.parked[:0]
	for _, r := range w.parked {
		if r.state != stateParked {
			continue // ended while parked
		}
		if w.crashAdmission(r.Fingerprint) == verdict.CrashWait {
			kept = append(kept, r)
			continue
		}
		w.requeue(r)
	}
	clear(w.parked[len(kept):])
	w.parked = kept
}
