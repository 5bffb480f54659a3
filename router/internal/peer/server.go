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

	"masticplank.example/router/internal/rpcstream"
)

// server accepts the connections of other instances.
type server struct {
	tls      *tls.Config
	handler  jsonrpc2.Handler
	in, out  gometrics.Counter
	onReject func(error)
	wg       sync.WaitGroup
}

// serve accepts connections until ctx ends or ln fails. It returns once every
// connection has ended.
func (s *server) serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the connections
	slots := make(chan struct{}, maxConns)
	for {
		raw, err := ln.Accept()
		if err != nil {
			return s.acceptError(ctx, err)
		}
		select {
		case slots <- struct{}{}:
			s.wg.Go(func() {
				defer func() { <-slots }()
				s.serveConn(ctx, raw)
			})
		default:
			s.onReject(trace.LimitExceeded("more than %d connections", maxConns))
			_ = raw.Close()
		}
	}
}

// acceptError returns nil if Accept failed because the server was stopped.
func (s *server) acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// serveConn serves one connection. Its requests run one after another, which
// bounds the concurrent work that one peer can cause.
func (s *server) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	conn, err := s.handshake(ctx, countingConn{Conn: raw, in: s.in, out: s.out})
	if err != nil {
		s.onReject(err)
		return
	}
	account, _ := raw.(rpcstream.Account) // nil for a listener without a bound
	rpc := jsonrpc2.NewConn(ctx, newBoundedStream(conn, account), s.handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

func (s *server) handshake(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if s.tls == nil {
		return raw, nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	secure := tls.Server(raw, s.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return secure, nil
}
