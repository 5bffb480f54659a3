package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// reasonMessages holds the messages, meant for people, of package decision's
// refusals.
var reasonMessages = map[decision.RefusalReason]string{
	decision.ReasonQueueFull:        "the team's queue is full",
	decision.ReasonWaitTooLong:      "the wait would pass the request's deadline",
	decision.ReasonDeadline:         "the deadline passed before a backend server was free",
	decision.ReasonRetryBudget:      "the team's budget for retries is spent",
	decision.ReasonNotAllowed:       "the team may not use this model",
	decision.ReasonUnknownModel:     "no such model",
	decision.ReasonVersionWithdrawn: "the session's version was withdrawn; open a new session",
	decision.ReasonNoServer:         "no backend server can run this now",
	decision.ReasonQuarantined:      "this request made backend servers crash and is not run for now",
	decision.ReasonNotFresh:         "this instance cannot confirm its manifest; ask another",
	decision.ReasonOutage:           "the platform's log is down; only idempotent work is done",
}

// decisionRefusal returns the outcome of a request that package decision refused.
func decisionRefusal(reason decision.RefusalReason, retryAfter time.Duration) outcome.Outcome {
	return outcome.Outcome{
		Kind:       outcome.Refused,
		Code:       string(reason),
		Message:    reasonMessages[reason],
		RetryAfter: retryAfter,
	}
}

// routerRefusal returns the outcome of a request that this package refused.
func routerRefusal(code, message string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Refused, Code: code, Message: message}
}

// writeOutcome writes a final answer that is not a backend server's answer.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	seconds := int(math.Ceil(o.RetryAfter.Seconds()))
	body := wire.Error{Error: wire.ErrorBody{
		Code:       o.Code,
		Message:    o.Message,
		RetryAfter: seconds,
	}}
	w.Header().Set(wire.HeaderOutcome, string(o.Kind))
	if seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, o.Status(), body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
