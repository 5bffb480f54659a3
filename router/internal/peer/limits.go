package peer

import (
	"cmp"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits towards other instances, which may be of another version, broken, or
// somebody else who reached the port.
const (
	// maxMessage bounds one message in bytes. The largest is a piece of a
	// snapshot in base64.
	maxMessageBytes = 1 << 20
	// pieceBytes is the most of a snapshot in one answer.
	maxPieceBytes = 512 << 10
	// maxConns bounds the connections taken at once: each of three peers in a
	// fleet of hundreds may pick this instance by chance, and a stampede must
	// not take the memory of a small instance.
	maxConns = 256
	// messageTime bounds the reading or writing of one message once it began,
	// so that a byte at a time does not hold a connection.
	messageTimeout = 5 * time.Second
	// idleTime ends a connection without messages. It is longer than peers are
	// kept (keepRounds), so that a chosen peer keeps its connection.
	idleTimeout = 30 * time.Second
	// fetchTime bounds the transfer of one snapshot.
	fetchTimeout = 20 * time.Second
	// maxName bounds the name of an instance.
	maxNameBytes = 64
)

// Error codes of answers, beside those of JSON-RPC.
const (
	// CodeFull: no room to hold a bill.
	CodeBufferFull = -32010
	// CodeGone: the snapshot is not kept any more, or not ahead of the asker.
	CodeSnapshotGone = -32011
	// CodeFailed: the instance could not do it.
	CodeFailed = -32012
)

func invalidParams(text string) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: text}
}

func rpcError(code int64, text string) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: code, Message: text}
}

// Times bound what an instance waits for from a peer. A zero takes its default.
type Timeouts struct {
	// Dial bounds connecting, with TLS. Default 1 s.
	Dial time.Duration
	// Call bounds one call, and so a round with silent peers. Default 1 s: a
	// fifth of the default freshness bound, so that several rounds fit in it.
	Call time.Duration
	// Hold bounds the copy of one bill at one peer. Default 500 ms: a caller
	// waits for it.
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
