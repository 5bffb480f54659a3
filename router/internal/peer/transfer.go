package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
)

// snapshotTTL is how long a snapshot is kept for those that fetch it. Until
// then it also serves new transfers, so that peers cannot make this instance
// encode one for each. Only a requester that is not behind the kept snapshot
// causes a newer one.
const snapshotTTL = fetchTimeout

// snapshotCache serves pieces of this instance's state. It keeps one snapshot
// at a time. Safe for concurrent use.
type snapshotCache struct {
	store node.Store

	mu sync.Mutex
	// nextOffset is that of the kept snapshot, by which peers identify it.
	nextOffset uint64
	data       []byte
	createdAt  time.Time
}

// errSnapshotGone means that the requested snapshot is not available here.
var errSnapshotGone = errors.New("peer: no such snapshot")

// piece returns the requested part of a snapshot.
func (s *snapshotCache) piece(p FetchParams, now time.Time) (FetchResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Offset == 0 {
		if err := s.refresh(p.After, now); err != nil {
			return FetchResult{}, err
		}
	} else if p.Snapshot != s.nextOffset {
		return FetchResult{}, errSnapshotGone
	}
	if p.Offset < 0 || p.Offset >= int64(len(s.data)) {
		return FetchResult{}, errSnapshotGone
	}
	end := min(p.Offset+maxPieceBytes, int64(len(s.data)))
	return FetchResult{Snapshot: s.nextOffset, Total: int64(len(s.data)), Data: s.data[p.Offset:end]}, nil
}

// refresh creates a new snapshot, unless the kept one is recent and its next
// offset is beyond after.
func (s *snapshotCache) refresh(after uint64, now time.Time) error {
	reusable := s.data != nil && now.Sub(s.createdAt) < snapshotTTL
	if reusable && s.nextOffset > after {
		return nil
	}
	next := s.store.Digest().NextOffset
	if next <= after {
		return errSnapshotGone
	}
	data, err := s.store.Snapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	s.nextOffset, s.data, s.createdAt = next, data, now
	return nil
}

// expire frees the snapshot snapshotTTL after it was created.
func (s *snapshotCache) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.createdAt) >= snapshotTTL {
		s.data, s.nextOffset = nil, 0
	}
}

// maxTransferRate bounds the mean rate, in bytes/s, at which an instance
// fetches state. If this instance alone cannot reach the log, the others' state
// advances with each append, and without a bound this instance would fetch the
// whole state in each round. With a large state it becomes stale between transfers
// and refuses new work, which is intended.
const maxTransferRate = 1 << 20

// transferPause returns how long to wait after the transfer of a state of this
// size in bytes.
func transferPause(size int) time.Duration {
	return time.Duration(size) * time.Second / maxTransferRate
}

// fetchState fetches a peer's state piece by piece and restores it. Restore
// rejects a state that is malformed or not ahead, so a bad transfer changes
// nothing.
func (n *Node) fetchState(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	params := FetchParams{From: n.self.ID, After: n.store.Digest().NextOffset}
	var data []byte
	defer func() { n.nextTransferAt = n.Now().Add(transferPause(len(data))) }()
	for {
		var piece FetchResult
		if err := n.pool.call(ctx, addr, MethodFetch, params, &piece); err != nil {
			return trace.Wrap(err)
		}
		if err := checkPiece(params, piece); err != nil {
			return trace.Wrap(err)
		}
		data = append(data, piece.Data...)
		if int64(len(data)) == piece.Total {
			return trace.Wrap(n.store.Restore(data))
		}
		params.Snapshot = piece.Snapshot
		params.Offset = int64(len(data))
	}
}

// checkPiece rejects a piece of impossible size, or of another snapshot than
// the one requested.
func checkPiece(asked FetchParams, got FetchResult) error {
	switch {
	case got.Total <= 0 || got.Total > fold.MaxSnapshotBytes:
		return trace.LimitExceeded("snapshot size out of bounds: %d bytes", got.Total)
	case len(got.Data) == 0 || asked.Offset+int64(len(got.Data)) > got.Total:
		return trace.BadParameter("snapshot piece out of bounds")
	case asked.Offset > 0 && got.Snapshot != asked.Snapshot:
		return trace.BadParameter("piece belongs to another snapshot")
	}
	return nil
}
