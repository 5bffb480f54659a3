// Package upstream carries one attempt to a backend server and back.
//
// It alone decides how an attempt ended, by what is provable: an attempt counts
// as not run only where no connection was had, so that no byte was written, or
// where the backend server's own protocol says that it refused. Everything else
// that broke may have run.
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
	"masticplank.example/router/internal/wire"
)

const (
	// dialTimeout bounds the wait for a connection; loopback and one failure
	// domain to the next take milliseconds, so a second means a dead server.
	dialTimeout = time.Second
	// idleConns per backend server: as many as requests that one may run.
	maxIdleConns = 256
	// idleTimeout closes connections before a backend server's own limit.
	idleTimeout = 30 * time.Second
	// finishTime and finishBytes bound what is read after a stream's end mark:
	// only the end of the chunked encoding should come.
	discardTimeout  = 50 * time.Millisecond
	maxDiscardBytes = 4096
	// MaxAnswer bounds a plain answer that is read whole, in bytes.
	MaxAnswerBytes = 16 << 20
)

// Call is one attempt.
type Call struct {
	Method string
	// URL is the whole address, such as http://10.0.0.7:8000/v1/chat/completions.
	URL    string
	Header http.Header
	Body   []byte
	// Nonce identifies the attempt; the answer must echo it.
	Nonce string
	// Idempotent calls may share connections. Others get a new connection each:
	// net/http sends a request that carries an Idempotency-Key again by itself
	// when a kept connection breaks, which would run it twice.
	Idempotent bool
}

// Failure says how an attempt ended that brought no whole answer.
type Failure struct {
	Result decision.AttemptResult
	// Leaving is set when the backend server refused because it is leaving.
	Leaving bool
	// WrongNonce is set when the answer was for another attempt.
	WrongNonce bool
	// RetryAfter is the backend server's own word, in seconds.
	RetryAfter string
	Err        error
}

// Error describes the failure.
func (f *Failure) Error() string {
	if f.Err == nil {
		return "attempt failed"
	}
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Errors that stand as the cause of a Failure.
var (
	errWrongNonce = errors.New("answer carries another attempt's nonce")
	errRefused    = errors.New("backend server refused before running")
	errTooLarge   = errors.New("answer is larger than the limit")
)

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// DialFunc connects to a backend server; (*net.Dialer).DialContext is one.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client for plaintext backend servers.
func NewClient() *Client {
	return NewClientWith((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWith is NewClient over other connections than TCP, for tests.
func NewClientWith(dial DialFunc) *Client {
	return &Client{pooled: newTransport(dial, false), unpooled: newTransport(dial, true)}
}

func newTransport(dial DialFunc, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send writes the call and returns the answer once its header came and proved
// to be this attempt's. The caller must close the body. The error is always a
// *Failure.
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

func (c *Client) transportFor(call Call) *http.Transport {
	if call.Idempotent {
		return c.pooled
	}
	return c.unpooled
}

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

// sendFailure judges an attempt without an answer. Without a connection no byte
// was written. With one the request may have run, also when it was cancelled.
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

// isCrash says whether the backend server's side of the connection went away,
// as it does when the process dies.
func isConnectionLost(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && !op.Timeout() {
		return true
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// checkAnswer accepts an answer only with this attempt's nonce. A refusal by
// the backend server counts as one only under the same nonce: another attempt's
// "not run" says nothing about this one.
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

// Finish reads what follows a stream's end mark, so that the connection can be
// used again: net/http closes one whose answer was not read to its end. An engine
// that does not end its answer after the mark loses the connection.
func DiscardRest(resp *http.Response) {
	timer := time.AfterFunc(discardTimeout, func() { resp.Body.Close() })
	defer timer.Stop()
	// What comes here, and whether it comes, changes nothing about the answer.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
}

// ReadAll reads a plain answer whole. An answer that breaks off, or exceeds
// MaxAnswer, is a Failure.
func ReadAll(ctx context.Context, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, ClassifyReadError(ctx, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, &Failure{Result: decision.AttemptFailed, Err: errTooLarge}
	}
	return body, nil
}

// ReadFailure judges an answer that broke off. It ran, and how far is unknown.
func ClassifyReadError(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return &Failure{Result: decision.AttemptUnknown, Err: ctx.Err()}
	}
	if isConnectionLost(err) {
		return &Failure{Result: decision.AttemptCrashed, Err: err}
	}
	return &Failure{Result: decision.AttemptUnknown, Err: err}
}
