package passthrough

import (
	"testing"
	"time"
)

// testUnreadPause is longer than a report to other instances is held back.
const testUnreadPause = time.Second

// conclusions are the commands by which others learn what was concluded about a server or a request.
type conclusions struct{ observations, crashes, slowStarts int }

func (h *harness) conclusions() conclusions {
	var out conclusions
	for _, c := range h.allCommands {
		switch c.(type) {
		case Observation:
			out.observations++
		case CrashSuspected:
			out.crashes++
		case SlowStartBegun:
			out.slowStarts++
		}
	}
	return out
}

// TestUnreadResponsesSayNothingAboutServersAndRequests guards against servers that are ejected or in slow start, versions
// that are judged bad and requests that are refused, because callers did not read responses and the server cut them off
// or crashed by them.
func TestUnreadResponsesSayNothingAboutServersAndRequests(t *testing.T) {
	const lost = crashThreshold
	for name, tt := range map[string]struct {
		end     AttemptEnded
		want    conclusions
		refused bool
	}{
		"the caller does not read":            {AttemptEnded{Result: Broken, Begun: true, CallerStalled: true}, conclusions{}, false},
		"the server holds unread responses":   {AttemptEnded{Result: Broken, ConnectionLost: true, HeldUnread: true}, conclusions{lost, 0, lost}, false},
		"the server crashes for other causes": {AttemptEnded{Result: Broken, ConnectionLost: true}, conclusions{lost, lost, lost}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Settings{})
			route := *streamRoute()
			route.MaxAttempts = 1
			h.configure(&route)
			h.world.services["llm"].slowStart.span = 1
			for n := range lost {
				h.tick(ServersListed{servers("llm", lost+1, 8)[n : n+1]}, RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2"}, Phase: PhaseCanary, Share: 0.1}})
				id := h.arrive(&route, func(r *Request) { r.Fingerprint = 7 })
				h.requireDispatch(id)
				end := tt.end
				end.Request = id
				h.tick(end)
				h.advance(testUnreadPause)
			}
			if got := h.conclusions(); got.observations != tt.want.observations || got.crashes != tt.want.crashes || (got.slowStarts > 0) != (tt.want.slowStarts > 0) {
				t.Errorf("concluded %+v, want %+v", got, tt.want)
			}
			h.tick(ServersListed{servers("llm", lost+1, 8)[lost:]})
			id := h.arrive(&route, func(r *Request) { r.Fingerprint = 7 })
			if refuse, ok := h.last(id).(Refuse); (ok && refuse.Reason == ReasonQuarantined) != tt.refused {
				t.Errorf("got %#v, want a refusal of the request: %v", h.last(id), tt.refused)
			}
		})
	}
}
