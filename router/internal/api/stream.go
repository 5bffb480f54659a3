package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/tmaxmax/go-sse"

	"masticplank.example/decision"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// maxEventBytes bounds one server-sent event from an engine.
const maxEventBytes = 1 << 20

var (
	errTruncatedStream = errors.New("the stream ended before its end marker")
	errMalformedChunk  = errors.New("the stream has an event that is not a chat completion chunk")
	errNoUsage         = errors.New("the stream ended without its token usage")
	errMissingEvent    = errors.New("an event of the stream is missing")
	errTooLong         = fmt.Errorf("the stream has more than %d bytes", upstream.MaxAnswerBytes)
	errCallerGone      = errors.New("the caller has disconnected")
)

// streamReader reads the stream of one attempt.
type streamReader struct {
	x        *exchange
	dispatch decision.Dispatch
	// forward is true if events are written to the caller as they arrive, unless
	// aggregate is set. A held stream's events are only collected.
	forward bool
	// out is the answer, complete once the stream has ended.
	out *answer
	// usage is sent with the last chunk.
	usage *wire.Usage
	// sawEnd is set by the end marker.
	sawEnd      bool
	lastTokenAt time.Time
	// chunks counts the chunks with text so far. They stand for the tokens in the
	// bill of a stream that breaks off: an engine sends one token per chunk.
	chunks int
	// text is the answer so far, if it is to be rated or aggregated.
	text strings.Builder
	// aggregate is set if the caller gets a single JSON body. firstChunk then
	// holds the answer's identifier and model.
	aggregate    bool
	firstChunk   *wire.ChatResponse
	finishReason *string
	// nextEvent is the id expected of the next event; see isDuplicate.
	nextEvent int
}

// readStream reads an engine's stream for a caller that gets a stream, and forwards
// it unless it is held. The events that make an answer look complete (finish
// reason, usage, end marker) are withheld in answer.events and written once the
// bill is durable.
func (x *exchange) readStream(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	sr := x.newStreamReader(d)
	if err := sr.readAndCount(ctx, resp); err != nil {
		return nil, err
	}
	sr.out.text = sr.text.String()
	return sr.out, nil
}

func (x *exchange) newStreamReader(d decision.Dispatch) *streamReader {
	return &streamReader{
		x:        x,
		dispatch: d,
		forward:  !d.Hold,
		out:      &answer{attempt: d.Attempt, version: d.Version, status: http.StatusOK, events: []string{}},
	}
}

// readAndCount reads the stream to its end and adds the stated usage to the bill.
// For a stream that broke off it adds the tokens received.
func (sr *streamReader) readAndCount(ctx context.Context, resp *http.Response) error {
	version := sr.dispatch.Version
	err := sr.read(ctx, resp)
	if err != nil {
		sr.x.bill.Version = string(version)
		sr.x.addUsage(version, wire.Usage{CompletionTokens: sr.chunks})
		return err
	}
	sr.x.addUsage(version, *sr.usage)
	return nil
}

func (sr *streamReader) read(ctx context.Context, resp *http.Response) error {
	held := &sr.x.held
	from := &heldReader{Reader: resp.Body, held: held}
	body := &io.LimitedReader{R: from, N: upstream.MaxAnswerBytes}
	kept := held.n
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if from.err != nil {
			return from.err
		}
		if err != nil {
			return upstream.ClassifyReadError(ctx, err)
		}
		duplicate, err := sr.isDuplicate(ev.LastEventID)
		if err != nil {
			return err
		}
		if duplicate {
			continue
		}
		if ev.Data == wire.StreamEnd {
			sr.sawEnd = true
			break
		}
		if err := sr.handleChunk(ev.Data); err != nil {
			return err
		}
		if sr.keeps() {
			kept = held.n
		}
		held.shrink(kept) // the event was passed on
	}
	if from.err != nil {
		return from.err
	}
	if sr.sawEnd {
		upstream.DiscardRest(resp)
	} else if body.N <= 0 {
		return &upstream.Failure{Result: decision.AttemptUnknown, Err: errTooLong}
	}
	return sr.checkEnd(ctx)
}

// keeps reports whether events are kept until the end of the stream.
func (sr *streamReader) keeps() bool {
	return sr.aggregate || sr.dispatch.NeedsRating || len(sr.out.events) > 0
}

// isDuplicate checks an event's id against the expected one. If an engine numbers
// its events (id: 0, 1, 2, ...), duplicates are dropped and a stream that lacks an
// event fails; otherwise both would go unnoticed in the middle of an answer.
// Events without a number are accepted in the order of arrival.
func (sr *streamReader) isDuplicate(id string) (bool, error) {
	n, err := strconv.Atoi(id)
	if err != nil {
		return false, nil
	}
	if n > sr.nextEvent {
		return false, &upstream.Failure{Result: decision.AttemptUnknown, Err: errMissingEvent}
	}
	if n < sr.nextEvent {
		return true, nil
	}
	sr.nextEvent++
	return false, nil
}

// checkEnd returns nil only if the stream had an end marker and its token usage.
func (sr *streamReader) checkEnd(ctx context.Context) error {
	if !sr.sawEnd {
		return upstream.ClassifyReadError(ctx, errTruncatedStream)
	}
	if sr.usage == nil {
		return &upstream.Failure{Result: decision.AttemptFailed, Err: errNoUsage}
	}
	return nil
}

// streamChunk has the fields of a chunk that are used here; the rest is forwarded
// without being decoded.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wire.Usage `json:"usage"`
}

func (sr *streamReader) handleChunk(data string) error {
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return &upstream.Failure{Result: decision.AttemptFailed, Err: errMalformedChunk}
	}
	last := c.Usage != nil
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			sr.addToken(choice.Delta.Content)
		}
		last = last || choice.FinishReason != nil
	}
	if c.Usage != nil {
		sr.usage = c.Usage
	}
	if sr.aggregate {
		return sr.aggregateChunk(c, data)
	}
	if last || !sr.forward || len(sr.out.events) > 0 {
		sr.out.events = append(sr.out.events, data)
		return nil
	}
	return sr.x.writeEvent(sr.dispatch.Version, data)
}

func (sr *streamReader) addToken(text string) {
	sr.chunks++
	if sr.dispatch.NeedsRating || sr.aggregate {
		sr.text.WriteString(text)
	}
	if sr.aggregate {
		return // the caller gets nothing before the answer is complete
	}
	now := time.Now()
	if sr.chunks == 1 {
		if sr.forward {
			sr.x.markFirstToken()
		}
		sr.x.ticket.Send(decision.FirstToken{Request: sr.x.req.ID, Attempt: sr.dispatch.Attempt})
	} else if sr.forward {
		sr.x.tokenIntervals++
		sr.x.tokenIntervalSum += now.Sub(sr.lastTokenAt)
	}
	sr.lastTokenAt = now
}

// markFirstToken records the time of the first token that the caller gets, or of the
// end of an answer that is not streamed, unless it is recorded already. A token of a
// held answer reaches the caller only when that answer is delivered.
func (x *exchange) markFirstToken() {
	if x.firstToken == 0 {
		x.firstToken = time.Since(x.start)
	}
}

// writeEvent sends one event to the caller without buffering. An error means that
// the caller has disconnected or did not read within the write timeout.
func (x *exchange) writeEvent(version decision.VersionID, data string) error {
	x.startStream(version)
	if err := x.writeAndFlush(data); err != nil {
		return &upstream.Failure{Result: decision.AttemptCancelled, Err: errCallerGone}
	}
	return nil
}

// writeAndFlush writes and flushes one event within the write timeout.
func (x *exchange) writeAndFlush(data string) error {
	x.setWriteDeadline()
	if _, err := x.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// setWriteDeadline sets the deadline of the next write. Response writers that do
// not support deadlines, as in some tests, get none.
func (x *exchange) setWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.s.Limits.WriteTimeout))
}

func (x *exchange) startStream(version decision.VersionID) {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-store")
	x.setOutcomeHeaders(version, outcome.Outcome{Kind: outcome.Completed})
	x.w.WriteHeader(http.StatusOK)
}

// writeEvents writes the withheld events and the end marker.
func (x *exchange) writeEvents(a *answer) {
	for _, data := range append(a.events, wire.StreamEnd) {
		if x.writeEvent(a.version, data) != nil {
			return
		}
	}
}
