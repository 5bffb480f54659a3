package passthrough

import (
	"net"
	"net/http"
	"sync/atomic"
)

// callerConns counts the open connections of callers.
//
// Load: callers who are refused and come back by another connection each time, while those before
// stay open for as long as an idle one may. Harm prevented: a process without descriptors, which
// neither takes connections nor opens any to backend servers, so that callers wait to their
// deadline for nothing: 1,800 of 38,000 tries, with 4,000 descriptors in ten seconds.
type callerConns struct {
	open atomic.Int64
	// limit is how many may stay open between requests, 0 for any number.
	idleLimit int64
}

const (
	// connsPart is the part of the descriptors that callers' idle connections may take: as many
	// again are needed for those of requests in progress, and for the backend servers' of these.
	idleConnFraction = 0.25
	// reservedFiles is how many descriptors are for files, the store and other instances.
	reservedDescriptors = 200
)

// newCallerConns returns the count of a process that may have so many descriptors, 0 where that
// is not known.
func newCallerConns(files int) *callerConns {
	return &callerConns{idleLimit: int64(idleConnFraction * float64(max(files-reservedDescriptors, 0)))}
}

// track is told of each connection's state.
func (c *callerConns) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// crowded says whether a connection is to be closed with its answer.
func (c *callerConns) overLimit() bool { return c.idleLimit > 0 && c.open.Load() > c.idleLimit }
