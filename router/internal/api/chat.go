package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticplank.example/decision"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

const (
	// defaultMaxTokens is the number of output tokens that package decision assumes
	// for a request that states no max_tokens. Engines are not sent this number.
	defaultMaxTokens = 256
	// retryDelay is the Retry-After of refusals whose cause passes within
	// seconds, such as an instance that is catching up with the log.
	retryDelay = time.Second
	// firstBodyBytes is the first buffer for a body, in bytes.
	firstBodyBytes = 4 << 10
	// bytesPerToken is the mean length of a token, to estimate a prompt's tokens
	// from the length of the body before an engine counts them.
	bytesPerToken = 4
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, c caller) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	var chat wire.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		writeOutcome(w, routerRefusal("malformed_request", "the body is not a chat request: "+err.Error()))
		return
	}
	if refusal := s.validateChat(chat, c); refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	key, refusal := readIdempotencyKey(r, false)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	req, refusal := s.chatRequest(r, c, key, chat, body)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	x := s.newExchange(w, r, c, req, key)
	x.chat = &chat
	x.run()
}

// readBody reads the body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Outcome) {
	// The read deadline is cleared after the body: if it passed during a long
	// answer, net/http would take it for a disconnect of the caller.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.Limits.ReadTimeout))
	body, err := connlimit.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes), firstBodyBytes, reserveFor(r.Context()))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		o := routerRefusal("body_too_large", "the body is larger than "+strconv.FormatInt(s.Limits.MaxBodyBytes, 10)+" bytes")
		return nil, &o
	}
	if errors.Is(err, connlimit.ErrNoRoom) {
		o := outcome.Outcome{Kind: outcome.Refused, Code: "no_room", Message: "as many bytes of requests are held as may be", RetryAfter: time.Second}
		return nil, &o
	}
	if err != nil {
		o := routerRefusal("malformed_request", "the body could not be read")
		return nil, &o
	}
	return body, nil
}

// reserveFor returns where the memory of a request's body is reserved until the request has ended: at its connection, if that
// has a bound.
func reserveFor(ctx context.Context) func(int64) bool {
	if c := connlimit.FromContext(ctx); c != nil {
		return c.Charge
	}
	return func(int64) bool { return true }
}

func (s *Server) validateChat(chat wire.ChatRequest, c caller) *outcome.Outcome {
	var o outcome.Outcome
	switch {
	case len(chat.Messages) == 0:
		o = routerRefusal("malformed_request", "messages is empty")
	case chat.MaxTokens < 0:
		o = routerRefusal("malformed_request", "max_tokens is negative")
	case chat.Model != "" && !c.index.HasModel(chat.Model):
		o = routerRefusal("unknown_model", "no model "+strconv.Quote(chat.Model))
	case chat.Model != "" && !c.index.MayUse(c.team.ID, chat.Model):
		o = routerRefusal("model_not_allowed", "the team may not use "+strconv.Quote(chat.Model))
	default:
		return nil
	}
	return &o
}

// chatRequest builds the decision.Request of a chat.
func (s *Server) chatRequest(r *http.Request, c caller, key idempotencyKey, chat wire.ChatRequest, body []byte) (decision.Request, *outcome.Outcome) {
	req, refusal := s.newRequest(r, c, key, body)
	if refusal != nil {
		return req, refusal
	}
	req.Model = decision.ModelID(chat.Model)
	req.Priority += chat.Priority
	req.MaxTokens = chat.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.PromptTokens = len(body) / bytesPerToken
	req.Streamed = chat.Stream
	req.Idempotent = true
	for _, h := range wire.PromptBlocks(chat.Messages) {
		req.Blocks = append(req.Blocks, decision.BlockHash(h))
	}
	return req, s.pinSession(r, c, &req)
}

// newRequest reads what all requests have in common: task, priority, deadline and
// whether the request is a retry. It also computes the fingerprint.
func (s *Server) newRequest(r *http.Request, c caller, key idempotencyKey, body []byte) (decision.Request, *outcome.Outcome) {
	fingerprint := xxhash.New()
	_, _ = fingerprint.WriteString(c.team.ID + "\x00" + r.Method + "\x00" + r.URL.Path + "\x00")
	_, _ = fingerprint.Write(body)
	req := decision.Request{
		Team:        decision.TeamID(c.team.ID),
		Class:       decision.TaskClass(r.Header.Get(wire.HeaderTask)),
		Fingerprint: decision.Fingerprint(fingerprint.Sum64()),
		// Derived from the Idempotency-Key, so that a resend gets the same version.
		RolloutPosition: session.RolloutPosition(c.team.ID, key.id),
		Resend:          isResend(r),
	}
	if text := r.Header.Get(wire.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			o := routerRefusal("malformed_request", wire.HeaderPriority+" is not an integer")
			return req, &o
		}
		req.Priority = priority
	}
	timeout := s.Limits.DefaultDeadline
	if text := r.Header.Get(wire.HeaderDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			o := routerRefusal("malformed_request", wire.HeaderDeadline+` is not a duration such as "20s"`)
			return req, &o
		}
		timeout = min(requested, s.Limits.MaxDeadline)
	}
	req.Deadline = time.Now().Add(timeout)
	return req, nil
}

// isResend reports whether the caller marks the request as a retry. Retries draw
// on the team's retry budget, so that they cannot sustain an overload.
func isResend(r *http.Request) bool {
	for _, name := range []string{wire.HeaderRetry, wire.HeaderClientRetry} {
		if n, err := strconv.Atoi(r.Header.Get(name)); err == nil && n > 0 {
			return true
		}
	}
	return false
}

// chatCall builds the call to an engine, which is always asked for a stream; see
// aggregate.go.
func chatCall(chat wire.ChatRequest, version decision.VersionID, addr, nonce string) (upstream.Call, error) {
	chat.Model = string(version)
	chat.Stream = true
	chat.StreamOptions = &wire.StreamOptions{IncludeUsage: true}
	body, err := json.Marshal(chat)
	if err != nil {
		return upstream.Call{}, err
	}
	return upstream.Call{
		Method:     http.MethodPost,
		URL:        "http://" + addr + "/v1/chat/completions",
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
		Nonce:      nonce,
		Idempotent: true,
	}, nil
}

// models serves GET /v1/models: the serving versions that the team may use.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, c caller) {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	entries := []entry{}
	for _, v := range c.index.Manifest.Versions {
		if c.index.MayUse(c.team.ID, v.ID) && v.State == "serving" {
			entries = append(entries, entry{ID: v.ID, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{"list", entries})
}
