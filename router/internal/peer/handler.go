package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"masticplank.example/coordination/record"
)

// handle answers one request. All parameters are validated before anything
// changes.
func (n *Node) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	result, err := n.dispatch(req)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return result, nil
	case errors.As(err, &rpcErr):
		n.recordRejection(trace.Wrap(err, "request %q", truncate(req.Method)))
		return nil, rpcErr
	default:
		return nil, rpcError(CodeFailed, err.Error())
	}
}

func (n *Node) dispatch(req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case MethodDigest:
		return decodeAndHandle(req, n.handleDigest)
	case MethodVouch:
		return decodeAndHandle(req, n.handleVouch)
	case MethodFetch:
		return decodeAndHandle(req, n.handleFetch)
	case MethodManifest:
		return decodeAndHandle(req, n.handleManifest)
	case MethodHealth:
		return decodeAndHandle(req, n.handleHealth)
	case MethodHold:
		return decodeAndHandle(req, n.handleHold)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

// sender is implemented by the parameters of every method; sentBy returns the
// name of the sending instance.
type sender interface{ sentBy() string }

func (p DigestParams) sentBy() string   { return p.From }
func (p VouchParams) sentBy() string    { return p.From }
func (p FetchParams) sentBy() string    { return p.From }
func (p ManifestParams) sentBy() string { return p.From }
func (p HealthParams) sentBy() string   { return p.From }
func (p HoldParams) sentBy() string     { return p.From }

// decodeAndHandle decodes the parameters and calls handle. It decodes strictly:
// an unknown key may have a meaning that must not be ignored.
func decodeAndHandle[P sender](req *jsonrpc2.Request, handle func(P) (any, error)) (any, error) {
	if req.Params == nil {
		return nil, invalidParams("parameters missing")
	}
	var p P
	dec := json.NewDecoder(bytes.NewReader(*req.Params))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, invalidParams("malformed parameters")
	}
	if from := p.sentBy(); from == "" || len(from) > maxNameBytes {
		return nil, invalidParams("sender missing or too long")
	}
	return handle(p)
}

// handleDigest answers with this instance's status. The requester's state is
// ignored: the delay of a request is unknown, so the state may be old, and this
// instance queries its peers in its next round anyway.
func (n *Node) handleDigest(DigestParams) (any, error) { return n.statusReport(), nil }

func (n *Node) handleVouch(VouchParams) (any, error) { return n.statusReport(), nil }

func (n *Node) statusReport() StatusReport {
	return newStatusReport(n.ownState(), n.store.Status(), n.Now())
}

func (n *Node) handleFetch(p FetchParams) (any, error) {
	result, err := n.snapshots.piece(p, n.Now())
	if errors.Is(err, errSnapshotGone) {
		return nil, rpcError(CodeSnapshotGone, err.Error())
	}
	return result, err
}

// handleManifest handles the announcement that a generation is in the log. If
// the log is reachable, the pending long poll delivers it. Otherwise an early
// round restores the state from a peer, so that an instance that cannot read
// the log does not wait for the interval.
func (n *Node) handleManifest(p ManifestParams) (any, error) {
	ahead := p.Generation > n.store.Digest().Generation
	if ahead && !n.store.Status().LogReachable {
		n.requestRound()
	}
	return Empty{}, nil
}

func (n *Node) handleHealth(p HealthParams) (any, error) {
	if err := n.mergeFromPeer(p.Items); err != nil {
		return nil, invalidParams(trace.UserMessage(err))
	}
	var result HealthResult
	if p.WantItems {
		result.Items = n.healthItems.all(n.Now())
	}
	return result, nil
}

// handleHold keeps a second copy of another instance's bill.
func (n *Node) handleHold(p HoldParams) (any, error) {
	if len(p.Batch) > maxHoldBatchBytes {
		return nil, invalidParams("bill too long")
	}
	batch, err := record.Decode(p.Batch)
	if err != nil || len(batch.Records) != 1 {
		return nil, invalidParams("want one encoded record")
	}
	if err := n.acceptCopy(batch.Records[0]); err != nil {
		return nil, err
	}
	return Empty{}, nil
}

// truncate bounds the bytes of a peer's text in a log line.
func truncate(s string) string {
	const maxBytes = 32
	return s[:min(len(s), maxBytes)]
}
