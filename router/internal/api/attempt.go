package api

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"github.com/google/uuid"

	"masticplank.example/decision"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// runAttempt runs the attempt of one Dispatch to its end and reports the result. It
// then holds the answer, if the Dispatch says so, or completes the request with it.
func (x *exchange) runAttempt(ctx context.Context, d decision.Dispatch) {
	ctx, done := x.ticket.BeginAttempt(ctx, d.Attempt)
	defer done()
	x.tokensBefore = x.bill.OutputTokens
	heldBefore := x.held.n
	result, err := x.sendAndRead(ctx, d)
	if err != nil {
		x.held.shrink(heldBefore)
		x.reportFailure(ctx, d, err)
		return
	}
	x.reportAttempt(d, decision.AttemptCompleted, false)
	x.rate(d, result)
	if d.Hold {
		x.heldAnswer = result
		return
	}
	x.complete(ctx, result)
}

// sendAndRead sends the attempt and reads its answer. A stream that is not held
// is forwarded to the caller as it arrives, except for its last events.
func (x *exchange) sendAndRead(ctx context.Context, d decision.Dispatch) (*answer, error) {
	addr, ok := x.s.Servers.Addr(d.Server)
	if !ok {
		return nil, &upstream.Failure{Result: decision.AttemptNotRun, Err: errNoAddress}
	}
	call, err := x.newCall(d, addr)
	if err != nil {
		return nil, &upstream.Failure{Result: decision.AttemptNotRun, Err: err}
	}
	x.bill.Attempts++
	resp, err := x.s.Upstream.Send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	x.s.Servers.ObserveLoad(d.Server, resp.Header.Get(wire.HeaderLoad))
	if x.serviceCall != nil {
		return x.readService(ctx, d, resp)
	}
	if resp.StatusCode != http.StatusOK {
		return x.readErrorResponse(ctx, d, resp)
	}
	if x.chat.Stream {
		return x.readStream(ctx, d, resp)
	}
	return x.readCompletion(ctx, d, resp)
}

var errNoAddress = errors.New("the backend server is no longer listed")

// newCall builds the call of an attempt, under a nonce of its own.
func (x *exchange) newCall(d decision.Dispatch, addr string) (upstream.Call, error) {
	nonce := uuid.NewString()
	if x.serviceCall != nil {
		return x.serviceCall.newCall(addr, nonce), nil
	}
	return chatCall(*x.chat, d.Version, addr, nonce)
}

// readErrorResponse handles an engine's answer whose status is not 200. With status
// 429 or from 500 on, the attempt failed. Any other status, usually 4xx, counts as
// an error in the request itself: the answer is passed on to the caller, since
// another server would return the same. It is neither a completed answer nor billed.
func (x *exchange) readErrorResponse(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	body, err := upstream.ReadAll(ctx, resp, x.held.add)
	if err != nil {
		return nil, err
	}
	busy := resp.StatusCode == http.StatusTooManyRequests
	if busy || resp.StatusCode >= http.StatusInternalServerError {
		return nil, &upstream.Failure{Result: decision.AttemptFailed, Err: errors.New(resp.Status)}
	}
	return &answer{attempt: d.Attempt, version: d.Version, status: resp.StatusCode, header: resp.Header, body: body, rejected: true}, nil
}

// readCompletionBody reads an answer that an engine did not stream and adds its
// token usage to the bill.
func (x *exchange) readCompletionBody(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	body, err := upstream.ReadAll(ctx, resp, x.held.add)
	if err != nil {
		return nil, err
	}
	var chat wire.ChatResponse
	if err := json.Unmarshal(body, &chat); err != nil || chat.Usage == nil || len(chat.Choices) == 0 {
		return nil, &upstream.Failure{Result: decision.AttemptFailed, Err: errors.New("the engine's answer is not a chat completion")}
	}
	x.addUsage(d.Version, *chat.Usage)
	out := &answer{attempt: d.Attempt, version: d.Version, status: resp.StatusCode, header: resp.Header, body: body}
	if chat.Choices[0].Message != nil {
		out.text = chat.Choices[0].Message.Content
	}
	return out, nil
}

// addUsage adds an attempt's tokens and their cost to the request's bill.
func (x *exchange) addUsage(version decision.VersionID, u wire.Usage) {
	const perTokens = 1000
	x.bill.Version = string(version)
	x.bill.PromptTokens += uint64(max(0, u.PromptTokens))
	x.bill.OutputTokens += uint64(max(0, u.CompletionTokens))
	x.cost += x.price(version) * float64(u.CompletionTokens) / perTokens
}

// price returns a version's cost per 1000 generated tokens from the manifest in
// force. For a version that was removed from the manifest while the request ran,
// it returns the price at the request's arrival.
func (x *exchange) price(version decision.VersionID) float64 {
	for _, index := range []*manifest.Index{x.s.Manifests.Current(), x.caller.index} {
		if v, ok := index.Version(string(version)); ok {
			return v.Cost
		}
	}
	return 0
}

// reportFailure reports how a failed attempt ended. If its context has ended (by
// package decision, the caller or the deadline) and its result is otherwise unknown,
// the attempt of an idempotent request counts as cancelled. For any other request
// the result stays unknown.
func (x *exchange) reportFailure(ctx context.Context, d decision.Dispatch, err error) {
	failure := &upstream.Failure{Result: decision.AttemptUnknown, Err: err}
	errors.As(err, &failure)
	result := failure.Result
	if ctx.Err() != nil && result == decision.AttemptUnknown && x.req.Idempotent {
		result = decision.AttemptCancelled
	}
	x.logFailure(ctx, d, failure)
	x.reportAttempt(d, result, failure.Leaving)
	if errors.Is(err, errCallerGone) {
		x.abandon()
	}
}

func (x *exchange) logFailure(ctx context.Context, d decision.Dispatch, failure *upstream.Failure) {
	ev := logging.EventAttemptFailed
	if failure.WrongNonce {
		ev = logging.EventWrongNonce
	}
	x.s.Log.Emit(ctx, ev,
		slog.String("server", string(d.Server)),
		slog.String("version", string(d.Version)),
		slog.String("request", x.key.id),
		logging.Err(failure))
}

// complete gives the caller an answer that is not held: it records the bill
// first and then writes what remains of the answer.
func (x *exchange) complete(ctx context.Context, a *answer) {
	if !x.settleBill(ctx, a) {
		return
	}
	x.finishWithAnswer(a)
}

// finishWithAnswer writes a complete answer and ends the request.
func (x *exchange) finishWithAnswer(a *answer) {
	if x.chat != nil && !a.rejected {
		x.markFirstToken()
	}
	x.writeAnswer(a)
	x.observe(a.outcome())
	x.done = true
}

// outcome returns the outcome of an answer that was received completely.
func (a *answer) outcome() outcome.Outcome {
	if a.rejected {
		return outcome.Outcome{Kind: outcome.Failed, Code: "rejected_by_backend_server"}
	}
	return outcome.Outcome{Kind: outcome.Completed}
}

func (x *exchange) writeAnswer(a *answer) {
	if a.events != nil {
		x.writeEvents(a)
		return
	}
	h := x.w.Header()
	if contentType := a.header.Get("Content-Type"); contentType != "" {
		h.Set("Content-Type", contentType)
	}
	x.setOutcomeHeaders(a.version, a.outcome())
	x.setWriteDeadline()
	x.w.WriteHeader(a.status)
	// A failed write means that the caller has disconnected; the bill stands.
	_, _ = x.w.Write(a.body)
}

func (x *exchange) setOutcomeHeaders(version decision.VersionID, o outcome.Outcome) {
	h := x.w.Header()
	h.Set(wire.HeaderOutcome, string(o.Kind))
	h.Set(wire.HeaderIdempotencyKey, x.key.id)
	if version != "" {
		h.Set(wire.HeaderVersion, string(version))
	}
}
