package rpcstream

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// maxInFlight bounds the requests of one connection that are handled at a time. An instance has one for each topic that it
// reads from another one, and a few besides.
const maxInFlight = 32

// requestBytes is the memory of a request that is handled: a goroutine and its parameters' decoded values.
const requestBytes = 4 << 10

// codeNoRoom is the code of the answer to a request for which there is no room.
const codeNoRoom = -32013

// Handler handles the requests of one connection side by side. Further requests are not read while maxInFlight are handled.
//
// Load: a peer that sends requests that wait, or does not read the answers. Harm prevented: goroutines, parameters and answers
// without end.
type Handler struct {
	handle  func(context.Context, *jsonrpc2.Request) (any, error)
	account Account
	slots   chan struct{}
}

// NewHandler returns a handler of one connection, whose answers are what handle returns. account is where their memory is
// reserved; nil for no bound.
func NewHandler(handle func(context.Context, *jsonrpc2.Request) (any, error), account Account) *Handler {
	if account == nil {
		account = noAccount{}
	}
	return &Handler{handle: handle, account: account, slots: make(chan struct{}, maxInFlight)}
}

// AwaitEnd returns once the connection has been disconnected, or has given way to others and is closed.
func (h *Handler) AwaitEnd(conn *jsonrpc2.Conn) {
	select {
	case <-conn.DisconnectNotify():
	case <-h.account.Done():
		_ = conn.Close() // fails only for a connection that is closed
	}
}

// Handle implements jsonrpc2.Handler. ctx must end with the connection.
func (h *Handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	case <-h.account.Done():
		return
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-h.slots }()
		h.answer(ctx, conn, req)
	}()
}

// answer handles a request within the room that there is, and sends the answer.
func (h *Handler) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	reserved := int64(requestBytes)
	if req.Params != nil {
		reserved += decodedCopies * int64(len(*req.Params))
	}
	if !h.awaitRoom(ctx, reserved) {
		h.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: codeNoRoom, Message: "no room for the request"})
		return
	}
	defer func() { h.account.Release(reserved) }()
	result, err := h.handle(ctx, req)
	var encoded json.RawMessage
	if err == nil {
		encoded, err = json.Marshal(result)
	}
	size := (1 + decodedCopies) * int64(len(encoded))
	if !h.awaitRoom(ctx, size) {
		encoded, size, err = nil, 0, &jsonrpc2.Error{Code: codeNoRoom, Message: "no room for the answer"}
	}
	reserved += size
	h.reply(ctx, conn, req, encoded, err)
}

const (
	// maxRoomWait is how long an answer waits for room, roomInterval the time between two tries.
	maxRoomWait  = time.Second
	roomInterval = 5 * time.Millisecond
)

// awaitRoom reserves size bytes, and reports whether there was room in time: instances that start together ask for long
// answers at the same time.
func (h *Handler) awaitRoom(ctx context.Context, size int64) bool {
	for end := time.Now().Add(maxRoomWait); !h.account.ReserveAnswer(size); {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
		time.Sleep(roomInterval)
	}
	return true
}

// reply sends an answer. A failure is ignored: the connection is closed then.
func (h *Handler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result json.RawMessage, err error) {
	if req.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		rpcErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, rpcErr)
}
