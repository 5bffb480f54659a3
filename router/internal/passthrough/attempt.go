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
	"strconv"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/tunnel"
)

// attempt sends a request once to one backend server. It uses a connection of its own: if a
// reused connection breaks, it is unknown whether the request ran.
type attempt struct {
	exchange *exchange
	server   passthrough.Server
	// statement is what is stated to the server besides the time left.
	statement seam.Attempt
	// permitPeers are the peers with permits for the server, if this instance has none.
	permitPeers []string
	// holders are the instances to ask for a grant with grantRequest, empty for none; the request is sent grantWait after
	// that.
	holders          []string
	grantRequest     passthrough.GrantRequest
	grantWait        time.Duration
	startedAt        time.Time
	firstByteTimeout time.Duration

	conn   *conn
	reader *bufio.Reader
	// write is the writing of the request.
	write requestWrite
	// reusable is true if the connection is open and idle after a complete response.
	reusable bool
	// timedOut is true if the idle watch has closed the connection.
	timedOut atomic.Bool
	// withdrawn is true if the connection was closed because a part of the prompt crashes servers.
	withdrawn atomic.Bool
	// forecast is when the last event is expected after startedAt; 0 if that is not forecast.
	forecast time.Duration
	// givenUp is true if the idle watch has closed the connection as another server is forecast to be in time.
	givenUp atomic.Bool
	// pace counts the events for the idle watch.
	pace pace
	// headRead is true once the response head has been read, firstByte the time from startedAt to that.
	headRead  atomic.Bool
	firstByte time.Duration
	// events is the number of whole events of a stream that were received.
	events int
	// stall tells whether the caller reads the stream.
	stall callerStall
}

// response is a backend server's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// outcome is the result of an attempt.
type outcome struct {
	result   passthrough.Result
	response *response
	// load and limit are from the response head. load is nil if absent; limit is nil if the head
	// states neither a limit nor that there is none (see reportsLimit). loadReported is true if both
	// were already passed to decision/passthrough when the head arrived, as for streams.
	load         *passthrough.Load
	limit        *passthrough.RateLimit
	loadReported bool
	// misdirected is true if another server now has the address, leaving if the server rejected
	// the request and is shutting down.
	misdirected bool
	leaving     bool
	// toldLeaving and toldRetryAfter are what the response head states: that the server is leaving,
	// and for how long it wants no requests from this instance.
	toldLeaving    bool
	toldRetryAfter time.Duration
	// connectionLost is true if the response could not be read to its end although this instance
	// did not close the connection.
	connectionLost bool
	// givenUp is true if the attempt was given up as it could not end before the deadline, and another server may.
	givenUp bool
	// peer is the name of the peer that the request was sent through, empty for none. tunnelLost is true if
	// the connection to it broke, pathLost if this instance has no path and no peer could be asked.
	peer       string
	tunnelLost bool
	pathLost   bool
	// noPermit is true if no peer had a free permit for the server, declined if no peer sends to it.
	noPermit bool
	declined bool
	// noGrant is true if no grant was to be had; grantAfter is when one may be, 0 if no holder has answered.
	noGrant    bool
	grantAfter time.Duration
	// grantWait is how long the request waited for its turn at a rate-limited server.
	grantWait time.Duration
	// callerStalled is true if the stream broke after its caller had not read it for some time, heldUnread if the
	// connection was lost while the server held the response of another such stream. callerLost is true if nothing more
	// can be sent to the caller.
	callerStalled bool
	heldUnread    bool
	callerLost    bool
	// serverFailed is true if that is the server's fault.
	serverFailed bool
	// eventInterval is the mean time between the events of a stream, 0 for fewer than two.
	// For a plain response it is the time from startedAt to the end of the response.
	eventInterval time.Duration
	// firstByte is the time from the attempt's start to the response head, 0 for none.
	firstByte time.Duration
	// events is the number of whole events of a stream that were received.
	events int
	// confidence is the confidence that the backend server states, -1 for none. A response
	// whose confidence is below confidenceThreshold is dropped.
	confidence          float64
	confidenceThreshold float64
	// keptBecause is why a weak response was kept; empty if it was not weak, or that is not known.
	keptBecause string
	err         error
}

var (
	errUnusable         = errors.New("the backend server has become unusable since the request was dispatched: it is leaving, wants no requests for a time, or is no longer listed")
	errWithdrawn        = errors.New("taken back from the backend server: a part of the prompt crashes servers")
	errWrongRequest     = errors.New("the response belongs to another request, or is a plain response to a request that continues a stream")
	errUnverified       = errors.New("the response is a success without a signature, or its body is not the bytes that the backend server sent")
	errMisleadingStatus = errors.New("the status implies that the request did not run, but the backend server does not confirm it")
	errTimedOut         = errors.New("timed out: the backend server sent nothing for too long")
	errGivenUp          = errors.New("given up: the response is not expected to end before the deadline, and that of another backend server is")
	errEventOrder       = errors.New("an event of the stream is missing, repeated or has a malformed id")
	errTooLong          = errors.New("the response exceeds the size limit")
	errMalformedStream  = errors.New("the stream ended without a numbered event or within an event, or an event exceeds the size limit")
)

// run sends the request and reads the response.
func (a *attempt) run(ctx context.Context) outcome {
	c, err := a.connect(ctx)
	if errors.Is(err, errDeclined) {
		return outcome{result: passthrough.Withheld, err: err, declined: true}
	}
	var refused grantRefusedError
	if errors.As(err, &refused) {
		return outcome{result: passthrough.NotSent, err: err, noGrant: true, grantAfter: refused.after}
	}
	if err != nil {
		return outcome{result: passthrough.NotSent, err: err, noPermit: errors.Is(err, errNoPermit),
			pathLost: errors.Is(err, errNoPath) || errors.Is(err, errNoPeer)}
	}
	a.conn = c
	defer a.release()
	withdraw := func() {
		a.withdrawn.Store(true)
		go func() { _ = c.Close() }() // the driver's lock is held, and a tunnel may close slowly
	}
	if !a.exchange.handler.driver.maySend(a.exchange.ticket, a.server, withdraw) {
		return outcome{result: passthrough.Withheld, err: errUnusable}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	watch := a.watchIdle()
	defer watch.stop()
	req := a.request()
	a.write.begin()
	go a.write.run(a.conn, req, a.exchange.call.uri)
	heads := httpanswer.NewHeadReader(c, maxHeadBytes)
	a.reader = bufio.NewReader(heads)
	resp, err := readHead(a.reader, req)
	if refused := heads.Err(); refused != nil {
		return a.brokenOutcome(refused)
	}
	if err != nil {
		return a.brokenOutcome(err)
	}
	a.headRead.Store(true)
	a.firstByte = a.exchange.handler.clock.Now().Sub(a.startedAt)
	httpanswer.CheckEnd(resp, func() error { return a.write.end(a.conn) })
	return a.readOutcome(resp)
}

// release closes the connection, which serves one attempt only, or leaves it idle to show when the server goes down.
func (a *attempt) release() {
	d := a.exchange.handler.dialer
	if a.reusable && a.conn.peer == "" && d.path.keepsIdle(a.server.ID) && d.idle.keep(a.server, a.conn) {
		return
	}
	_ = a.conn.Close()
}

// connect opens the connection to the server, through a peer if only peers may send to it, once the request may be sent.
func (a *attempt) connect(ctx context.Context) (*conn, error) {
	if err := a.awaitGrant(ctx); err != nil {
		return nil, err
	}
	if len(a.permitPeers) > 0 {
		return a.exchange.handler.dialer.dialWithPermit(ctx, a.server, a.permitPeers)
	}
	return a.exchange.handler.dialer.dial(ctx, a.server)
}

// request builds the request to the backend server: the caller's target and body unchanged, with
// the attempt's headers.
func (a *attempt) request() *http.Request {
	c := a.exchange.call
	a.statement.Remaining = c.deadline.Sub(a.exchange.handler.clock.Now()) // without the time for the connection
	header := a.exchange.handler.headers.WriteAttempt(c.request.Header, a.statement)
	req := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: header,
		URL: &url.URL{Scheme: "http", Host: a.server.Address, Path: "/"}, // requestWrite writes the caller's target
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	} else {
		req.Body = http.NoBody
	}
	return req
}

// readHead reads the final response's head and skips informational (1xx) ones.
func readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		const firstFinal = 200
		if resp.StatusCode >= firstFinal {
			return resp, nil
		}
	}
}

// brokenOutcome is the outcome of an attempt that may have run and has no complete response.
func (a *attempt) brokenOutcome(err error) outcome {
	if a.withdrawn.Load() {
		return outcome{result: passthrough.Broken, err: errWithdrawn, firstByte: a.firstByte}
	}
	if a.givenUp.Load() {
		return outcome{result: passthrough.Broken, err: errGivenUp, givenUp: true, firstByte: a.firstByte}
	}
	if a.timedOut.Load() {
		return outcome{result: passthrough.Broken, err: errTimedOut, firstByte: a.firstByte}
	}
	if ctxErr := a.exchange.ctx.Err(); ctxErr != nil {
		return outcome{result: passthrough.Broken, err: ctxErr, firstByte: a.firstByte} // the context's end closed the connection
	}
	if errors.Is(err, httpanswer.ErrHeadTooLong) || errors.Is(err, httpanswer.ErrMalformedHead) {
		return outcome{result: passthrough.Broken, err: err, firstByte: a.firstByte}
	}
	if errors.Is(err, tunnel.ErrPeerLost) {
		return outcome{result: passthrough.Broken, err: err, tunnelLost: true, firstByte: a.firstByte}
	}
	return outcome{result: passthrough.Broken, err: err, connectionLost: true, firstByte: a.firstByte}
}

// readOutcome reads the response and returns the attempt's outcome.
func (a *attempt) readOutcome(resp *http.Response) outcome {
	meta := a.exchange.handler.headers.ReadResponse(resp.StatusCode, resp.Header)
	a.reportStatement(meta)
	out := a.classify(resp, meta)
	out.firstByte, out.events = a.firstByte, a.events
	out.confidence = meta.Confidence
	// A refusal that states a time expects requests after it.
	out.leaving = meta.ClosesConnection && out.result == passthrough.Rejected && meta.RetryAfter == 0
	out.toldLeaving, out.toldRetryAfter = meta.Leaving, meta.RetryAfter
	out.misdirected = meta.Misdirected
	if meta.HasLoad {
		out.load = &meta.Load
	}
	if meta.LoadUnreadable {
		a.exchange.handler.telemetry.logUnreadableServerLoad(a.server)
	}
	if meta.RequestID == a.exchange.call.caller.RequestID && reportsLimit(resp.StatusCode, meta) {
		out.limit = &meta.Limit
	}
	return out
}

// reportStatement reports to decision/passthrough what the response head states about the server. A
// statement holds even if the response is not valid, is dropped or has lost its caller; one of another
// server that now has the address does not.
func (a *attempt) reportStatement(meta seam.Response) {
	driver := a.exchange.handler.driver
	// The end of a statement is shown by an answer of the server itself.
	endsBrittle := driver.anyBrittle.Load() && (meta.Signed || meta.NotRun)
	if !meta.Misdirected && (meta.Leaving || meta.RetryAfter > 0 || meta.Brittle || endsBrittle) {
		driver.Handle(passthrough.ServerStated{Server: a.server, Leaving: meta.Leaving, RetryAfter: meta.RetryAfter,
			Brittle: meta.Brittle, BrittlePerSecond: meta.BrittlePerSecond, Sent: a.startedAt})
	}
}

// reportsLimit reports whether a response states the server's rate limit, or that it has none. Only
// a success states that there is none: a refusal or failure may come from a component that does not
// know the limit.
func reportsLimit(status int, meta seam.Response) bool {
	if meta.Misdirected {
		return false
	}
	return meta.Limit.Limited || meta.Signed && status < http.StatusMultipleChoices
}

// classify checks the response's headers, and reads its body or relays its stream if it is valid.
func (a *attempt) classify(resp *http.Response, meta seam.Response) outcome {
	if meta.RequestID != a.exchange.call.caller.RequestID && !meta.Misdirected {
		return outcome{result: passthrough.Broken, err: errWrongRequest}
	}
	if meta.NotRun {
		return outcome{result: passthrough.Rejected}
	}
	if impliesNotRun(resp.StatusCode) {
		return outcome{result: passthrough.Broken, err: errMisleadingStatus}
	}
	if resp.StatusCode < http.StatusMultipleChoices && (!meta.Signed || meta.Encoded) {
		return outcome{result: passthrough.Broken, err: errUnverified}
	}
	if resp.StatusCode == http.StatusOK && isStream(resp.Header) {
		out := a.relayStream(resp, meta)
		out.loadReported = true
		return out
	}
	return a.readWhole(resp)
}

// impliesNotRun reports whether callers infer from the status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isStream reports whether the response is a stream of server-sent events.
func isStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// maxResponseBytes is the size from which on a plain response is passed on before it has been read to its end.
const maxResponseBytes = 16 << 20

// maxPassedOnBytes is the size from which on such a response is given up if it does not state its length: a server in
// trouble sends bytes without end.
const maxPassedOnBytes = 256 << 20

// readWhole reads a plain response to its end before any of it goes to the caller, unless it is too long for that.
func (a *attempt) readWhole(resp *http.Response) outcome {
	size := int64(streamBufferSize)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, maxResponseBytes) + 1 // the end is read without a larger buffer
	}
	body, err := connlimit.ReadAll(io.LimitReader(resp.Body, maxResponseBytes), size, a.exchange.responses.add)
	if errors.Is(err, errNoRoom) || err == nil && len(body) == maxResponseBytes {
		return a.passOn(resp, body)
	}
	if err != nil {
		return a.brokenOutcome(err)
	}
	a.reusable = !resp.Close && !httpanswer.EndsWithConnection(resp) && a.reader.Buffered() == 0
	out := outcome{
		result:        passthrough.Completed,
		response:      &response{resp.StatusCode, resp.Header, body},
		eventInterval: a.exchange.handler.clock.Now().Sub(a.startedAt),
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		out.result = passthrough.Failed
	}
	if a.exchange.stream.begun {
		return outcome{result: passthrough.Broken, err: errWrongRequest}
	}
	return out
}

// passOn passes a response on as it arrives, as it is too long to be held; read is its beginning. If it breaks, the
// caller's connection is closed.
func (a *attempt) passOn(resp *http.Response, read []byte) outcome {
	x := a.exchange
	if resp.StatusCode >= http.StatusInternalServerError || x.stream.begun {
		return outcome{result: passthrough.Failed, err: errNoRoom}
	}
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.writeHead(resp)
	rest := io.Reader(resp.Body)
	if resp.ContentLength < 0 {
		rest = io.LimitReader(rest, maxPassedOnBytes)
	}
	from := &errorReader{Reader: io.MultiReader(bytes.NewReader(read), rest)}
	n, err := io.CopyBuffer(callerWriter{a}, from, make([]byte, streamBufferSize))
	if err == nil && resp.ContentLength < 0 && n >= maxPassedOnBytes {
		from.err = errTooLong
	}
	if from.err != nil {
		out := a.brokenOutcome(from.err)
		out.callerLost, out.serverFailed = true, true
		return out
	}
	if err != nil {
		return outcome{result: passthrough.Broken, err: err, callerLost: true}
	}
	return outcome{result: passthrough.Completed, eventInterval: x.handler.clock.Now().Sub(a.startedAt)}
}

// errorReader keeps the error of the latest read, if it is not the end.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// callerWriter writes to the caller, and records for how long writes block: meanwhile the server is not idle.
type callerWriter struct{ a *attempt }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	clock := w.a.exchange.handler.clock
	w.a.stall.beginWrite(clock.Now())
	n, err := w.a.exchange.w.Write(p)
	w.a.endWrite(clock.Now())
	return n, err
}

// endWrite records that a write to the caller has ended.
func (a *attempt) endWrite(now time.Time) {
	a.conn.lastReceived.Store(now.UnixNano()) // the server was not idle while nothing was read from it
	a.pace.leaveOut(a.stall.endWrite(now))
}
