// Package seam defines what a platform adapter and the router's edge exchange: plain
// types that are independent of the platform. An adapter converts between them and the
// platform's messages, and makes no decisions.
package seam

import (
	"time"

	"masticplank.example/decision/passthrough"
)

// Caller is what a caller's request headers say.
type Caller struct {
	// RequestID is the caller's id of this request.
	RequestID string
	// Key is the caller's API key; empty for none.
	Key string
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// Session is empty for none.
	Session string
	// Prefix identifies the last part of the prompt that other requests share; empty for
	// none.
	Prefix string
	// PrefixTokens is the length of that part.
	PrefixTokens int
	// PromptTokens and MaxTokens are the size of the request; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	// ChooseModel says that the router chooses the model.
	ChooseModel bool
	// LastEventID is the id of the last event that the caller has, -1 for none.
	LastEventID int64
}

// Attempt is what the router tells a backend server about a request.
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

// Response is what a backend server's response headers say.
type Response struct {
	// RequestID is the echoed id of the request.
	RequestID string
	// Signed says that the server signed the response.
	Signed bool
	// NotRun says that the server has not run the request.
	NotRun bool
	// Misdirected says that another server now has the address.
	Misdirected bool
	// Leaving says that the server closes the connection.
	Leaving bool
	// Encoded says that the body is not the server's own bytes.
	Encoded bool
	// Load is the server's load if HasLoad.
	Load    passthrough.Load
	HasLoad bool
	// Limit is the server's rate limit; the zero value if it stated none.
	Limit passthrough.RateLimit
	// Confidence in the response, from 0 to 1; -1 if not stated.
	Confidence float64
}
