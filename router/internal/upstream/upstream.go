// Package upstream sends an attempt to a backend server and reads its answer.
//
// It determines from what can be proved whether an attempt without an answer ran:
// the attempt counts as not run only if there was no connection, so that no byte
// was written, or if the backend server answered with the header that says it
// refused. Any other failed attempt may have run.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/wire"
)

const (
	// dialTimeout bounds the wait for a connection. Within a host or between
	// failure domains connecting takes milliseconds, so a second means a dead
	// server.
	dialTimeout = time.Second
	// maxIdleConns bounds the idle connections to one backend server: as many as
	// the requests that it may run at once.
	maxIdleConns = 256
	// idleTimeout closes idle connections before a backend server does.
	idleTimeout = 30 * time.Second
	// discardTimeout and maxDiscardBytes bound what is read after a stream's end
	// marker: only the end of the chunked encoding should follow.
	discardTimeout  = 50 * time.Millisecond
	maxDiscardBytes = 4096
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// MaxAnswerBytes bounds an answer that is read whole.
	MaxAnswerBytes = 16 << 20
)

// Call is the HTTP request of one attempt at a backend server.
type Call struct {
	Method string
	// URL is absolute, such as http://10.0.0.7:8000/v1/chat/completions.
	URL    string
	Header http.Header
	Body   []byte
	// Nonce identifies the attempt; the answer must echo it.
	Nonce string
	// Idempotent calls reuse connections. All others get a new connection each:
	// net/http resends a request that has an Idempotency-Key by itself when a
	// reused connection breaks, which would run it twice.
	Idempotent bool
}

// Failure is the error of an attempt without a complete answer.
type Failure struct {
	Result decision.AttemptResult
	// Leaving is set when the backend server refused because it is leaving.
	Leaving bool
	// WrongNonce is set when the answer did not echo this attempt's nonce.
	WrongNonce bool
	// RetryAfter is the Retry-After header of a refusal by the backend server.
	RetryAfter string
	Err        error
}

// Error implements error; it returns the text of Err.
func (f *Failure) Error() string {
	if f.Err == nil {
		return "attempt failed"
	}
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Causes of a Failure.
var (
	errWrongNonce = errors.New("answer does not echo the attempt's nonce")
	errRefused    = errors.New("backend server refused the attempt without running it")
	errTooLarge   = errors.New("answer is larger than the limit")
	// ErrNoRoom means that the process may not hold more of answers.
	ErrNoRoom = connlimit.ErrNoRoom
)

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	pooled   *httpanswer.Transport
	unpooled *httpanswer.Transport
}

// DialFunc connects to a backend server, as (*net.Dialer).DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client that connects by TCP without TLS. unread is how many bytes each connection may have received and
// not read; 0 for the system's default.
func NewClient(unread int) *Client {
	return NewClientWith((&net.Dialer{Timeout: dialTimeout, Control: connlimit.BoundDialed(unread)}).DialContext)
}

// NewClientWith returns a client whose connections are made by dial, for tests.
func NewClientWith(dial DialFunc) *Client {
	return &Client{pooled: newTransport(dial, false), unpooled: newTransport(dial, true)}
}

func newTransport(dial DialFunc, disableKeepAlives bool) *httpanswer.Transport {
	return httpanswer.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		// An answer's head without end must not take the instance's memory.
		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send writes the call and returns the answer once its header has arrived and
// echoed the nonce. The caller must close the body. The error is always a *Failure.
func (c *Client) Send(ctx context.Context, call Call) (*http.Response, error) {
	req, connected, err := newRequest(ctx, call)
	if err != nil {
		return nil, &Failure{Result: decision.AttemptNotRun, Err: err}
	}
	resp, err := c.transportFor(call).RoundTrip(req)
	if err != nil {
		return nil, classifySendError(ctx, err, connected.Load())
	}
	if err := checkResponse(resp, call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (c *Client) transportFor(call Call) *httpanswer.Transport {
	if call.Idempotent {
		return c.pooled
	}
	return c.unpooled
}

// newRequest returns the request of a call, and a flag that is set once the request
// has got a connection.
func newRequest(ctx context.Context, call Call) (*http.Request, *atomic.Bool, error) {
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, strings.NewReader(string(call.Body)))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(wire.HeaderAttempt, call.Nonce)
	return req, connected, nil
}

// classifySendError returns the failure of an attempt without an answer. Without a
// connection no byte was written. With one the request may have run, even if the
// attempt was cancelled.
func classifySendError(ctx context.Context, err error, connected bool) *Failure {
	switch {
	case !connected:
		return &Failure{Result: decision.AttemptNotRun, Err: err}
	case ctx.Err() != nil:
		return &Failure{Result: decision.AttemptUnknown, Err: ctx.Err()}
	case isConnectionLost(err):
		return &Failure{Result: decision.AttemptCrashed, Err: err}
	default:
		return &Failure{Result: decision.AttemptUnknown, Err: err}
	}
}

// isConnectionLost reports whether the backend server's side closed or reset the
// connection, as happens when its process dies.
func isConnectionLost(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && !op.Timeout() {
		return true
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// checkResponse accepts an answer only if it echoes the attempt's nonce. That also
// holds for a refusal by the backend server: "not run" for another attempt says
// nothing about this one.
func checkResponse(resp *http.Response, call Call) error {
	if resp.Header.Get(wire.HeaderAttempt) != call.Nonce {
		return &Failure{Result: decision.AttemptUnknown, WrongNonce: true, Err: errWrongNonce}
	}
	if resp.Header.Get(wire.HeaderNotRun) == "true" {
		return &Failure{
			Result:     decision.AttemptNotRun,
			Leaving:    resp.Header.Get(wire.HeaderLeaving) == "true",
			RetryAfter: resp.Header.Get("Retry-After"),
			Err:        errRefused,
		}
	}
	return nil
}

// DiscardRest reads what follows a stream's end marker, so that the connection can
// be reused: net/http closes the connection of an answer that was not read to its
// end. If the answer does not end shortly after the marker, the connection is
// closed.
func DiscardRest(resp *http.Response) {
	timer := time.AfterFunc(discardTimeout, func() { resp.Body.Close() })
	defer timer.Stop()
	// The answer is complete already; neither data nor errors matter here.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
}

// ReadAll reads a whole answer. reserve is called with the bytes that it needs more and
// reports whether there is room. ReadAll returns a *Failure if the answer breaks off, exceeds
// MaxAnswerBytes or has no room.
func ReadAll(ctx context.Context, resp *http.Response, reserve func(int64) bool) ([]byte, error) {
	const firstBuffer = 4 << 10
	body, err := connlimit.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1), firstBuffer, reserve)
	if errors.Is(err, ErrNoRoom) {
		return nil, &Failure{Result: decision.AttemptFailed, Err: err}
	}
	if err != nil {
		return nil, ClassifyReadError(ctx, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, &Failure{Result: decision.AttemptFailed, Err: errTooLarge}
	}
	return body, nil
}

// ClassifyReadError returns the failure of an attempt whose answer broke off. The
// request was started; how far it ran is unknown.
func ClassifyReadError(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return &Failure{Result: decision.AttemptUnknown, Err: ctx.Err()}
	}
	if isConnectionLost(err) {
		return &Failure{Result: decision.AttemptCrashed, Err: err}
	}
	return &Failure{Result: decision.AttemptUnknown, Err: err}
}
