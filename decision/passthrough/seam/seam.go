// Package seam holds the types that a platform adapter and router/internal/passthrough
// exchange. They are independent of the platform: an adapter converts between them and the
// platform's messages, and makes no decisions.
package seam

import (
	"time"

	"masticplank.example/decision/passthrough"
)

// Caller is what a caller's request headers state.
type Caller struct {
	// RequestID is the caller's id of this request.
	RequestID string
	// Key is the caller's API key; empty for none.
	Key string
	// Timeout is how long the caller waits; 0 if not stated.
	Timeout time.Duration
	// Session is empty for none.
	Session string
	// Prefix identifies the last part of the prompt that other requests share; empty for
	// none.
	Prefix string
	// PrefixTokens is the length of that part.
	PrefixTokens int
	// SharedParts are the ids of all parts of the prompt that other requests may share, in order.
	SharedParts []string
	// PromptTokens and MaxTokens are the size of the request; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the number of generated tokens, right in the median but often far
	// off; 0 if not stated.
	ExpectedTokens int
	// ChooseModel is true if the router chooses the model.
	ChooseModel bool
	// LastEventID is the id of the last event that the caller has, -1 for none.
	LastEventID int64
}

// Attempt is what the router states to a backend server about a request.
type Attempt struct {
	Server string
	Team   string
	// Remaining is the time left to the deadline.
	Remaining time.Duration
	Model     string
	Priority  int
	// LastEventID is the id of the event after which a stream continues; -1 to keep the
	// caller's own header.
	LastEventID int64
}

// Response is what a backend server's response headers state.
type Response struct {
	// RequestID is the echoed id of the request.
	RequestID string
	// Signed is true if the server signed the response.
	Signed bool
	// NotRun is true if the server states that it has not run the request.
	NotRun bool
	// Misdirected is true if another server now has the address.
	Misdirected bool
	// ClosesConnection is true if the server closes the connection after the response.
	ClosesConnection bool
	// Leaving is true if the server states that it is leaving.
	Leaving bool
	// RetryAfter is the time for which a server that refused the request wants no other from
	// this instance; 0 if not stated.
	RetryAfter time.Duration
	// Encoded is true if the body is not the server's own bytes.
	Encoded bool
	// Load is the server's load if HasLoad.
	Load    passthrough.Load
	HasLoad bool
	// LoadUnreadable is true if the server states a load that cannot be read.
	LoadUnreadable bool
	// Limit is the server's rate limit; the zero value if it stated none.
	Limit passthrough.RateLimit
	// Brittle is true if the server states that it fails if it has to reject more than BrittlePerSecond
	// requests in a second.
	Brittle          bool
	BrittlePerSecond float64
	// Confidence in the response, from 0 to 1; -1 if not stated.
	Confidence float64
}
