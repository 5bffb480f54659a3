package tunnel

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a tunnel: what is written goes to the backend server, and what that sends is read. Once it is
// open, the server may have got what was written.
type Conn struct {
	peers   *Peers
	through *peer
	won     *gate
	// began is when the peer was asked.
	began time.Time

	cancel    context.CancelFunc
	ctx       context.Context
	closeOnce sync.Once
	// reachedPeer is true once the connection to the peer is open.
	reachedPeer atomic.Bool
	// connected is closed once the peer has asked for the body, and so has connected to the server.
	connected     chan struct{}
	connectedOnce sync.Once
	bodyReader    *io.PipeReader
	bodyWriter    *io.PipeWriter
	// answered is closed once response and err are set.
	answered chan struct{}
	response *http.Response
	err      error
}

// gate lets one of several tunnels through.
type gate struct {
	mu     sync.Mutex
	closed bool
	winner *Conn
}

// enter reports whether c is the one that is let through.
func (g *gate) enter(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed && g.winner == nil {
		g.winner = c
	}
	return g.winner == c
}

// close lets no other tunnel through.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// errLost means that another peer was faster.
var errLost = errors.New("another peer has opened the tunnel")

func newConn(peers *Peers, through *peer, won *gate) *Conn {
	c := &Conn{peers: peers, through: through, won: won, began: peers.now(), connected: make(chan struct{}), answered: make(chan struct{})}
	c.bodyReader, c.bodyWriter = io.Pipe()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	peers.began(through)
	return c
}

// Peer returns the name of the peer.
func (c *Conn) Peer() string { return c.through.name }

// open asks the peer for the tunnel and waits until it is open or refused.
func (c *Conn) open(transport http.RoundTripper, to Target) error {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.reachedPeer.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(c.ctx, trace), http.MethodPost, "http://"+c.through.address+path+"?"+to.query(), &requestBody{conn: c})
	if err != nil {
		return err
	}
	req.Header.Set("Expect", "100-continue")
	go func() {
		c.response, c.err = transport.RoundTrip(req)
		if c.err == nil && mayAskAgain(c.response.StatusCode) {
			c.peers.answered(c.through, openTunnels(c.response.Header))
		}
		close(c.answered)
	}()
	select {
	case <-c.connected:
	case <-c.answered:
		if c.err != nil {
			return c.err
		}
		_ = c.response.Body.Close()
		return statusError(c.response.StatusCode)
	}
	if !c.won.enter(c) {
		return errLost
	}
	return nil
}

// heard reports whether the peer has given any answer.
func (c *Conn) heard() bool {
	select {
	case <-c.connected:
		return true
	case <-c.answered:
		return true
	default:
		return false
	}
}

// requestBody is the body of the request to the peer. Its first read means that the peer has connected to
// the server.
type requestBody struct{ conn *Conn }

func (b *requestBody) Read(p []byte) (int, error) {
	c := b.conn
	c.connectedOnce.Do(func() { close(c.connected) })
	return c.bodyReader.Read(p)
}

func (b *requestBody) Close() error { return b.conn.bodyReader.CloseWithError(ErrPeerLost) }

// Write sends data to the server.
func (c *Conn) Write(p []byte) (int, error) { return c.bodyWriter.Write(p) }

// Read reads what the server sends. It returns io.EOF at the orderly end of the server's connection, ErrReset
// if the server broke it, and ErrPeerLost if the connection to the peer broke.
func (c *Conn) Read(p []byte) (int, error) {
	select {
	case <-c.answered:
	case <-c.ctx.Done():
		return 0, ErrPeerLost
	}
	if c.err != nil || c.response.StatusCode != http.StatusOK {
		return 0, ErrPeerLost
	}
	n, err := c.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, ErrPeerLost
	}
	switch c.response.Trailer.Get(trailerEnd) {
	case endClosed:
		return n, io.EOF
	case endReset:
		return n, ErrReset
	}
	return n, ErrPeerLost
}

// Close ends the tunnel; the peer closes its connection to the server.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.bodyWriter.CloseWithError(ErrPeerLost)
		_ = c.bodyReader.Close()
		c.peers.ended(c.through)
	})
	return nil
}

// mayAskAgain reports whether a peer that gave a response with the status has a path and room.
func mayAskAgain(status int) bool {
	return status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout
}
