package api

import (
	"fmt"
	"io"

	"masticplank.example/decision"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/upstream"
)

// heldMemory is what one request holds of the answers of backend servers. It is reserved at the caller's connection, so that
// all answers in progress together have the bound of the listener. It is not safe for concurrent use.
//
// Load: engines in trouble that send bytes without end, to many requests at once. Harm prevented: each answer stays within
// its own bound, all together take the memory of the process, and the requests of all its callers end with it.
type heldMemory struct {
	// conn is nil for a connection without a bound.
	conn *connlimit.Conn
	n    int64
}

// add reserves n more bytes and reports whether there is room.
func (m *heldMemory) add(n int64) bool {
	if m.conn != nil && !m.conn.ReserveAnswer(n) {
		return false
	}
	m.n += n
	return true
}

// shrink gives back what is held beyond n bytes.
func (m *heldMemory) shrink(n int64) {
	if m.n <= n {
		return
	}
	if m.conn != nil {
		m.conn.Release(m.n - n)
	}
	m.n = n
}

// release gives everything back.
func (m *heldMemory) release() { m.shrink(0) }

// heldReader reserves memory for what is read.
type heldReader struct {
	io.Reader
	held *heldMemory
	// err is not nil once there was no room.
	err error
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(p)
	if !r.held.add(int64(n)) {
		r.err = &upstream.Failure{Result: decision.AttemptFailed, Err: fmt.Errorf("%w: %d bytes more", upstream.ErrNoRoom, n)}
		return 0, r.err
	}
	return n, err
}
