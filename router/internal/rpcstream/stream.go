// Package rpcstream frames JSON-RPC messages on a connection, with bounds on their size and time.
//
// A peer may send a message without end, or announce one of any size. Messages are framed as jsonrpc2.VarintObjectCodec
// does, which reads without a bound.
package rpcstream

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Limits bound the messages of a stream.
type Limits struct {
	// MaxBytes is the largest size of a message that is read.
	MaxBytes uint64
	// MessageTimeout bounds the reading or writing of one message once it has begun.
	MessageTimeout time.Duration
	// IdleTimeout bounds the time between two messages that are read; 0 for no bound.
	IdleTimeout time.Duration
}

// Stream is a jsonrpc2.ObjectStream with limits.
type Stream struct {
	conn   net.Conn
	limits Limits
	r      *bufio.Reader
	codec  jsonrpc2.VarintObjectCodec

	mu sync.Mutex // guards writes
	w  *bufio.Writer
}

// New returns a stream on the connection.
func New(conn net.Conn, limits Limits) *Stream {
	return &Stream{conn: conn, limits: limits, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// ReadObject waits for the next message and decodes it into v. A message that
// is too long or malformed is answered with an error; the connection is closed
// after that.
func (s *Stream) ReadObject(v any) error {
	if err := s.awaitMessage(); err != nil {
		return err
	}
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if size > s.limits.MaxBytes {
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

// awaitMessage waits for the first byte, then sets the deadline of the rest.
func (s *Stream) awaitMessage() error {
	var idleUntil time.Time
	if s.limits.IdleTimeout > 0 {
		idleUntil = time.Now().Add(s.limits.IdleTimeout)
	}
	if err := s.conn.SetReadDeadline(idleUntil); err != nil {
		return err
	}
	if _, err := s.r.Peek(1); err != nil {
		return err
	}
	return s.conn.SetReadDeadline(time.Now().Add(s.limits.MessageTimeout))
}

// errorResponse answers a message whose id could not be read.
type errorResponse struct {
	Version string          `json:"jsonrpc"`
	ID      *int            `json:"id"`
	Error   *jsonrpc2.Error `json:"error"`
}

// sendError sends an error response. A failure is ignored, since the connection
// is closed next.
func (s *Stream) sendError(code int64, text string) {
	_ = s.WriteObject(errorResponse{Version: "2.0", Error: &jsonrpc2.Error{Code: code, Message: text}})
}

// WriteObject sends one message.
func (s *Stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.MessageTimeout)); err != nil {
		return err
	}
	if err := s.codec.WriteObject(s.w, v); err != nil {
		return err
	}
	return s.w.Flush()
}

// Close closes the connection.
func (s *Stream) Close() error { return s.conn.Close() }
