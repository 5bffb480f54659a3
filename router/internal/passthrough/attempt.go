package passthrough

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// attempt is one try at one backend server, on a connection of its own: on a kept one
// that dies nobody can tell whether the request ran.
type attempt struct {
	exchange         *exchange
	server           passthrough.Server
	header           http.Header
	startedAt        time.Time
	firstByteTimeout time.Duration

	conn *conn
	// silent says that the watch has given the attempt up.
	timedOut atomic.Bool
	// first is the time to the answer's head.
	firstByte time.Duration
}

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// outcome is how an attempt ended.
type outcome struct {
	result passthrough.Result
	answer *answer
	// load and limit are what the answer's head stated; stream says that the decision knows
	// them since then.
	load           *passthrough.Load
	limit          *passthrough.RateLimit
	loadReported   bool
	misdirected    bool
	leaving        bool
	connectionLost bool
	eventInterval  time.Duration
	firstByte      time.Duration
	// confidence is the engine's own, -1 where not told, bar that under which the answer was
	// dropped.
	confidence          float64
	confidenceThreshold float64
	err                 error
}

var (
	errWrongAttempt     = errors.New("the answer belongs to another request")
	errUnsigned         = errors.New("a success without signature")
	errMisleadingStatus = errors.New("a status that promises 'not run' without the server's word on it")
	errSilent           = errors.New("the backend server is silent")
	errEventOrder       = errors.New("an event is missing or comes twice")
	errTruncatedEvent   = errors.New("the stream ends within an event")
)

// run sends the request and reads the answer.
func (a *attempt) run(ctx context.Context) outcome {
	c, err := a.exchange.edge.dialer.dial(ctx, a.server.ID, a.server.Address)
	if err != nil {
		return outcome{result: passthrough.NotSent, err: err}
	}
	a.conn = c
	defer func() { _ = c.Close() }() // the connection serves one attempt, whatever comes of it
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	watch := a.watchSilence()
	defer watch.stop()
	req := a.request()
	go a.send(req)
	resp, err := readHead(c, req)
	if err != nil {
		return a.brokenOutcome(err)
	}
	a.firstByte = a.exchange.edge.clock.Now().Sub(a.startedAt)
	return a.readOutcome(resp)
}

// request makes the request as the backend server gets it: the caller's bytes.
func (a *attempt) request() *http.Request {
	c := a.exchange.call
	req := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: a.header,
		URL: &url.URL{Scheme: "http", Host: a.server.Address, Opaque: c.uri},
	}
	if _, ok := a.header["User-Agent"]; !ok {
		a.header["User-Agent"] = nil // net/http would add its own
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	} else {
		req.Body = http.NoBody
	}
	return req
}

// send writes the request. It runs beside the reading, since a server may answer before
// it has read a long body. An error shows at the reading side, where the connection ends.
func (a *attempt) send(req *http.Request) {
	const bufferSize = 16 << 10
	w := bufio.NewWriterSize(a.conn, bufferSize)
	if err := req.Write(w); err == nil {
		_ = w.Flush()
	}
}

// readHead reads the final answer's head.
func readHead(c *conn, req *http.Request) (*http.Response, error) {
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		const firstFinal = 200
		if resp.StatusCode >= firstFinal || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// broken is an attempt that may have run, without a whole answer.
func (a *attempt) brokenOutcome(err error) outcome {
	if a.timedOut.Load() {
		return outcome{result: passthrough.Broken, err: errSilent, firstByte: a.firstByte}
	}
	if ctxErr := a.exchange.ctx.Err(); ctxErr != nil {
		return outcome{result: passthrough.Broken, err: ctxErr, firstByte: a.firstByte} // its end closed the connection
	}
	return outcome{result: passthrough.Broken, err: err, connectionLost: true, firstByte: a.firstByte}
}

// judge takes the answer for what it is.
func (a *attempt) readOutcome(resp *http.Response) outcome {
	meta := a.exchange.edge.headers.ReadResponse(resp.StatusCode, resp.Header)
	out := a.classify(resp, meta)
	out.firstByte = a.firstByte
	out.confidence = meta.Confidence
	out.leaving = out.leaving || meta.Leaving && out.result == passthrough.Rejected
	out.misdirected = meta.Misdirected
	if meta.HasLoad {
		out.load = &meta.Load
	}
	if meta.RequestID == a.exchange.call.caller.RequestID && reportsLimit(resp.StatusCode, meta) {
		out.limit = &meta.Limit
	}
	return out
}

// tellsLimit says whether an answer tells of the server's rate limit, or that it has none. That it
// has none only a success tells: what writes a refusal or a failure may not know.
func reportsLimit(status int, meta seam.Response) bool {
	if meta.Misdirected {
		return false
	}
	return meta.Limit.Limited || meta.Signed && status < http.StatusMultipleChoices
}

func (a *attempt) classify(resp *http.Response, meta seam.Response) outcome {
	if meta.RequestID != a.exchange.call.caller.RequestID && !meta.Misdirected {
		return outcome{result: passthrough.Broken, err: errWrongAttempt}
	}
	if meta.NotRun {
		return outcome{result: passthrough.Rejected}
	}
	if impliesNotRun(resp.StatusCode) {
		return outcome{result: passthrough.Broken, err: errMisleadingStatus}
	}
	if resp.StatusCode < http.StatusMultipleChoices && (!meta.Signed || meta.Encoded) {
		return outcome{result: passthrough.Broken, err: errUnsigned}
	}
	if resp.StatusCode == http.StatusOK && isStream(resp.Header) {
		out := a.relayStream(resp, meta)
		out.loadReported = true
		return out
	}
	return a.readWhole(resp)
}

// promises says whether callers take the status for a promise that nothing has run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isStream says whether the answer is a series of events.
func isStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// wholeLimit bounds a plain answer.
const maxResponseBytes = 16 << 20

// whole reads a plain answer to its end before any of it goes out.
func (a *attempt) readWhole(resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return a.brokenOutcome(err)
	}
	result := outcome{
		result:        passthrough.Completed,
		answer:        &answer{resp.StatusCode, resp.Header, body},
		eventInterval: a.exchange.edge.clock.Now().Sub(a.startedAt),
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		result.result = passthrough.Failed
	}
	if a.exchange.stream.begun {
		return outcome{result: passthrough.Broken, err: errWrongAttempt}
	}
	return result
}
