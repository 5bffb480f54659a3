package tunnel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/httpanswer"
)

const (
	// peersAsked is how many peers are asked for one tunnel; the next one is asked after hedgeDelay, as a
	// peer that has just been cut off itself gives no answer. openTimeout bounds the whole.
	peersAsked  = 4
	hedgeDelay  = 100 * time.Millisecond
	openTimeout = 600 * time.Millisecond
	// silentPeerTimeout is how long a peer takes at most to say that it cannot connect to a server.
	silentPeerTimeout = 400 * time.Millisecond
	// enoughPeers is how many peers must fail to connect to a server for no other one to be asked.
	enoughPeers = 2
)

// Dialer opens tunnels through peers.
type Dialer struct {
	peers     *Peers
	net       *net.Dialer
	transport *httpanswer.Transport
	search    *searcher
	// FindPeers is called, often, while few peers are known; it must not block.
	FindPeers func()
	// OnNoPath is called when a search has found no peer with a path, with the number of peers that are known.
	OnNoPath func(known int)
}

// NewDialer returns a dialer that uses the peers.
func NewDialer(peers *Peers) *Dialer {
	d := &net.Dialer{Timeout: openTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	out := &Dialer{
		peers: peers, net: d, FindPeers: func() {}, OnNoPath: func(int) {},
		transport: httpanswer.NewTransport(&http.Transport{
			DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeadBytes,
			// The body is never sent before the peer asks for it.
			ExpectContinueTimeout: time.Hour,
		}),
	}
	out.search = &searcher{peers: peers, transport: out.transport, findPeers: func() { out.FindPeers() }, onExhausted: func(known int) { out.OnNoPath(known) }}
	return out
}

// BoundUnread sets the size of the receive buffers of the connections to peers, in bytes. It must be called before any other
// method.
func (d *Dialer) BoundUnread(size int) {
	bound := connlimit.BoundDialed(size)
	d.net.Control = func(network, address string, c syscall.RawConn) error {
		if err := bound(network, address, c); err != nil {
			return err
		}
		return setUserTimeout(network, address, c)
	}
}

// Dial opens a tunnel to the backend server. The first peer that has connected to it is used. After an error,
// nothing was sent to the server: ErrUnreachable if a peer with a path could not connect to it, ErrDeclined if a
// peer does not send to it, ErrNoPath if a search has found none with a path, else ErrNoPeer, or ctx's error.
func (d *Dialer) Dial(ctx context.Context, to Target) (*Conn, error) {
	timeout, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for {
		peers, err := d.peersFor(timeout, to)
		if err == nil {
			var c *Conn
			if c, err = d.dialThrough(timeout, to, peers); err == nil {
				return c, nil
			}
			// These peers have no path either; others may.
			if (errors.Is(err, ErrNoPath) || errors.Is(err, ErrDoubtful)) && timeout.Err() == nil {
				continue
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
}

// peersFor returns the peers to ask for the tunnel. While none is known to have a path, it waits for the search.
func (d *Dialer) peersFor(ctx context.Context, to Target) ([]*peer, error) {
	for {
		progress := d.search.want()
		switch c := d.peers.candidatesFor(to.ID); {
		case len(c.peers) > 0:
			return c.peers, nil
		case c.exhausted:
			return nil, ErrNoPath
		case c.unreachable:
			return nil, ErrUnreachable
		case c.usable == 0, c.full:
			d.FindPeers()
			return nil, ErrNoPeer
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return nil, ErrNoPeer
		}
	}
}

// dialThrough opens the tunnel through one of the peers.
func (d *Dialer) dialThrough(ctx context.Context, to Target, peers []*peer) (*Conn, error) {
	r := &race{dialer: d, to: to, results: make(chan result, peersAsked)}
	defer r.abandon()
	failure := ErrNoPeer
	pending, unreachable := 0, 0
	for {
		if len(peers) > 0 {
			r.start(peers[0])
			peers, pending = peers[1:], pending+1
		}
		if pending == 0 {
			return nil, failure
		}
		hedge := time.NewTimer(hedgeDelay)
		select {
		case got := <-r.results:
			pending--
			if got.err == nil {
				hedge.Stop()
				r.returned = got.conn
				return got.conn, nil
			}
			failure = moreSpecific(failure, got.err)
			if errors.Is(got.err, ErrUnreachable) {
				if unreachable++; unreachable == enoughPeers {
					peers = nil
				}
			}
		case <-hedge.C:
		case <-ctx.Done():
			hedge.Stop()
			return nil, failure
		}
		hedge.Stop()
	}
}

// moreSpecific returns that of the two failures which says more about the backend server. failure is one that
// Dial returns, err any.
func moreSpecific(failure, err error) error {
	for _, specific := range []error{ErrUnreachable, ErrDeclined, ErrNoPath, ErrDoubtful} {
		if failure == specific || errors.Is(err, specific) {
			return specific
		}
	}
	return ErrNoPeer
}

const (
	// permitTimeout bounds the opening of a tunnel with a permit through one peer, which may open another one itself.
	permitTimeout = 400 * time.Millisecond
	// permitPeersAsked is how many peers are asked for one such tunnel.
	permitPeersAsked = 5
)

// DialWithPermit opens a tunnel to the backend server through the first of the named peers that has a free
// permit for it. The peers are asked one after the other, so that the request holds one permit at most; if none of them
// has one, the first waits for it. After an error, nothing was sent to the server: ErrDeclined if no peer that was asked
// sends to it, ErrNoPermit if none has a free permit, or ctx's error.
func (d *Dialer) DialWithPermit(ctx context.Context, to Target, names []string) (*Conn, error) {
	peers := d.peers.named(names)
	peers = peers[:min(permitPeersAsked, len(peers))]
	declined := 0
	var full []*peer
	to.WaitsForPermit = false
	for _, through := range peers {
		c, err := d.openWithPermit(ctx, to, through)
		switch {
		case err == nil:
			return c, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, ErrDeclined):
			declined++
		case errors.Is(err, ErrNoPermit):
			full = append(full, through)
		}
	}
	if len(full) > 0 {
		to.WaitsForPermit = true
		c, err := d.openWithPermit(ctx, to, full[0])
		if err == nil || ctx.Err() != nil {
			return c, ctx.Err()
		}
	}
	if declined > 0 && declined == len(peers) {
		return nil, ErrDeclined
	}
	return nil, ErrNoPermit
}

// openWithPermit opens a tunnel through the peer if it has a free permit. A peer that cannot open one otherwise is left
// alone for a time.
func (d *Dialer) openWithPermit(ctx context.Context, to Target, through *peer) (*Conn, error) {
	c := newConn(d.peers, through, &gate{})
	opened := make(chan error, 1)
	go func() { opened <- c.open(d.transport, to) }()
	timeout, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var err error
	select {
	case err = <-opened:
	case <-timeout.Done():
		err = timeout.Err()
	}
	if err == nil {
		return c, nil
	}
	_ = c.Close()
	switch {
	case errors.Is(err, ErrDeclined), errors.Is(err, ErrNoPermit):
	case errors.Is(err, ErrNoPath), errors.Is(err, ErrUnreachable), errors.Is(err, ErrDoubtful), errors.Is(err, ErrNoPeer):
		d.peers.pause(through)
	case errors.Is(err, context.DeadlineExceeded) && c.reachedPeer.Load():
		d.peers.pause(through) // it runs, but it, or the peer that it asks, is slow
	default:
		d.peers.failed(through)
	}
	return nil, err
}

// race is the opening of one tunnel through several peers.
type race struct {
	dialer  *Dialer
	to      Target
	results chan result
	opened  []*Conn
	won     gate
	// returned is the tunnel that is used, nil for none.
	returned *Conn
}

// result is the end of the opening through one peer.
type result struct {
	conn *Conn
	err  error
}

func (r *race) start(through *peer) {
	c := newConn(r.dialer.peers, through, &r.won)
	r.opened = append(r.opened, c)
	go func() {
		err := c.open(r.dialer.transport, r.to)
		r.dialer.peers.observe(through, r.to.ID, err)
		switch {
		case err == nil:
		case errors.Is(err, ErrUnreachable), errors.Is(err, ErrDoubtful), errors.Is(err, ErrNoPath), errors.Is(err, ErrDeclined), errors.Is(err, ErrNoPermit), errors.Is(err, errLost), errors.Is(err, context.Canceled):
		case errors.Is(err, ErrNoPeer):
			r.dialer.peers.pause(through)
		default:
			r.dialer.peers.failed(through)
		}
		r.results <- result{c, err}
	}()
}

// abandon ends all openings but the one that is used. A peer that has been silent meanwhile is not asked for a
// time: it has no power, or has lost its own path and not noticed.
func (r *race) abandon() {
	r.won.close()
	maxSilence := silentPeerTimeout
	if r.returned != nil {
		maxSilence = hedgeDelay // another peer has reached the server
	}
	peers := r.dialer.peers
	for _, c := range r.opened {
		if c == r.returned {
			continue
		}
		if !c.heard() && peers.now().Sub(c.began) >= maxSilence {
			peers.failed(c.through)
		}
		_ = c.Close()
	}
}

// statusError returns the error for a peer's response that refuses a tunnel.
func statusError(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrDeclined
	case http.StatusBadGateway:
		return ErrUnreachable
	case http.StatusTooManyRequests:
		return ErrNoPermit
	case http.StatusGatewayTimeout:
		return ErrNoPath
	case http.StatusFailedDependency:
		return ErrDoubtful
	}
	return ErrNoPeer
}

// openTunnels returns the number of tunnels that a peer states, 0 for none.
func openTunnels(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerOpen))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
