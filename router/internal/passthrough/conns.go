package passthrough

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"masticplank.example/router/internal/connlimit"
)

// callerConns counts the open connections of callers.
//
// Load: callers that are refused retry on a new connection each time, while the earlier ones
// stay open for the idle timeout. Harm prevented: the process runs out of file descriptors, can
// neither accept connections nor dial backend servers, and callers wait in vain until their
// deadline. 4,000 descriptors can be used up within ten seconds, and up to 5 in 100 requests then
// wait in vain (1,800 of 38,000).
type callerConns struct {
	open atomic.Int64
	// idleLimit is how many may stay open between requests, 0 for no limit.
	idleLimit int64

	mu sync.Mutex
	// active are the connections on which a request is read or answered.
	active map[net.Conn]struct{}
}

const (
	// idleConnFraction is the fraction of the unreserved descriptors that idle connections of
	// callers may use. Requests in progress need as many, and so do their connections to
	// backend servers; the rest is a margin.
	idleConnFraction = 0.25
	// reservedDescriptors is how many descriptors are kept for files, the store and peers.
	reservedDescriptors = 200
)

// newCallerConns returns a counter for a process that may open at most maxFiles file descriptors;
// 0 means unknown, and sets no limit.
func newCallerConns(maxFiles int) *callerConns {
	return &callerConns{active: map[net.Conn]struct{}{}, idleLimit: int64(idleConnFraction * float64(max(maxFiles-reservedDescriptors, 0)))}
}

// track counts a connection by its state; it is the server's ConnState hook.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.setActive(conn, state == http.StateActive)
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

func (c *callerConns) setActive(conn net.Conn, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active {
		c.active[conn] = struct{}{}
	} else {
		delete(c.active, conn)
	}
}

// activeCount returns on how many connections a request is read or answered.
func (c *callerConns) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// resetOnClose lets the caller's connection end with a reset instead of an orderly end.
func resetOnClose(ctx context.Context) {
	if c := connlimit.FromContext(ctx); c != nil {
		_ = c.SetLinger(0) // fails only for a connection that is closed already
	}
}

// overLimit reports whether a connection is to be closed after its response.
func (c *callerConns) overLimit() bool { return c.idleLimit > 0 && c.open.Load() > c.idleLimit }
