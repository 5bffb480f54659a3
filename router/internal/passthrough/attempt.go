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
	exchange *exchange
	server   passthrough.Server
	header   http.Header
	began    time.Time
	patience time.Duration

	conn *conn
	// silent says that the watch has given the attempt up.
	silent atomic.Bool
	// first is the time to the answer's head.
	first time.Duration
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
	load        *passthrough.Load
	limit       *passthrough.RateLimit
	stream      bool
	misdirected bool
	leaving     bool
	cut         bool
	pace        time.Duration
	first       time.Duration
	// confidence is the engine's own, -1 where not told, bar that under which the answer was
	// dropped.
	confidence float64
	bar        float64
	err        error
}

var (
	errWrongAttempt = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("a success without signature")
	errPromise      = errors.New("a status that promises 'not run' without the server's word on it")
	errSilent       = errors.New("the backend server is silent")
	errDisorder     = errors.New("an event is missing or comes twice")
	errMidEvent     = errors.New("the stream ends within an event")
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
	watch := a.watch()
	defer watch.stop()
	req := a.request()
	go a.send(req)
	resp, err := readHead(c, req)
	if err != nil {
		return a.broken(err)
	}
	a.first = a.exchange.edge.clock.Now().Sub(a.began)
	return a.judge(resp)
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
	const room = 16 << 10
	w := bufio.NewWriterSize(a.conn, room)
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
func (a *attempt) broken(err error) outcome {
	if a.silent.Load() {
		return outcome{result: passthrough.Broken, err: errSilent, first: a.first}
	}
	if gone := a.exchange.ctx.Err(); gone != nil {
		return outcome{result: passthrough.Broken, err: gone, first: a.first} // its end closed the connection
	}
	return outcome{result: passthrough.Broken, err: err, cut: true, first: a.first}
}

// judge takes the answer for what it is.
func (a *attempt) judge(resp *http.Response) outcome {
	said := a.exchange.edge.headers.ReadAnswer(resp.StatusCode, resp.Header)
	out := a.classify(resp, said)
	out.first = a.first
	out.confidence = said.Confidence
	out.leaving = out.leaving || said.Leaving && out.result == passthrough.Rejected
	out.misdirected = said.Misdirected
	if said.HasLoad {
		out.load = &said.Load
	}
	if said.RequestID == a.exchange.call.caller.RequestID && tellsLimit(resp.StatusCode, said) {
		out.limit = &said.Limit
	}
	return out
}

// tellsLimit says whether an answer tells of the server's rate limit, or that it has none. That it
// has none only a success tells: what writes a refusal or a failure may not know.
func tellsLimit(status int, said seam.Response) bool {
	if said.Misdirected {
		return false
	}
	return said.Limit.Limited || said.Signed && status < http.StatusMultipleChoices
}

func (a *attempt) classify(resp *http.Response, said seam.Response) outcome {
	if said.RequestID != a.exchange.call.caller.RequestID && !said.Misdirected {
		return outcome{result: passthrough.Broken, err: errWrongAttempt}
	}
	if said.NotRun {
		return outcome{result: passthrough.Rejected}
	}
	if promises(resp.StatusCode) {
		return outcome{result: passthrough.Broken, err: errPromise}
	}
	if resp.StatusCode < http.StatusMultipleChoices && (!said.Signed || said.Encoded) {
		return outcome{result: passthrough.Broken, err: errUnsigned}
	}
	if resp.StatusCode == http.StatusOK && isStream(resp.Header) {
		out := a.relay(resp, said)
		out.stream = true
		return out
	}
	return a.whole(resp)
}

// promises says whether callers take the status for a promise that nothing has run.
func promises(status int) bool {
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
const wholeLimit = 16 << 20

// whole reads a plain answer to its end before any of it goes out.
func (a *attempt) whole(resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit))
	if err != nil {
		return a.broken(err)
	}
	out := outcome{
		result: passthrough.Completed,
		answer: &answer{resp.StatusCode, resp.Header, body},
		pace:   a.exchange.edge.clock.Now().Sub(a.began),
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		out.result = passthrough.Failed
	}
	if a.exchange.stream.begun {
		return outcome{result: passthrough.Broken, err: errWrongAttempt}
	}
	return out
}
