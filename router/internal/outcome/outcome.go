// Package outcome defines the outcome of a request and its mapping to HTTP.
package outcome

import (
	"net/http"
	"time"
)

// Kind is how a request ended.
type Kind string

// The kinds of outcome, as sent in the Masticplank-Outcome header.
const (
	Completed  Kind = "completed"
	Refused    Kind = "refused"
	Failed     Kind = "failed"
	Unknown    Kind = "unknown"
	AlreadyRun Kind = "already_run"
	Conflict   Kind = "conflict"
)

// Outcome is how a request ended and, unless a backend server answered it, what
// the caller is told.
type Outcome struct {
	Kind Kind
	// Code is stable and meant for programs, Message for people.
	Code    string
	Message string
	// RetryAfter is how long the caller is asked to wait before a retry; zero
	// if it is not asked to retry.
	RetryAfter time.Duration
}

// statusByCode maps the codes whose status differs from that of their kind.
var statusByCode = map[string]int{
	"invalid_api_key":            http.StatusUnauthorized,
	"model_not_allowed":          http.StatusForbidden,
	"service_not_allowed":        http.StatusForbidden,
	"unknown_model":              http.StatusNotFound,
	"unknown_service":            http.StatusNotFound,
	"not_found":                  http.StatusNotFound,
	"body_too_large":             http.StatusRequestEntityTooLarge,
	"malformed_request":          http.StatusBadRequest,
	"key_required":               http.StatusBadRequest,
	"key_expired":                http.StatusUnprocessableEntity,
	"key_malformed":              http.StatusBadRequest,
	"request_quarantined":        http.StatusUnprocessableEntity,
	"rejected_by_backend_server": http.StatusBadRequest,
	"session_version_withdrawn":  http.StatusGone,
	"session_invalid":            http.StatusBadRequest,
	"queue_full":                 http.StatusTooManyRequests,
	"wait_exceeds_deadline":      http.StatusTooManyRequests,
	"retry_budget_spent":         http.StatusTooManyRequests,
}

// Status returns the HTTP status of o.
func (o Outcome) Status() int {
	if s, ok := statusByCode[o.Code]; ok {
		return s
	}
	switch o.Kind {
	case Completed:
		return http.StatusOK
	case Refused:
		return http.StatusServiceUnavailable
	case AlreadyRun, Conflict:
		return http.StatusConflict
	case Failed:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}
