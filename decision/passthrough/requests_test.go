package passthrough

import (
	"testing"
	"time"
)

// TestAtMostOnceIsNotRetriedAfterItMayHaveRun guards against a second run of a request that
// may run at most once.
func TestAtMostOnceIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	for _, result := range []Result{Failed, Broken} {
		h := newHarness(t, Settings{})
		h.configure(onceRoute())
		h.tick(ServersListed{servers("shop", 3, 6)})
		id := h.arrive(onceRoute(), nil)
		h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: result})
		h.requireFinish(id)
	}
}

// TestAtMostOnceIsRetriedIfNotRun guards against giving up on a request that may run at most
// once though it has not run, and against retrying it at the same server.
func TestAtMostOnceIsRetriedIfNotRun(t *testing.T) {
	for _, result := range []Result{NotSent, Rejected} {
		h := newHarness(t, Settings{})
		h.configure(onceRoute())
		h.tick(ServersListed{servers("shop", 3, 6)})
		id := h.arrive(onceRoute(), nil)
		first := h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: result})
		second := h.requireDispatch(id)
		if second.Attempt != 2 || second.Server.ID == first.Server.ID {
			t.Errorf("%v: sent again as attempt %d to %s, want attempt 2 to another server", result, second.Attempt, second.Server.ID)
		}
	}
}

// TestAttemptsAreBounded guards against more attempts than the route allows, and against
// refusing a request as not run that has run.
func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 5, 6)})
	ran := h.arrive(plainRoute(), nil)
	h.tick(AttemptEnded{Request: ran, Result: Failed})
	h.tick(AttemptEnded{Request: ran, Result: Rejected})
	h.requireFinish(ran)
	never := h.arrive(plainRoute(), nil)
	h.tick(AttemptEnded{Request: never, Result: Rejected})
	h.tick(AttemptEnded{Request: never, Result: Rejected})
	h.requireRefusal(never, ReasonAttempts)
}

// TestUnreachableServersDoNotUseUpAttempts guards against counting dispatches that reach no
// server as attempts.
func TestUnreachableServersDoNotUseUpAttempts(t *testing.T) {
	h := newHarness(t, Settings{})
	route := onceRoute()
	route.MaxAttempts = 1
	h.configure(route)
	h.tick(ServersListed{servers("shop", 3, 6)})
	id := h.arrive(route, nil)
	h.tick(AttemptEnded{Request: id, Result: NotSent})
	if d := h.requireDispatch(id); d.Attempt != 2 {
		t.Errorf("attempt %d, want 2", d.Attempt)
	}
}

// TestNoServerIsRefusedWithRetryAfter guards against requests that wait, or are refused
// without a useful retry-after time, if the service has no server.
func TestNoServerIsRefusedWithRetryAfter(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	id := h.arrive(plainRoute(), nil)
	r := h.requireRefusal(id, ReasonNoServer)
	if r.RetryAfter <= 0 || r.RetryAfter > 500*time.Millisecond {
		t.Errorf("retry after %v, want within half of the remaining time", r.RetryAfter)
	}
}

// TestCrashingRequestIsRefusedAfterThreeCrashes guards against a request that crashes one
// server after the other, at several instances.
func TestCrashingRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 5, 6)})
	const fingerprint = 77
	crashing := func(r *Request) { r.Fingerprint = fingerprint }
	id := h.arrive(plainRoute(), crashing)
	h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
	h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
	h.requireFinish(id)
	h.tick(PeerCrashes{Fingerprint: fingerprint, Count: 1})
	repeated := h.arrive(plainRoute(), crashing)
	h.requireRefusal(repeated, ReasonQuarantined)
	h.advance(crashMemory + time.Second)
	h.tick(ServersListed{servers("shop", 5, 6)})
	h.requireDispatch(h.arrive(plainRoute(), crashing))
}

// TestResponseClearsCrashCount guards against quarantining a request for lost connections that
// a response has followed.
func TestResponseClearsCrashCount(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 5, 6)})
	same := func(r *Request) { r.Fingerprint = 5 }
	for range 4 {
		id := h.arrive(plainRoute(), same)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
	h.requireDispatch(h.arrive(plainRoute(), same))
}

// TestRetryBudgetHoldsInEveryWindow guards against more retries in any window than the budget
// allows.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	cfg := Settings{Seed: 1, RetryRatio: 0.3, RetrySlack: 2, RetryWindow: 10 * time.Second}
	h := newHarness(t, cfg)
	route := plainRoute()
	route.TargetLatency, route.Timeout = 10*time.Second, 20*time.Second
	h.configure(route)
	h.tick(ServersListed{servers("shop", 40, 50)})
	type arrival struct {
		at      time.Time
		isRetry bool
	}
	var arrivals []arrival
	for range 600 {
		h.advance(50 * time.Millisecond)
		id := h.arrive(route, nil)
		arrivals = append(arrivals, arrival{h.now, false})
		h.tick(AttemptEnded{Request: id, Result: Failed})
		if d, ok := h.last(id).(Dispatch); ok && d.Attempt == 2 {
			arrivals = append(arrivals, arrival{h.now, true})
			h.tick(AttemptEnded{Request: id, Result: Failed})
		}
	}
	for i := range arrivals {
		if h.now.Sub(arrivals[i].at) < cfg.RetryWindow {
			break // the window is not complete
		}
		requests, retries := 0, 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(arrivals[i].at) > cfg.RetryWindow {
				break
			}
			if a.isRetry {
				retries++
			} else {
				requests++
			}
		}
		// Buckets leave the window as a whole, so the limit is wider by two of them and by the
		// slack.
		if limit := 0.3*float64(requests)*(1+2.0/budgetBuckets) + 2*cfg.RetrySlack + 1; float64(retries) > limit {
			t.Fatalf("%d retries for %d requests in the window from arrival %d, want at most %.1f", retries, requests, i, limit)
		}
	}
}

// TestExpiredRequestIsRefused guards against dispatching a request whose deadline has passed
// on arrival.
func TestExpiredRequestIsRefused(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 1, 1)})
	id := h.arrive(plainRoute(), func(r *Request) { r.Deadline = h.now })
	h.requireRefusal(id, ReasonDeadline)
}

// TestSlackIsSharedByTheFleet guards against an instance that uses more than its part of the
// retry budget's slack.
func TestSlackIsSharedByTheFleet(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0, RetrySlack: 23, RetryWindow: 10 * time.Second})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 40, 50)}, FleetSize{Instances: 10})
	retries := 0
	for range 30 {
		id := h.arrive(plainRoute(), nil)
		h.tick(AttemptEnded{Request: id, Result: Failed})
		if d, ok := h.last(id).(Dispatch); ok && d.Attempt == 2 {
			retries++
		}
	}
	if retries != 2 { // 23 for ten instances, less a margin for those not counted yet
		t.Errorf("%d retries, want this instance's part of the slack, 2", retries)
	}
}

// TestResultMayHaveRun guards against refusing a request as not run that may have run:
// router/internal/passthrough.Handler and World share this definition, and a request whose
// response was dropped for its low confidence has run.
func TestResultMayHaveRun(t *testing.T) {
	for result, want := range map[Result]bool{
		Completed: true, Failed: true, Broken: true, Dropped: true, NotSent: false, Rejected: false,
	} {
		if result.MayHaveRun() != want {
			t.Errorf("%v: may have run: %v, want the opposite", result, !want)
		}
	}
}
