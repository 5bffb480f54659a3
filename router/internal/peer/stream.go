package peer

import (
	"net"

	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/router/internal/rpcstream"
)

// newBoundedStream returns the stream of messages on a connection. account is where their memory is reserved; nil for no
// bound.
func newBoundedStream(conn net.Conn, account rpcstream.Account) *rpcstream.Stream {
	return rpcstream.New(conn, rpcstream.Limits{MaxBytes: maxMessageBytes, MessageTimeout: messageTimeout, IdleTimeout: idleTimeout, Account: account})
}

// countingConn counts the bytes on a connection, below TLS.
type countingConn struct {
	net.Conn
	in, out gometrics.Counter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}

// discardLogger drops jsonrpc2's own log lines: they are not among the numbered
// events, and a hostile peer could cause any number of them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
