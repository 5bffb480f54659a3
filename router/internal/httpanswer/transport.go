package httpanswer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxWriteWait is how long the end of a request's writing is waited for once its connection has ended, which ends the
// writing too.
const maxWriteWait = time.Second

var errStillWriting = errors.New("the request is still being written")

// Transport checks the answers of an http.Transport without TLS. It implements http.RoundTripper.
type Transport struct {
	base *http.Transport
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// defaultMaxHeadBytes bounds the heads of a transport that states no bound.
const defaultMaxHeadBytes = 1 << 20

// NewTransport returns a transport that sends requests by base, which it changes, and checks their answers.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{base: base, dial: base.DialContext}
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	maxBytes := defaultMaxHeadBytes
	if base.MaxResponseHeaderBytes > 0 {
		maxBytes = int(base.MaxResponseHeaderBytes)
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, heads: NewHeadReader(c, maxBytes)}, nil
	}
	return t
}

// checkedConn is a connection whose answers are checked.
type checkedConn struct {
	net.Conn
	heads *HeadReader
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.heads.Read(p) }

// NewClient returns a client with the defaults of net/http and a timeout, which checks the answers.
func NewClient(timeout time.Duration) *http.Client {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{} // a test has replaced it
	}
	return &http.Client{Transport: NewTransport(base.Clone()), Timeout: timeout}
}

// DialContext connects as requests do.
func (t *Transport) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return t.dial(ctx, network, address)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := &requestWrite{}
	w.begin()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.begin() // net/http may send a request again
			if c, ok := info.Conn.(*checkedConn); ok {
				c.heads.Expect()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { w.end(info.Err) },
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckEnd(resp, w.result)
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// requestWrite is the writing of a request. It is safe for concurrent use.
type requestWrite struct {
	mu    sync.Mutex
	ended chan struct{}
	err   error
}

// begin records that the writing begins.
func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.err = make(chan struct{}), nil
}

// end records the end of the writing.
func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
	default:
		w.err = err
		close(w.ended)
	}
}

// result waits for the end of the writing, for maxWriteWait at most, and returns its error.
func (w *requestWrite) result() error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(maxWriteWait):
		return errStillWriting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
