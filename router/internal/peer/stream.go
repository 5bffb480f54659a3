package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// boundedStream is a jsonrpc2.ObjectStream with bounds on size and time. It
// frames messages as jsonrpc2.VarintObjectCodec does, which reads without a
// bound.
type boundedStream struct {
	conn  net.Conn
	r     *bufio.Reader
	codec jsonrpc2.VarintObjectCodec

	mu sync.Mutex // guards writes
	w  *bufio.Writer
}

func newBoundedStream(conn net.Conn) *boundedStream {
	return &boundedStream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// ReadObject waits for the next message and decodes it into v. A message that
// is too long or malformed is answered with an error; the connection is closed
// after that.
func (s *boundedStream) ReadObject(v any) error {
	if err := s.awaitMessage(); err != nil {
		return err
	}
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		s.sendError(jsonrpc2.CodeInvalidRequest, "message too long")
		return trace.LimitExceeded("message too long: %d bytes", size)
	}
	data, err := io.ReadAll(io.LimitReader(s.r, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(data, v); err != nil {
		s.sendError(jsonrpc2.CodeParseError, "malformed message")
		return trace.BadParameter("malformed message")
	}
	return nil
}

// awaitMessage waits for the first byte, then sets messageTimeout for the rest.
func (s *boundedStream) awaitMessage() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	if _, err := s.r.Peek(1); err != nil {
		return err
	}
	return s.conn.SetReadDeadline(time.Now().Add(messageTimeout))
}

// errorResponse answers a message whose id could not be read.
type errorResponse struct {
	Version string          `json:"jsonrpc"`
	ID      *int            `json:"id"`
	Error   *jsonrpc2.Error `json:"error"`
}

// sendError sends an error response. A failure is ignored, since the connection
// is closed next.
func (s *boundedStream) sendError(code int64, text string) {
	_ = s.WriteObject(errorResponse{Version: "2.0", Error: rpcError(code, text)})
}

// WriteObject sends one message.
func (s *boundedStream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	if err := s.codec.WriteObject(s.w, v); err != nil {
		return err
	}
	return s.w.Flush()
}

// Close closes the connection.
func (s *boundedStream) Close() error { return s.conn.Close() }

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
