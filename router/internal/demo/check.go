package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	bills "masticplank.example/coordination/ledger"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/service"
)

// maxExamples bounds the reported examples of one broken promise.
const maxExamples = 5

// The promises that the demo checks.
const (
	promiseAnswered       = "every request has an answer that fits it"
	promiseWhole          = "a completed answer is whole and the caller's own"
	promiseAllowed        = "a request runs only on a version that its team may use"
	promiseWithdrawn      = "a withdrawn version gets no new work"
	promiseSession        = "a session keeps its version"
	promiseBilled         = "a completed request is billed exactly once"
	promiseNotRun         = "a refused request was not run and is not billed"
	promiseAtMostOnce     = "a reservation runs at most once"
	promiseNoFalseFailure = "a caller is not told that a reservation failed which took effect"
	promiseManifest       = "an accepted manifest is in force everywhere in seconds"
)

// promises in the order of the report.
var promises = []string{
	promiseAnswered, promiseWhole, promiseAllowed, promiseWithdrawn, promiseSession,
	promiseBilled, promiseNotRun, promiseAtMostOnce, promiseNoFalseFailure, promiseManifest,
}

// checker checks the results against the promises.
type checker struct {
	// faults is true if faults were injected: then a request may fail without
	// breaking promiseAnswered. The other promises must hold as without faults.
	faults bool
	// withdrawnAt is the time at which the withdrawal was in force everywhere.
	withdrawnAt time.Time
	caller      *caller
	bills       billExport
	// runs holds the shop's counts by Idempotency-Key.
	runs       map[string]int
	violations map[string][]string
}

func (c *checker) addViolation(promise, format string, args ...any) {
	c.violations[promise] = append(c.violations[promise], fmt.Sprintf(format, args...))
}

// check checks every result against every promise but promiseManifest, which
// publishRollout checks.
func (c *checker) check(results []result) {
	byKey := map[string][]result{}
	for _, r := range results {
		byKey[r.request.key] = append(byKey[r.request.key], r)
		c.checkAnswered(r)
		if r.completed() {
			c.checkCompleted(r)
		}
	}
	for key, sameKey := range byKey {
		c.checkKey(key, sameKey)
	}
	for id := range c.bills.byRequest {
		if _, known := byKey[id]; !known {
			c.addViolation(promiseBilled, "a bill for request %s, which nobody sent", id)
		}
	}
}

// checkAnswered checks that the outcome is one that the request's kind, and the
// injected faults, allow.
func (c *checker) checkAnswered(r result) {
	switch {
	case r.request.kind == kindForbidden:
		if r.outcome != string(outcome.Refused) || r.code != "model_not_allowed" {
			c.addViolation(promiseAnswered, "%s: asked for a model that is not allowed, got %s", r, r.code)
		}
	case r.completed(), r.outcome == string(outcome.Refused):
	case r.outcome == string(outcome.AlreadyRun) && r.request.kind == kindDuplicate:
	case c.faults:
	default:
		c.addViolation(promiseAnswered, "%s: %s %s: %v", r, r.outcome, r.code, r.err)
	}
}

func (c *checker) checkCompleted(r result) {
	if r.request.chat.Messages == nil {
		c.checkService(r)
		return
	}
	chat := r.request.chat
	if r.status != http.StatusOK || !engine.IsExpectedAnswer(r.text, r.version, chat.Messages, chat.MaxTokens) {
		c.addViolation(promiseWhole, "%s: status %d, text %.60q", r, r.status, r.text)
	}
	if model, _ := splitVersion(r.version); !r.request.team.allows(model) || chat.Model != "" && chat.Model != model {
		c.addViolation(promiseAllowed, "%s: asked for %q, ran on %s", r, chat.Model, r.version)
	}
	if r.version == versionOld && !c.withdrawnAt.IsZero() && r.start.After(c.withdrawnAt) {
		c.addViolation(promiseWithdrawn, "%s: began %s after the withdrawal was in force", r, r.start.Sub(c.withdrawnAt))
	}
	if r.request.kind == kindSession {
		model, _ := splitVersion(r.version)
		pinned := c.caller.pins[r.request.team.id][r.request.session][model]
		if pinned != r.version {
			c.addViolation(promiseSession, "%s: pinned to %q, ran on %s", r, pinned, r.version)
		}
	}
}

func (c *checker) checkService(r result) {
	var answer service.Response
	if err := json.Unmarshal(r.body, &answer); err != nil {
		c.addViolation(promiseWhole, "%s: %v", r, err)
		return
	}
	own := answer.Path == r.request.path && answer.Key == r.request.key && answer.Body == r.request.body
	if !own {
		c.addViolation(promiseWhole, "%s: got the answer to %s %s %s", r, answer.Method, answer.Path, answer.Key)
	}
}

// checkKey checks all results with the same Idempotency-Key together.
func (c *checker) checkKey(key string, sameKey []result) {
	completed, refused := 0, 0
	for _, r := range sameKey {
		switch r.outcome {
		case string(outcome.Completed):
			completed++
		case string(outcome.Refused):
			refused++
		}
	}
	billed := c.bills.byRequest[key]
	first := sameKey[0]
	if len(billed) > 1 || completed > 0 && len(billed) == 0 {
		c.addViolation(promiseBilled, "%s: %d bills", first, len(billed))
	}
	if refused == len(sameKey) && (len(billed) > 0 || c.runs[key] > 0) {
		c.addViolation(promiseNotRun, "%s: refused, but %d runs and %d bills", first, c.runs[key], len(billed))
	}
	if c.runs[key] > 1 || completed > 1 {
		c.addViolation(promiseAtMostOnce, "%s: %d runs, completed %d times", first, c.runs[key], completed)
	}
	c.checkFalseFailure(key, sameKey)
	if completed > 0 && len(billed) == 1 {
		c.checkBill(sameKey, billed[0])
	}
}

// checkFalseFailure checks that a call reported as failed did not take effect.
// Only the service's own 500 (backend_server_failed) means that the call ran and
// failed. After a lost connection it is unknown whether the call ran. A caller that
// is told of a failure reserves again under another key; if the first call ran after
// all, it has reserved twice.
func (c *checker) checkFalseFailure(key string, sameKey []result) {
	for _, r := range sameKey {
		if r.outcome == string(outcome.Failed) && r.code != "backend_server_failed" && c.runs[key] > 0 {
			c.addViolation(promiseNoFalseFailure, "%s: %s, but it took effect", r, r.code)
		}
	}
}

// checkBill compares a bill with the answer that it is for.
func (c *checker) checkBill(sameKey []result, b bills.Bill) {
	for _, r := range sameKey {
		if !r.completed() {
			continue
		}
		if b.Team != r.request.team.id || b.Version != r.version || b.Canceled {
			c.addViolation(promiseBilled, "%s: ran on %q, billed %+v", r, r.version, b)
		}
		if r.request.chat.Messages != nil && int(b.OutputTokens) < r.request.chat.MaxTokens {
			c.addViolation(promiseBilled, "%s: a complete answer has %d tokens, billed %d", r, r.request.chat.MaxTokens, b.OutputTokens)
		}
	}
}

// String identifies the request of a result in an example.
func (r result) String() string {
	return fmt.Sprintf("request %d (%s, %s, %s)", r.request.index, r.request.kind, r.request.team.id, r.request.key)
}
