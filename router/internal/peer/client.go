package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// connPool keeps one connection to each recently called peer. Safe for
// concurrent use.
type connPool struct {
	tls      *tls.Config
	dialFunc DialFunc
	timeouts Timeouts
	in, out  gometrics.Counter

	mu     sync.Mutex
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

func newConnPool(cfg Config, in, out gometrics.Counter) *connPool {
	dialFunc := cfg.Dial
	if dialFunc == nil {
		dialFunc = (&net.Dialer{}).DialContext
	}
	return &connPool{tls: cfg.TLS, dialFunc: dialFunc, timeouts: cfg.Timeouts, in: in, out: out, conns: map[string]*jsonrpc2.Conn{}}
}

// call sends one request to the peer at addr and decodes its answer. A
// *jsonrpc2.Error comes from the peer itself. After any other error the
// connection is closed, since nobody would receive a late answer on it.
func (p *connPool) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeouts.Call)
	defer cancel()
	conn, err := p.get(ctx, addr)
	if err != nil {
		return trace.Wrap(err)
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		p.drop(addr, conn)
	}
	return trace.Wrap(err)
}

// get returns the open connection to addr, or connects.
func (p *connPool) get(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	known := p.conns[addr]
	p.mu.Unlock()
	if known != nil {
		return known, nil
	}
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	// This context ends the connection, so it must not be the call's.
	conn := jsonrpc2.NewConn(context.Background(), newBoundedStream(raw, nil),
		jsonrpc2.HandlerWithError(rejectRequest).SuppressErrClosed(), jsonrpc2.SetLogger(discardLogger{}))
	return p.add(addr, conn)
}

// add stores a new connection and returns it. If another call was first, it
// closes the new one and returns the other's; if the pool is closed, it fails.
func (p *connPool) add(addr string, conn *jsonrpc2.Conn) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return nil, jsonrpc2.ErrClosed
	}
	if first := p.conns[addr]; first != nil {
		_ = conn.Close()
		return first, nil
	}
	p.conns[addr] = conn
	go p.removeOnClose(addr, conn)
	return conn, nil
}

// removeOnClose waits until the connection has ended, and removes it from the
// pool. An unused connection ends after idleTimeout.
func (p *connPool) removeOnClose(addr string, conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
}

func (p *connPool) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeouts.Dial)
	defer cancel()
	raw, err := p.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	counted := countingConn{Conn: raw, in: p.in, out: p.out}
	if p.tls == nil {
		return counted, nil
	}
	return p.handshake(ctx, counted, addr)
}

func (p *connPool) handshake(ctx context.Context, raw net.Conn, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	cfg := p.tls.Clone()
	cfg.ServerName = host
	secure := tls.Client(raw, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}

// drop removes a connection from the pool and closes it.
func (p *connPool) drop(addr string, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = conn.Close()
}

// close closes all connections; later calls fail.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string]*jsonrpc2.Conn{}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// rejectRequest answers requests received on a connection that this instance
// opened: each instance sends requests only on connections of its own.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
}
