package passthrough

import (
	"context"
	"errors"
	"sync"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/tunnel"
)

// dialPeer opens a connection to the server through a peer.
func (d *dialer) dialPeer(ctx context.Context, to passthrough.Server) (*conn, error) {
	c, err := d.tunnels.Dial(ctx, tunnel.Target{ID: to.ID, Address: to.Address})
	switch {
	case err == nil:
		d.path.reportDial(to, passthrough.TunnelSucceeded)
		return &conn{ReadWriteCloser: c, peer: c.Peer(), clock: d.clock, server: d.timesOf(to)}, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, tunnel.ErrUnreachable):
		d.path.reportDial(to, passthrough.TunnelFailed)
		return nil, err
	case errors.Is(err, tunnel.ErrNoPath):
		d.path.reportDial(to, passthrough.PeersCutOff)
		return nil, errNoPath
	case errors.Is(err, tunnel.ErrDeclined):
		return nil, errDeclined
	}
	return nil, errNoPeer
}

var (
	// errNoPermit means that no peer had a free permit for the server.
	errNoPermit = errors.New("no peer has a free permit for the backend server")
	// errDeclined means that peers do not send to the server.
	errDeclined = errors.New("peers do not send to the backend server: it is leaving, wants no requests for a time, or is not in their lists")
)

// dialWithPermit opens a connection to the server through one of the peers that have permits for it. It returns
// errNoPermit if none of those that were asked has a free one.
func (d *dialer) dialWithPermit(ctx context.Context, to passthrough.Server, peers []string) (*conn, error) {
	c, err := d.tunnels.DialWithPermit(ctx, tunnel.Target{ID: to.ID, Address: to.Address, NeedsPermit: true}, peers)
	switch {
	case err == nil:
		return &conn{ReadWriteCloser: c, peer: c.Peer(), clock: d.clock, server: d.timesOf(to)}, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, tunnel.ErrDeclined):
		return nil, errDeclined
	}
	return nil, errNoPermit
}

// peerFallback opens a connection through a peer if the direct one is slow or fails while the path to the
// servers is suspect.
type peerFallback struct {
	dialer       *dialer
	ctx          context.Context
	to           passthrough.Server
	cancelDirect context.CancelFunc

	mu sync.Mutex
	// result has the peer's connection once it was asked; nil before.
	result chan peerResult
	// unwanted is true once the direct connection is used.
	unwanted bool
}

type peerResult struct {
	conn *conn
	err  error
}

// directIsSlow reports that the direct connection is slow, and asks a peer if the path is suspect.
func (f *peerFallback) directIsSlow() {
	f.dialer.path.reportDial(f.to, passthrough.DialSlow)
	if f.dialer.path.asksPeers(f.to.ID) {
		f.askPeer()
	}
}

// askPeer starts to connect through a peer, unless that has begun.
func (f *peerFallback) askPeer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.result != nil || f.unwanted {
		return
	}
	f.result = make(chan peerResult, 1)
	go func() {
		c, err := f.dialer.dialPeer(f.ctx, f.to)
		if err == nil || errors.Is(err, errNoPath) {
			f.cancelDirect() // nothing was reached for some time, and this connection is slow
		}
		f.result <- peerResult{c, err}
	}()
}

// abandon closes the peer's connection, if there is or will be one, as the direct one is used.
func (f *peerFallback) abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unwanted = true
	if result := f.result; result != nil {
		go func() {
			if got := <-result; got.err == nil {
				_ = got.conn.Close() // nothing was sent
			}
		}()
	}
}

// directFailed returns the peer's connection after the direct one has failed, or the direct one's error if no
// peer is asked or could be.
func (f *peerFallback) directFailed(err error) (*conn, error) {
	if f.dialer.path.asksPeers(f.to.ID) {
		f.askPeer()
	}
	f.mu.Lock()
	result := f.result
	f.mu.Unlock()
	if result == nil {
		return nil, err
	}
	got := <-result
	switch {
	case errors.Is(got.err, errNoPeer) || errors.Is(got.err, errDeclined):
		return nil, err // there is nothing to compare with
	case errors.Is(got.err, errNoPath) && !f.dialer.path.hasNoWay():
		return nil, err // this server may be down, others may be reached
	}
	return got.conn, got.err
}
