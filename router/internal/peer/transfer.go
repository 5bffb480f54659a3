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

// keepSnapshot is how long a snapshot is kept for those that fetch it. It also
// bounds how often peers can make this instance encode one.
const snapshotTTL = fetchTimeout

// snapshots serves pieces of the own state. It keeps one snapshot at a time.
// Safe for concurrent use.
type snapshotCache struct {
	store node.Store

	mu         sync.Mutex
	nextOffset uint64
	data       []byte
	createdAt  time.Time
}

// errGone means that the snapshot asked for is not to be had here.
var errSnapshotGone = errors.New("peer: no such snapshot")

// piece returns the part of a snapshot that is asked for.
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

// refresh makes a snapshot ahead of after, unless the kept one is.
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

// drop frees a snapshot that nobody fetches any more.
func (s *snapshotCache) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.createdAt) >= snapshotTTL {
		s.data, s.nextOffset = nil, 0
	}
}

// transferRate bounds what an instance that is cut off from the log alone takes
// from its peers, in bytes/s. The others' state moves on with each bill, so it
// would fetch all of it in each round; with a large state it becomes stale
// instead and refuses new work, which is what it is to do then.
const maxTransferRate = 1 << 20

// restAfter is how long to wait after taking over a state of some size.
func transferPause(size int) time.Duration {
	return time.Duration(size) * time.Second / maxTransferRate
}

// fetchState takes over a peer's state. Restore refuses what is malformed or
// not ahead, so a bad transfer changes nothing.
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

// fits refuses pieces that would not end, or not fit together.
func checkPiece(asked FetchParams, got FetchResult) error {
	switch {
	case got.Total <= 0 || got.Total > fold.MaxSnapshotBytes:
		return trace.LimitExceeded("snapshot of %d bytes", got.Total)
	case len(got.Data) == 0 || asked.Offset+int64(len(got.Data)) > got.Total:
		return trace.BadParameter("piece out of bounds")
	case asked.Offset > 0 && got.Snapshot != asked.Snapshot:
		return trace.BadParameter("piece of another snapshot")
	}
	return nil
}
