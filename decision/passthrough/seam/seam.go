// Package seam holds what an adapter of a platform and the router's edge tell each other:
// plain types in the project's words. An adapter fills them in from the platform's
// messages and makes messages out of them; it decides nothing.
package seam

import (
	"time"

	"masticplank.example/decision/passthrough"
)

// Caller is what a caller's headers say.
type Caller struct {
	// Attempt is the caller's id of this request.
	RequestID string
	// Key is the caller's key, empty for none.
	Key string
	// Wait is how long the caller waits; 0 where it did not say.
	Timeout time.Duration
	// Session is empty for none.
	Session string
	// Subject is the last part of the prompt that other requests share; empty for none.
	Prefix string
	// SubjectTokens is its length.
	PrefixTokens int
	// PromptTokens and MaxTokens are the work; 0 where unknown.
	PromptTokens int
	MaxTokens    int
	// ModelOpen says that the router chooses the model.
	ChooseModel bool
	// LastEvent is the id of the last event that the caller has, -1 for none.
	LastEventID int64
}

// Attempt is what the router tells a backend server.
type Attempt struct {
	Server    string
	Team      string
	Remaining time.Duration
	Model     string
	Priority  int
	// LastEvent is the id after which a stream goes on, -1 for the caller's own.
	LastEventID int64
}

// Answer is what a backend server's answer says of itself.
type Response struct {
	// Attempt is the echoed id.
	RequestID string
	// Signed says that the server signed the answer.
	Signed bool
	// NotRun says that it has not run the request.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	// Leaving says that the server closes the connection.
	Leaving bool
	// Encoded says that the body is not the server's own bytes.
	Encoded bool
	// Load is its load, where told.
	Load    passthrough.Load
	HasLoad bool
	// Limit is its rate limit; none where not told.
	Limit passthrough.RateLimit
	// Confidence in the answer, 0 to 1; -1 where not told.
	Confidence float64
}
