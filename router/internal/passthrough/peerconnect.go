package passthrough

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/tunnel"
)

const (
	// permitWait is how long a peer's request waits for a free permit: two requests of a plain service.
	permitWait = 60 * time.Millisecond
	// permitPollInterval is the time between two checks for one.
	permitPollInterval = 4 * time.Millisecond
	// maxPermitWaiters is how many requests of peers wait at a time.
	maxPermitWaiters = 32
)

// takePermit takes a permit for a peer's request, and waits for one if the request does.
func (d *dialer) takePermit(ctx context.Context, to tunnel.Target) bool {
	if !to.WaitsForPermit {
		return d.path.takePermitForPeer(to.ID)
	}
	return d.awaitPermit(ctx, to.ID)
}

// awaitPermit takes a permit for a peer's request, and waits for one if there is none.
func (d *dialer) awaitPermit(ctx context.Context, server string) bool {
	defer d.permitWaiters.Add(-1)
	if d.permitWaiters.Add(1) > maxPermitWaiters {
		return false
	}
	for end := d.clock.Now().Add(permitWait); ; {
		if d.path.takePermitForPeer(server) {
			return true
		}
		if ctx.Err() != nil || !d.clock.Now().Before(end) {
			return false
		}
		time.Sleep(permitPollInterval)
	}
}

// permitConn is a connection for a peer's request. It gives its permit back when it is closed.
type permitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *permitConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// Forwarded implements tunnel.Forwarder.
func (c *permitConn) Forwarded(written int64) int64 { return tunnel.Forwarded(c.Conn, written) }

// connectForPeer connects to a server for a peer. It implements tunnel.Server.Connect.
func (d *dialer) connectForPeer(ctx context.Context, to tunnel.Target) (net.Conn, error) {
	server, ok := d.path.usableServer(to.ID, to.Address)
	if !ok {
		return nil, tunnel.ErrDeclined
	}
	if !to.NeedsPermit {
		if err := d.offersPath(server); err != nil {
			return nil, err
		}
	}
	release := func() {}
	if to.NeedsPermit {
		if !d.takePermit(ctx, to) {
			return nil, tunnel.ErrNoPermit
		}
		release = func() { d.path.releasePermitForPeer(server) }
	}
	connect := d.connectDirectly
	if to.NeedsPermit {
		connect = d.connectAnyWay
	}
	c, err := connect(ctx, server)
	if err != nil {
		release()
		return nil, err
	}
	if _, ok := d.path.usableServer(to.ID, to.Address); !ok {
		release()
		_ = c.Close() // nothing was sent
		return nil, tunnel.ErrDeclined
	}
	return &permitConn{Conn: c, release: release}, nil
}

// offersPath returns nil if this instance may reach the server for a peer, else what the peer is told.
func (d *dialer) offersPath(to passthrough.Server) error {
	switch {
	case d.path.pathStanding() == reach.None:
		return tunnel.ErrNoPath
	case d.path.missesServer(to.ID):
		return d.unreachable()
	}
	return nil
}

// unreachable is what a peer is told of a server that this instance could not connect to.
func (d *dialer) unreachable() error {
	switch d.path.pathStanding() {
	case reach.None:
		return tunnel.ErrNoPath
	case reach.Doubtful:
		return tunnel.ErrDoubtful
	}
	return tunnel.ErrUnreachable
}

// connectDirectly connects to the server from this instance.
func (d *dialer) connectDirectly(ctx context.Context, to passthrough.Server) (net.Conn, error) {
	c, err := d.dialDirect(ctx, to)
	if err != nil {
		return nil, d.unreachable()
	}
	return c, nil
}

// connectAnyWay connects to the server from this instance, or through a peer with a path.
//
// Load: permits that belong to instances without a path, most of a failure domain or of the fleet. Harm prevented: their
// callers, and those of others, are refused although servers have room. Passing the permit on by itself would save a hop,
// but the holder could not tell when the request ends if it loses the peer, and would use a slot twice.
func (d *dialer) connectAnyWay(ctx context.Context, to passthrough.Server) (net.Conn, error) {
	c, err := d.dial(ctx, to)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errNoPath) && !errors.Is(err, errNoPeer) && !errors.Is(err, errDeclined) {
		c, err = d.dialPeer(ctx, to) // the direct connection has failed, and nothing is known of the path yet
	}
	switch {
	case err == nil:
		return &forwardedConn{ReadWriteCloser: c}, nil
	case errors.Is(err, errDeclined):
		return nil, tunnel.ErrDeclined
	case errors.Is(err, errNoPath), errors.Is(err, errNoPeer):
		return nil, tunnel.ErrNoPath
	}
	return nil, tunnel.ErrUnreachable
}

// reachesOthers reports whether this instance reaches another server than the one, whose connection has broken.
func (d *dialer) reachesOthers(id string) bool {
	other, ok := d.path.otherServer(id)
	if !ok {
		return true // there is nothing to compare with
	}
	if standing := d.path.pathStanding(); standing == reach.None || standing == reach.Doubtful {
		return false
	}
	return d.probe(other)
}

// forwardedConn is a connection to a server, direct or through a peer, of which only reading, writing and closing are
// used.
type forwardedConn struct {
	net.Conn
	io.ReadWriteCloser
}

// Read implements net.Conn.
func (c *forwardedConn) Read(p []byte) (int, error) { return c.ReadWriteCloser.Read(p) }

// Write implements net.Conn.
func (c *forwardedConn) Write(p []byte) (int, error) { return c.ReadWriteCloser.Write(p) }

// Close implements net.Conn.
func (c *forwardedConn) Close() error { return c.ReadWriteCloser.Close() }

// Forwarded implements tunnel.Forwarder.
func (c *forwardedConn) Forwarded(written int64) int64 {
	return tunnel.Forwarded(c.ReadWriteCloser, written)
}
