package api

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/tmaxmax/go-sse"

	"masticplank.example/decision"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 1 << 20

var (
	errTruncatedStream = errors.New("the stream ended before its end mark")
	errMalformedChunk  = errors.New("the stream holds an event that is not a chunk")
	errNoUsage         = errors.New("the stream ended without its usage")
	errMissingEvent    = errors.New("an event of the stream is missing")
	errCallerGone      = errors.New("the caller has gone")
)

// streamReader follows one engine's stream.
type streamReader struct {
	x        *exchange
	dispatch decision.Dispatch
	// flow is false for a held stream, whose events are only kept.
	forward bool
	out     *answer
	// usage comes with the last chunk.
	usage       *wire.Usage
	sawEnd      bool
	lastTokenAt time.Time
	// chunks counts what was generated so far, for the bill of a cancelled
	// request: an engine sends a token a chunk.
	chunks int
	// text is the answer so far, where it is to be rated.
	text strings.Builder
	// plain is set where the caller gets one plain answer; head names it, and
	// finish is why the engine ended it.
	aggregate    bool
	firstChunk   *wire.ChatResponse
	finishReason *string
	// next is the number that the next event must have; see repeated.
	nextEvent int
}

// readStream passes an engine's stream on. The chunks that make an answer look
// complete (finish reason, usage, end mark) are kept back in answer.events, to
// be written once the bill is durable.
func (x *exchange) readStream(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	sr := x.newStreamReader(d)
	if err := sr.follow(ctx, resp); err != nil {
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

// follow reads the stream to its end and counts its tokens, or, where it broke
// off, those that came.
func (sr *streamReader) follow(ctx context.Context, resp *http.Response) error {
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
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
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
		if err := sr.chunk(ev.Data); err != nil {
			return err
		}
	}
	if sr.sawEnd {
		upstream.DiscardRest(resp)
	}
	return sr.checkEnd(ctx)
}

// repeated reads an event's number. Engines that number their events (id: 0, 1,
// 2, ...) let masticplank drop one that comes twice and refuse a stream with one
// missing; both would pass unseen otherwise, in the middle of an answer. Events
// without a number are taken as they come.
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

// checkEnd accepts a stream only with its explicit end and usage.
func (sr *streamReader) checkEnd(ctx context.Context) error {
	if !sr.sawEnd {
		return upstream.ClassifyReadError(ctx, errTruncatedStream)
	}
	if sr.usage == nil {
		return &upstream.Failure{Result: decision.AttemptFailed, Err: errNoUsage}
	}
	return nil
}

// streamChunk is what of a chunk matters here; the rest is passed on unread.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wire.Usage `json:"usage"`
}

func (sr *streamReader) chunk(data string) error {
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return &upstream.Failure{Result: decision.AttemptFailed, Err: errMalformedChunk}
	}
	last := c.Usage != nil
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			sr.token(choice.Delta.Content)
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

func (sr *streamReader) token(text string) {
	sr.chunks++
	if sr.dispatch.NeedsRating || sr.aggregate {
		sr.text.WriteString(text)
	}
	if sr.aggregate {
		return // nothing of it goes to the caller yet
	}
	now := time.Now()
	if sr.chunks == 1 {
		sr.x.markFirstToken()
		sr.x.ticket.Send(decision.FirstToken{Request: sr.x.req.ID, Attempt: sr.dispatch.Attempt})
	} else {
		sr.x.tokenIntervals++
		sr.x.tokenIntervalSum += now.Sub(sr.lastTokenAt)
	}
	sr.lastTokenAt = now
}

func (x *exchange) markFirstToken() {
	if x.firstToken == 0 {
		x.firstToken = time.Since(x.start)
	}
}

// writeEvent sends one event to the caller at once.
func (x *exchange) writeEvent(version decision.VersionID, data string) error {
	x.startStream(version)
	if err := x.writeAndFlush(data); err != nil {
		return &upstream.Failure{Result: decision.AttemptCancelled, Err: errCallerGone}
	}
	return nil
}

// send writes and flushes one event within the write timeout.
func (x *exchange) writeAndFlush(data string) error {
	x.setWriteDeadline()
	if _, err := x.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// limitWrite gives the next write its deadline. Writers without one, as in some
// tests, go without.
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
	x.setOutcomeHeaders(version)
	x.w.WriteHeader(http.StatusOK)
}

// writeEvents writes what was kept back, and the end mark.
func (x *exchange) writeEvents(a *answer) {
	for _, data := range append(a.events, wire.StreamEnd) {
		if x.writeEvent(a.version, data) != nil {
			return
		}
	}
}
