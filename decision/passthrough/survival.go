package passthrough

import (
	"time"

	"masticplank.example/decision/internal/culprit"
)

// A server may write events of a response and then crash by its prompt. So for culprit.SurvivalTime from the first event
// a request stays a suspect of its server's crash, also if its response is complete by then.

// begunResponse is a response whose first event has arrived, and that its server has not survived yet.
type begunResponse struct {
	id RequestID
	// process is the hash of the server's process, begun when the first event arrived.
	process uint64
	parts   []uint64
	begun   time.Time
	// complete is true once the response has ended; a later crash is then observed by other requests.
	complete bool
}

// survived reports whether the server has survived the current response to the request.
func (r *request) survived(now time.Time) bool {
	return !r.begunAt.IsZero() && now.Sub(r.begunAt) >= culprit.SurvivalTime
}

// observeFirstEvent records that the response to the request has begun.
func (w *World) observeFirstEvent(e FirstEvent) {
	if r := w.requests[e.Request]; r != nil && r.server != nil {
		w.beginResponse(r, r.server)
	}
}

// beginResponse records that the response to the request has begun now.
func (w *World) beginResponse(r *request, s *server) {
	if len(r.Parts) == 0 || !r.begunAt.IsZero() {
		return
	}
	r.begunAt = w.now
	w.culprits.AddAnswer(w.now, r.Parts, r.sent)
	w.begun = append(w.begun, begunResponse{id: r.ID, process: s.processHash, parts: r.Parts, begun: w.now})
}

// observeSurvivals records that servers have survived the responses that began SurvivalTime ago.
func (w *World) observeSurvivals() {
	for len(w.begun) > 0 && w.now.Sub(w.begun[0].begun) >= culprit.SurvivalTime {
		b := w.begun[0]
		w.culprits.AddAnswer(w.now, culprit.Begun(b.parts), b.begun)
		w.begun = w.begun[1:]
	}
}

// endResponse records that the current response to the request is complete, or else that nothing more is known of it.
func (w *World) endResponse(r *request, complete bool) {
	for i := range w.begun {
		b := &w.begun[i]
		if b.id != r.ID || b.complete {
			continue
		}
		if complete {
			b.complete = true
		} else {
			w.begun = append(w.begun[:i:i], w.begun[i+1:]...)
		}
		return
	}
}

// observeCrash records that a server was lost while the request waited for its response, or soon after that had begun.
// A version that is being rolled out may crash by itself.
func (w *World) observeCrash(r *request, s *server) {
	mayCrashByItself := w.runsTarget(s) && w.rollouts[s.Service].Share < 1
	if len(r.Parts) == 0 || mayCrashByItself {
		return
	}
	switch {
	case r.begunAt.IsZero():
		w.addSuspect(s.processHash, r.ID, r.Parts, r.sent)
	case !r.survived(w.now):
		w.addSuspect(s.processHash, r.ID, culprit.Begun(r.Parts), r.begunAt)
	}
	w.suspectComplete(s.processHash)
}

// suspectComplete makes the requests suspects whose responses the process completed before it crashed.
func (w *World) suspectComplete(process uint64) {
	kept := w.begun[:0:0]
	for _, b := range w.begun {
		if b.process == process && b.complete {
			w.addSuspect(process, b.id, culprit.Begun(b.parts), b.begun)
		} else {
			kept = append(kept, b)
		}
	}
	w.begun = kept
}

func (w *World) addSuspect(process uint64, id RequestID, parts []uint64, since time.Time) {
	w.culprits.AddCrash(process, w.now, culprit.Suspect{Request: mix(w.cfg.Seed ^ uint64(id)), Parts: parts, Sent: since})
}
