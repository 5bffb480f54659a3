package peer

import (
	"cmp"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits towards other instances, which may run another version, be broken, or
// be an unrelated client that reached the port.
const (
	// maxMessageBytes bounds one message. The largest is a piece of a snapshot
	// in base64.
	maxMessageBytes = 1 << 20
	// maxPieceBytes bounds the part of a snapshot in one answer.
	maxPieceBytes = 512 << 10
	// maxConns bounds the open incoming connections: in a fleet of hundreds,
	// many instances may choose this one as one of their three peers at the
	// same time, which must not exhaust the memory of a small instance.
	maxConns = 256
	// messageTimeout bounds the reading or writing of one message once it has
	// begun, and the TLS handshake of an incoming connection, so that a slow
	// peer cannot occupy a connection.
	messageTimeout = 5 * time.Second
	// idleTimeout closes a connection without messages. It is much longer than
	// the default interval between rounds, so that a chosen peer keeps its
	// connection.
	idleTimeout = 30 * time.Second
	// fetchTimeout bounds the transfer of one snapshot.
	fetchTimeout = 20 * time.Second
	// maxNameBytes bounds the name of an instance.
	maxNameBytes = 64
)

// Error codes of answers, in addition to those of JSON-RPC.
const (
	// CodeBufferFull: no room to hold a bill.
	CodeBufferFull = -32010
	// CodeSnapshotGone: the snapshot is no longer kept, is not ahead of the
	// requester, or has no piece at the offset.
	CodeSnapshotGone = -32011
	// CodeFailed: the request failed at the answering instance.
	CodeFailed = -32012
)

func invalidParams(text string) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: text}
}

func rpcError(code int64, text string) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: code, Message: text}
}

// Timeouts bound how long an instance waits for a peer. Zero means the default.
type Timeouts struct {
	// Dial bounds connecting, including TLS. Default 1 s.
	Dial time.Duration
	// Call bounds one call, and so a round with unresponsive peers. Default 1
	// s: a fifth of the default freshness bound, so that several rounds fit in
	// it.
	Call time.Duration
	// Hold bounds the copying of one bill to one peer. Default 500 ms, since a
	// caller waits for it.
	Hold time.Duration
}

const (
	defaultDialTimeout = time.Second
	defaultCallTimeout = time.Second
	defaultHoldTimeout = 500 * time.Millisecond
)

func (t Timeouts) withDefaults() Timeouts {
	t.Dial = cmp.Or(t.Dial, defaultDialTimeout)
	t.Call = cmp.Or(t.Call, defaultCallTimeout)
	t.Hold = cmp.Or(t.Hold, defaultHoldTimeout)
	return t
}
