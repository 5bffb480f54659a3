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

// Transport checks the answers of an http.Transport. It implements http.RoundTripper.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that sends requests by base and checks their answers.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

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
	return t.base.DialContext(ctx, network, address)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := &requestWrite{}
	w.begin()
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.begin() }, // net/http may send a request again
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
