package passthrough

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/tunnel"
)

// connectTimeout is the timeout for connecting to a backend server, which usually takes 1 to 3 ms.
// A lost SYN is sent again only after a second; another server can respond before that.
const connectTimeout = 350 * time.Millisecond

// connectFunc opens a connection.
type connectFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer opens connections to backend servers, one for each attempt, and records when bytes
// last arrived from each server.
type dialer struct {
	clock   Clock
	net     *net.Dialer
	connect connectFunc
	path    pathView
	tunnels *tunnel.Dialer
	// directLastReceived is when bytes last arrived on any connection that does not go through a peer, in
	// Unix nanoseconds of the clock; 0 for never.
	directLastReceived atomic.Int64
	// permitWaiters is how many requests of peers wait for a permit.
	permitWaiters atomic.Int64

	mu           sync.Mutex
	lastReceived map[string]*atomic.Int64
	// unreached are the servers to which the latest dial failed; lastDialed is when the latest dial to
	// any server succeeded, zero for never.
	unreached  map[string]bool
	lastDialed time.Time
}

// newDialer returns a dialer that asks path how to connect, and connects through peers by tunnels.
func newDialer(clock Clock, path pathView, tunnels *tunnel.Dialer) *dialer {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &dialer{clock: clock, net: d, connect: newConnect(d), path: path, tunnels: tunnels, lastReceived: map[string]*atomic.Int64{}, unreached: map[string]bool{}}
}

// lastReceivedFrom returns the shared variable that holds when bytes last arrived from the server, in
// Unix nanoseconds of the clock; 0 for never. It creates the variable if there is none.
func (d *dialer) lastReceivedFrom(server string) *atomic.Int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.lastReceived[server]
	if p == nil {
		p = new(atomic.Int64)
		d.lastReceived[server] = p
	}
	return p
}

// retain removes the servers for which keep returns false.
func (d *dialer) retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.lastReceived {
		if !keep(id) {
			delete(d.lastReceived, id)
		}
	}
	for id := range d.unreached {
		if !keep(id) {
			delete(d.unreached, id)
		}
	}
}

// recordDial records the end of a dial to the server.
func (d *dialer) recordDial(server string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.unreached[server] = true
		return
	}
	delete(d.unreached, server)
	d.lastDialed = d.clock.Now()
}

// reachability returns the number of servers to which the latest dial failed, and the time since a dial
// to any server succeeded; 0 if none has yet.
func (d *dialer) reachability() (unreached int, sinceDialed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastDialed.IsZero() {
		return len(d.unreached), 0
	}
	return len(d.unreached), d.clock.Now().Sub(d.lastDialed)
}

// pathView is what the dialer needs of decision/passthrough.
type pathView interface {
	// planPath says how to connect to a server now.
	planPath() passthrough.PathPlan
	// reportDial reports how a connection went.
	reportDial(to passthrough.Server, outcome passthrough.DialOutcome)
	// pathState returns the state of the path to the servers, and since when it has been so.
	pathState() (passthrough.PathState, time.Time)
	// usableServer returns the listed server with the id and the address, if it may get requests.
	usableServer(id, address string) (passthrough.Server, bool)
	// takePermitForPeer takes a permit at the server for a peer's request, if one is free;
	// releasePermitForPeer gives it back.
	takePermitForPeer(id string) bool
	releasePermitForPeer(of passthrough.Server)
}

// slowDialDelay is the time after which a connection is slow.
const slowDialDelay = 100 * time.Millisecond

var (
	// errNoPath means that neither this instance nor the peers that were asked have a path to the servers.
	errNoPath = errors.New("neither this instance nor its peers have a path to the backend servers")
	// errNoPeer means that this instance has no path to the servers, and that no peer could be asked.
	errNoPeer = errors.New("this instance has no path to the backend servers, and no peer could be asked")
)

// dial opens a connection to the server, through a peer if this instance has no path to the servers. After an
// error, nothing was sent.
func (d *dialer) dial(ctx context.Context, to passthrough.Server) (*conn, error) {
	plan := d.path.planPath()
	if plan.Probe {
		go d.probe(to)
	}
	switch {
	case !plan.Direct && !plan.ViaPeer:
		return nil, errNoPath
	case !plan.Direct:
		return d.dialPeer(ctx, to)
	}
	directCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	fallback := &peerFallback{dialer: d, ctx: ctx, to: to, cancelDirect: cancel}
	slow := time.AfterFunc(slowDialDelay, fallback.directIsSlow)
	direct, err := d.dialDirect(directCtx, to)
	slow.Stop()
	if err == nil || ctx.Err() != nil {
		fallback.abandon()
		if err != nil {
			return nil, err
		}
		return &conn{ReadWriteCloser: direct, clock: d.clock, serverLastReceived: d.lastReceivedFrom(to.ID), directLastReceived: &d.directLastReceived}, nil
	}
	return fallback.directFailed(err)
}

// dialDirect opens a connection from this instance to the server.
func (d *dialer) dialDirect(ctx context.Context, to passthrough.Server) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := d.connect(dialCtx, "tcp", to.Address)
	if ctx.Err() != nil {
		if err == nil {
			_ = c.Close() // nothing was sent
		}
		return nil, ctx.Err()
	}
	d.recordDial(to.ID, err)
	if err != nil {
		d.path.reportDial(to, passthrough.DialFailed)
		return nil, err
	}
	d.path.reportDial(to, passthrough.DialSucceeded)
	return c, nil
}

// probe finds out whether this instance has a path to the server.
func (d *dialer) probe(to passthrough.Server) {
	if c, err := d.dialDirect(context.Background(), to); err == nil {
		_ = c.Close() // nothing was sent
	}
}

// dialPeer opens a connection to the server through a peer.
func (d *dialer) dialPeer(ctx context.Context, to passthrough.Server) (*conn, error) {
	c, err := d.tunnels.Dial(ctx, tunnel.Target{ID: to.ID, Address: to.Address})
	switch {
	case err == nil:
		d.path.reportDial(to, passthrough.TunnelSucceeded)
		return &conn{ReadWriteCloser: c, peer: c.Peer(), clock: d.clock, serverLastReceived: d.lastReceivedFrom(to.ID)}, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, tunnel.ErrUnreachable):
		d.path.reportDial(to, passthrough.TunnelFailed)
		return nil, err
	case errors.Is(err, tunnel.ErrNoPath):
		d.path.reportDial(to, passthrough.PeersCutOff)
		return nil, errNoPath
	}
	return nil, errNoPeer
}

// errNoPermit means that no peer had a free permit for the server.
var errNoPermit = errors.New("no peer has a free permit for the backend server")

// dialWithPermit opens a connection to the server through one of the peers that have permits for it.
func (d *dialer) dialWithPermit(ctx context.Context, to passthrough.Server, peers []string) (*conn, error) {
	c, err := d.tunnels.DialWithPermit(ctx, tunnel.Target{ID: to.ID, Address: to.Address, NeedsPermit: true}, peers)
	switch {
	case err == nil:
		return &conn{ReadWriteCloser: c, peer: c.Peer(), clock: d.clock, serverLastReceived: d.lastReceivedFrom(to.ID)}, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, errNoPermit
}

const (
	// permitWait is how long a peer's request waits for a free permit: two requests of a plain service.
	permitWait = 60 * time.Millisecond
	// permitPollInterval is the time between two checks for one.
	permitPollInterval = 4 * time.Millisecond
	// maxPermitWaiters is how many requests of peers wait at a time.
	maxPermitWaiters = 32
)

// awaitPermit takes a permit for a peer's request, and waits for one if all are in use.
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

// connectForPeer connects to a server for a peer. It implements tunnel.Server.Connect.
func (d *dialer) connectForPeer(ctx context.Context, to tunnel.Target) (net.Conn, error) {
	server, ok := d.path.usableServer(to.ID, to.Address)
	if !ok {
		return nil, tunnel.ErrDeclined
	}
	if state, _ := d.path.pathState(); state != passthrough.PathUp {
		return nil, tunnel.ErrNoPath
	}
	release := func() {}
	if to.NeedsPermit {
		if !d.awaitPermit(ctx, to.ID) {
			return nil, tunnel.ErrNoPermit
		}
		release = func() { d.path.releasePermitForPeer(server) }
	}
	c, err := d.dialDirect(ctx, server)
	if err != nil {
		release()
		if state, _ := d.path.pathState(); state != passthrough.PathUp {
			return nil, tunnel.ErrNoPath
		}
		return nil, tunnel.ErrUnreachable
	}
	if _, ok := d.path.usableServer(to.ID, to.Address); !ok {
		release()
		_ = c.Close() // nothing was sent
		return nil, tunnel.ErrDeclined
	}
	return &permitConn{Conn: c, release: release}, nil
}

// hungAfter is how long after the path was lost a direct connection that carries nothing is given up.
const hungAfter = 300 * time.Millisecond

// directHangs reports whether no direct connection has carried anything since the path to the servers was lost,
// hungAfter ago or earlier.
func (d *dialer) directHangs(now time.Time) bool {
	state, since := d.path.pathState()
	return state == passthrough.PathLost && now.Sub(since) > hungAfter && d.directLastReceived.Load() < since.UnixNano()
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
	if f.dialer.path.planPath().ViaPeer {
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
	if f.dialer.path.planPath().ViaPeer {
		f.askPeer()
	}
	f.mu.Lock()
	result := f.result
	f.mu.Unlock()
	if result == nil {
		return nil, err
	}
	got := <-result
	if errors.Is(got.err, errNoPeer) {
		return nil, err // there is nothing to compare with
	}
	return got.conn, got.err
}

// conn is a connection to a backend server. It records when bytes arrive, for itself and for the
// server, and for all direct connections.
type conn struct {
	io.ReadWriteCloser
	// peer is the name of the peer that the connection goes through, empty for none.
	peer               string
	clock              Clock
	serverLastReceived *atomic.Int64
	directLastReceived *atomic.Int64
	// lastReceived is when bytes last arrived, in Unix nanoseconds of the clock; 0 before the
	// first.
	lastReceived atomic.Int64
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if n > 0 {
		at := c.clock.Now().UnixNano()
		c.lastReceived.Store(at)
		c.serverLastReceived.Store(at)
		if c.directLastReceived != nil {
			c.directLastReceived.Store(at)
		}
	}
	return n, err
}
