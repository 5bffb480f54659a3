package decision

import (
	"time"

	"masticplank.example/decision/internal/verdict"
)

// The crash rules: a request that crashes each backend server that runs it.
//
// Load: its caller sends it again and again. Harm prevented: each copy takes a
// server down with all that it runs, until the pool is gone. Two servers at most
// ever run it, over all its copies; then its fingerprint is shut out everywhere.

func newCrashes(cfg Config) *verdict.Crashes[Fingerprint] {
	c := verdict.DefaultCrashConfig()
	c.MaxServers = cfg.MaxCrashes
	c.Quarantine = cfg.QuarantineDuration
	return verdict.NewCrashes[Fingerprint](c)
}

// ingestQuarantine takes over a quarantine of another instance.
func (w *World) ingestQuarantine(e RequestQuarantined) {
	w.crashes.ApplyQuarantine(e.Fingerprint, e.Until, w.now)
}

// crashAdmission says whether the request may run now. A zero fingerprint is
// none, and where nothing has crashed nothing is looked up.
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

// quarantineLeft is how long the quarantine still lasts.
func (w *World) quarantineLeft(f Fingerprint) time.Duration {
	_, until := w.crashes.Admit(f, w.now)
	return max(until.Sub(w.now), 0)
}

// crashStarted notes a dispatch.
func (w *World) crashStarted(a *attempt) {
	f := a.request.Fingerprint
	if f != 0 && w.crashes.Len() > 0 {
		a.counted = w.crashes.AttemptStarted(f, w.now)
	}
}

// crashEnded notes an attempt's end, and quarantines at the limit.
func (w *World) crashEnded(a *attempt, result AttemptResult) {
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

// park sets a request aside that may not run now: while a copy of it runs that has
// crashed a server before (were both to crash, more servers than the limit would
// be down), or while only servers are free that must not take it. It is out of the
// queue, so that it holds up nobody behind it.
func (w *World) park(r *request) {
	w.dequeue(r)
	r.state = stateParked
	w.parked = append(w.parked, r)
}

// unpark queues again what need not wait any longer.
func (w *World) unpark() {
	kept := w.parked[:0]
	for _, r := range w.parked {
		if r.state != stateParked {
			continue // ended meanwhile
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
