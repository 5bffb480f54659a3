// Package wire defines the HTTP headers and JSON bodies that masticplank
// exchanges with its callers, its backend servers and the platform.
package wire

import "time"

// Headers that masticplank reads or writes.
const (
	// HeaderAttempt carries an attempt's nonce to the backend server, which
	// echoes it in its response. A response with another nonce is dropped.
	HeaderAttempt = "Masticplank-Attempt"
	// HeaderOutcome states the outcome to the caller: completed, refused,
	// failed, unknown, already_run, conflict.
	HeaderOutcome = "Masticplank-Outcome"
	// HeaderVersion states to the caller the version that answered.
	HeaderVersion = "Masticplank-Version"
	// HeaderSession carries a session: a name, or a signed token.
	HeaderSession = "Masticplank-Session"
	// HeaderTask is the caller's task class.
	HeaderTask = "Masticplank-Task"
	// HeaderPriority is the priority within the team, an integer.
	HeaderPriority = "Masticplank-Priority"
	// HeaderDeadline is how long the caller waits, as a Go duration.
	HeaderDeadline = "Masticplank-Deadline"
	// HeaderIdempotencyKey identifies the caller's request, as a UUIDv7.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetry counts how often the caller has sent this request before;
	// HeaderClientRetry is the header that common OpenAI clients send for the
	// same purpose.
	HeaderRetry       = "Masticplank-Retry"
	HeaderClientRetry = "X-Stainless-Retry-Count"
	// HeaderLeaving marks a 503 of a backend server that is leaving.
	HeaderLeaving = "Masticplank-Leaving"
	// HeaderNotRun ("true") marks a response of a backend server that refused
	// the request before running it.
	HeaderNotRun = "Masticplank-Not-Run"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "Masticplank-Fencing"
)

// StreamEnd is the data of the last server-sent event of a stream.
const StreamEnd = "[DONE]"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions. In a request to an
// engine, Model is a version ("model@version").
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	// StreamOptions are sent to engines only: many report a stream's usage only
	// if asked to.
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
}

// StreamOptions select what a stream contains.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// ChatChoice is one choice of a non-streamed answer (Message) or of a chunk
// (Delta).
type ChatChoice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ChatResponse is a non-streamed answer, or one chunk of a stream. The last
// chunk before StreamEnd carries Usage.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// LoadReport is the response to GET /load?since= at an engine or plain service.
// Running and Queued count requests; Slots is how many requests the server can run
// at once. At is the server's time of the report.
type LoadReport struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Slots    int       `json:"slots"`
	Versions []string  `json:"versions,omitempty"`
	Leaving  bool      `json:"leaving"`
	At       time.Time `json:"at"`
	// CacheSeq is the sequence number of the last cache event; Cache holds the
	// events after since.
	CacheSeq uint64       `json:"cache_seq"`
	Cache    []CacheEvent `json:"cache,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache. Blocks are named by the
// hashes of PromptBlocks.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// Order is the body of PUT /orders at an engine: the whole desired state. The router
// does not set Role.
type Order struct {
	Versions []string `json:"versions"`
	Role     string   `json:"role,omitempty"`
}

// ListedServer is one backend server in the platform's list. It is an engine if
// Service is empty.
type ListedServer struct {
	ID       string   `json:"id"`
	Addr     string   `json:"addr"`
	Domain   string   `json:"domain"`
	Service  string   `json:"service,omitempty"`
	Versions []string `json:"versions,omitempty"`
	Slots    int      `json:"slots"`
	Leaving  bool     `json:"leaving"`
}

// ListedInstance is one router instance in the platform's list. Peer and Admin are
// the addresses of its peer and admin listeners.
type ListedInstance struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
	Domain string `json:"domain"`
}

// InstanceList is the response to GET /instances at the platform's list
// service.
type InstanceList struct {
	Servers   []ListedServer   `json:"servers"`
	Instances []ListedInstance `json:"instances"`
}

// RateRequest is the body of POST /rate at the rating service; the response
// is a RatingResponse. Keep the name RateRequest: the rating stand-in answers a
// malformed body with encoding/json's error text, which names this type.
type RateRequest struct {
	Team    string `json:"team"`
	Task    string `json:"task"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// RatingResponse holds the score, from 0 to 1.
type RatingResponse struct {
	Score float64 `json:"score"`
}

// Error is the body of the error responses of masticplank and of the platform's
// services. There are two exceptions: errors of pass-through routes are plain text,
// and a backend server's response to a request that it rejected is passed on as it is.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody has a stable code for programs and a message for people.
type ErrorBody struct {
	Code       string `json:"code"`
	Message    string `json:"message"`
	RetryAfter int    `json:"retry_after_seconds,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
}
