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
	// Account is where the memory of messages is reserved; nil for no bound of the sum over all connections.
	Account Account
}

// Account holds what the messages of a connection take. *connlimit.Conn implements it.
type Account interface {
	// Reserve reserves n bytes for a message that is read, and reports whether there is room. ReserveAnswer does so for a
	// request that is handled and its answer.
	Reserve(n int64) bool
	ReserveAnswer(n int64) bool
	// Release gives reserved bytes back.
	Release(n int64)
	// MessageBegun and MessageRead record that a message is read, and that it is complete.
	MessageBegun()
	MessageRead()
	// Done returns a channel that is closed once the connection has given way to others or is closed.
	Done() <-chan struct{}
}

// noAccount is an Account without a bound.
type noAccount struct{}

func (noAccount) Reserve(int64) bool       { return true }
func (noAccount) ReserveAnswer(int64) bool { return true }
func (noAccount) Release(int64)            {}
func (noAccount) MessageBegun()            {}
func (noAccount) MessageRead()             {}

func (noAccount) Done() <-chan struct{} { return nil }

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
	if limits.Account == nil {
		limits.Account = noAccount{}
	}
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
	data, reserved, err := s.readMessage(int(size))
	defer func() { s.limits.Account.Release(reserved) }()
	if err != nil {
		return err
	}
	s.limits.Account.MessageRead()
	if err := json.Unmarshal(data, v); err != nil {
		s.sendError(jsonrpc2.CodeParseError, "malformed message")
		return trace.BadParameter("malformed message")
	}
	return nil
}

const (
	// firstBuffer is the first buffer for a message: nothing is reserved for bytes that are only announced.
	firstBuffer = 4 << 10
	// decodedCopies is how often a message is in memory while it is decoded or encoded.
	decodedCopies = 2
)

// readMessage reads a message of size bytes, into a buffer that grows while there is room. It returns how much was reserved,
// also with an error.
func (s *Stream) readMessage(size int) (data []byte, reserved int64, err error) {
	for len(data) < size {
		next := min(max(firstBuffer, 2*len(data)), size)
		grow := decodedCopies*int64(next) - reserved
		if !s.limits.Account.Reserve(grow) {
			return nil, reserved, trace.LimitExceeded("no room for a message of %d bytes", size)
		}
		reserved += grow
		have := len(data)
		data = append(make([]byte, 0, next), data...)[:next]
		if _, err := io.ReadFull(s.r, data[have:]); err != nil {
			return nil, reserved, err
		}
	}
	return data, reserved, nil
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
	s.limits.Account.MessageBegun()
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
