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
	"masticplank.example/decision/reach"
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
	// permitWaiters is how many requests of peers wait for a permit.
	permitWaiters atomic.Int64

	mu           sync.Mutex
	lastReceived map[processKey]*receiveTimes
	// unreached are the servers to which the latest dial failed; lastDialed is when the latest dial to
	// any server succeeded, zero for never.
	unreached  map[string]bool
	lastDialed time.Time

	// idle are connections that show when a server goes down.
	idle idleConns
}

// newDialer returns a dialer that asks path how to connect, and connects through peers by tunnels.
func newDialer(clock Clock, path pathView, tunnels *tunnel.Dialer) *dialer {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	out := &dialer{clock: clock, net: d, connect: newConnect(d), path: path, tunnels: tunnels, lastReceived: map[processKey]*receiveTimes{}, unreached: map[string]bool{}}
	out.idle.onReset, out.idle.limit = path.reportReset, maxIdleConns
	return out
}

// receiveTimes are when bytes last arrived from a server, on any connection and on direct ones, in Unix nanoseconds of
// the clock; 0 for never.
type receiveTimes struct {
	any, direct atomic.Int64
}

// processKey identifies a process of a server: a server may restart under its id, and the bytes of its new process say nothing
// about requests that were sent to the former one.
type processKey struct {
	id        string
	startTime int64
}

func keyOfProcess(s passthrough.Server) processKey { return processKey{s.ID, s.StartTime} }

// timesOf returns the shared times of the server's process. It creates them if there are none.
func (d *dialer) timesOf(s passthrough.Server) *receiveTimes {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := keyOfProcess(s)
	p := d.lastReceived[k]
	if p == nil {
		p = &receiveTimes{}
		d.lastReceived[k] = p
	}
	return p
}

// retain removes the servers for which keep returns false.
func (d *dialer) retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.lastReceived {
		if !keep(k.id) {
			delete(d.lastReceived, k)
		}
	}
	for id := range d.unreached {
		if !keep(id) {
			delete(d.unreached, id)
		}
	}
	d.idle.retain(keep)
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
	planPath(id string) reach.Plan
	// asksPeers reports whether peers are asked for a connection to the server now.
	asksPeers(id string) bool
	// hasNoWay reports whether requests are refused, as neither this instance nor its peers reach the servers.
	hasNoWay() bool
	// reportDial reports how a connection went.
	reportDial(to passthrough.Server, outcome passthrough.DialOutcome)
	// reportReset reports that a server has reset an idle connection.
	reportReset(of passthrough.Server)
	// keepsIdle reports whether this instance keeps an idle connection to the server.
	keepsIdle(id string) bool
	// pathStanding is what peers are told of this instance's path.
	pathStanding() reach.Standing
	// missesServer reports whether the latest direct connection to the server has failed, a moment ago, or its link is
	// lost.
	missesServer(id string) bool
	// linkLostSince returns since when requests for the server are sent through peers only; ok is false if they
	// are not.
	linkLostSince(id string) (since time.Time, ok bool)
	// otherServer returns a server other than the one to connect to, to tell a lost path from a lost server; ok is
	// false if there is none.
	otherServer(id string) (other passthrough.Server, ok bool)
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
	plan := d.path.planPath(to.ID)
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
		return &conn{ReadWriteCloser: direct, clock: d.clock, server: d.timesOf(to)}, nil
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
func (d *dialer) probe(to passthrough.Server) bool {
	c, err := d.dialDirect(context.Background(), to)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent
	return true
}

// hungAfter is how long after its link was lost a direct connection that carries nothing is given up.
const hungAfter = 300 * time.Millisecond

// directHangs reports whether no direct connection to the server has carried anything since its link was lost,
// hungAfter ago or earlier.
func (d *dialer) directHangs(server passthrough.Server, now time.Time) bool {
	since, lost := d.path.linkLostSince(server.ID)
	return lost && now.Sub(since) > hungAfter && d.timesOf(server).direct.Load() < since.UnixNano()
}

// conn is a connection to a backend server. It records when bytes arrive, for itself and for the server.
type conn struct {
	io.ReadWriteCloser
	// peer is the name of the peer that the connection goes through, empty for none.
	peer   string
	clock  Clock
	server *receiveTimes
	// lastReceived is when bytes last arrived, in Unix nanoseconds of the clock; 0 before the
	// first.
	lastReceived atomic.Int64
}

// Forwarded implements tunnel.Forwarder.
func (c *conn) Forwarded(written int64) int64 { return tunnel.Forwarded(c.ReadWriteCloser, written) }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if n > 0 {
		at := c.clock.Now().UnixNano()
		c.lastReceived.Store(at)
		c.server.any.Store(at)
		if c.peer == "" {
			c.server.direct.Store(at)
		}
	}
	return n, err
}
