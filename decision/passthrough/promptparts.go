package passthrough

import (
	"time"

	"masticplank.example/decision/internal/culprit"
)

// A part of prompts may crash each server that begins a response on it. The instances pool what they see of
// crashes, and requests with the parts of a verdict are quarantined at all of them.

// CrashEvidence is what instances tell each other about servers that crashed and the parts of prompts that may be
// the cause.
type CrashEvidence = culprit.Evidence

// The parts of CrashEvidence.
type (
	// ServerCrash is a server that crashed, with the requests that were lost there.
	ServerCrash = culprit.Crash
	// CrashSuspect is such a request.
	CrashSuspect = culprit.Suspect
	// CrashOutcomes are counts of requests that were answered, and that were lost.
	CrashOutcomes = culprit.Outcomes
	// PartAnswer is the latest request with a part on which a response has begun.
	PartAnswer = culprit.Answer
	// PartCandidate is a part that an instance may convict soon.
	PartCandidate = culprit.Candidate
	// PartVerdict is a set of parts that together crash servers.
	PartVerdict = culprit.Verdict
)

// MaxPromptParts is how many parts of a prompt count.
const MaxPromptParts = culprit.MaxParts

// CombineEvidence returns the evidence of several instances as one, within the bounds of a report.
func CombineEvidence(e CrashEvidence) CrashEvidence { return culprit.Combine(e) }

// FirstEvent reports that the first event of an attempt's response has arrived.
type FirstEvent struct{ Request RequestID }

// PeerEvidence is what the other instances report of crashes. Instances is how many of them it covers.
type PeerEvidence struct {
	Evidence  CrashEvidence
	Instances int
}

// PeerVerdicts are verdicts that were read from the store.
type PeerVerdicts struct{ Verdicts []PartVerdict }

// PartsQuarantined reports a new verdict. Own is true if this instance has drawn it, false if a peer has.
type PartsQuarantined struct {
	Verdict PartVerdict
	Own     bool
}

// Withdraw ends a request's attempt: it is at a server that it may crash.
type Withdraw struct{ Request RequestID }

func (FirstEvent) event()         {}
func (PeerEvidence) event()       {}
func (PeerVerdicts) event()       {}
func (PartsQuarantined) command() {}
func (Withdraw) command()         {}

// OwnEvidence returns what this instance tells the others.
func (w *World) OwnEvidence(now time.Time) CrashEvidence { return w.culprits.Report(now) }

// applyPeerEvidence applies what the other instances report, and judges the evidence.
func (w *World) applyPeerEvidence(e PeerEvidence) {
	if e.Instances > 0 {
		for _, v := range w.culprits.Merge(w.now, e.Evidence) {
			w.quarantineParts(v, false)
		}
	}
	for _, v := range w.culprits.Convict(w.now) {
		w.quarantineParts(v, true)
	}
}

// applyPeerVerdicts applies verdicts that were read from the store.
func (w *World) applyPeerVerdicts(verdicts []PartVerdict) {
	for _, v := range verdicts {
		if w.culprits.AddVerdict(w.now, v) {
			w.quarantineParts(v, false)
		}
	}
}

// quarantineParts applies a verdict: requests with its parts that wait, or are at a server that they may still crash,
// end here; and what was concluded from the crashes is taken back.
//
// Load: requests with a part that crashes servers, at all instances. Harm prevented: further servers that crash, and
// sound requests that are refused although servers are up.
func (w *World) quarantineParts(v PartVerdict, own bool) {
	w.emit(PartsQuarantined{Verdict: v, Own: own})
	for _, r := range w.requestsInOrder() {
		switch {
		case !w.isQuarantined(r):
		case r.queued:
			r.service.queue.remove(r)
			r.queued = false
			w.finishOrRefuse(r, ReasonPartQuarantined)
		case r.server != nil && w.mayCrashServer(r):
			r.withdrawn = true
			w.emit(Withdraw{Request: r.ID})
		}
	}
	clear(w.lostServers)
	for _, s := range w.servers {
		s.slowStart.withdrawPresumed()
	}
	for _, s := range w.services {
		w.markFreed(s)
	}
}

// mayCrashServer reports whether the request, whose parts are quarantined, may still crash the server that it is at.
func (w *World) mayCrashServer(r *request) bool {
	return r.begunAt.IsZero() || !r.survived(w.now) && w.culprits.HoldsBegun(w.now, r.Parts)
}

// PartOf returns the part of prompts with a hash.
func PartOf(hash uint64) uint64 { return culprit.PartOf(hash) }

// isQuarantined reports whether the request contains parts that crash servers.
func (w *World) isQuarantined(r *request) bool { return w.culprits.Holds(w.now, r.Parts) }

// quarantineRetryAfter is the retry-after time of a request with a quarantined part: while such requests come, the
// quarantine stays.
const quarantineRetryAfter = time.Minute
