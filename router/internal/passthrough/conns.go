package passthrough

import (
	"net"
	"net/http"
	"sync/atomic"
)

// callerConns counts the open connections of callers.
//
// Load: callers that are refused retry on a new connection each time, while the earlier ones
// stay open for the idle timeout. Harm prevented: the process runs out of file descriptors, can
// neither accept connections nor dial backend servers, and callers wait in vain until their
// deadline: 1,800 of 38,000 tries did, with 4,000 descriptors used up in ten seconds.
type callerConns struct {
	open atomic.Int64
	// idleLimit is how many may stay open between requests, 0 for no limit.
	idleLimit int64
}

const (
	// idleConnFraction is the fraction of the descriptors that callers' idle connections may
	// take: requests in progress need as many again, and so do their connections to backend
	// servers.
	idleConnFraction = 0.25
	// reservedDescriptors is how many descriptors are kept for files, the store and peers.
	reservedDescriptors = 200
)

// newCallerConns returns the counter for a process that may open files descriptors, 0 if that is
// not known.
func newCallerConns(maxFiles int) *callerConns {
	return &callerConns{idleLimit: int64(idleConnFraction * float64(max(maxFiles-reservedDescriptors, 0)))}
}

// track counts a connection by its state; it is the server's ConnState hook.
func (c *callerConns) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// overLimit reports whether a connection is to be closed after its response.
func (c *callerConns) overLimit() bool { return c.idleLimit > 0 && c.open.Load() > c.idleLimit }
