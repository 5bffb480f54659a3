package fold

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

const (
	// partBytes is the most bytes of a snapshot in one checkpoint record. A large
	// state is spread over several appends, so that other records do not wait
	// behind one huge append.
	partBytes = 512 << 10
	// maxParts bounds the parts of a checkpoint: those of a snapshot of
	// MaxSnapshotBytes, and one more.
	maxParts = MaxSnapshotBytes/partBytes + 1
	// maxPartialCheckpoints is how many incomplete checkpoints a
	// CheckpointAssembler keeps. Writers append theirs one after the other; a few
	// may overlap.
	maxPartialCheckpoints = 4
)

// wirePart is the value of a checkpoint record. Parts with the same nonce
// belong together.
type wirePart struct {
	_          struct{} `cbor:",toarray"`
	NextOffset uint64
	Part       uint64
	Parts      uint64
	Data       []byte
}

// Checkpoint returns the records that carry the current state. A reader that
// finds the entries before Digest().NextOffset trimmed starts from these
// records.
func (s *State) Checkpoint(nonce record.Nonce) ([]record.Record, error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	parts := (len(snapshot) + partBytes - 1) / partBytes
	out := make([]record.Record, 0, parts)
	for i := range parts {
		data := snapshot[i*partBytes : min((i+1)*partBytes, len(snapshot))]
		value, err := cbor.Marshal(wirePart{NextOffset: s.next, Part: uint64(i), Parts: uint64(parts), Data: data})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out = append(out, record.Record{Kind: record.KindCheckpoint, Nonce: nonce, Value: value})
	}
	return out, nil
}

// ParseCheckpointPart returns the index and the total number of parts of the
// checkpoint that r belongs to; ok is false if r is not a valid part.
func ParseCheckpointPart(r *record.Record) (part, parts int, ok bool) {
	w, ok := parsePart(r)
	return int(w.Part), int(w.Parts), ok
}

func parsePart(r *record.Record) (w wirePart, ok bool) {
	if r.Kind != record.KindCheckpoint {
		return w, false
	}
	if err := snapshotDecMode.Unmarshal(r.Value, &w); err != nil {
		return w, false
	}
	if w.Parts == 0 || w.Parts > maxParts || w.Part >= w.Parts || len(w.Data) > partBytes {
		return w, false
	}
	return w, true
}

// CheckpointAssembler joins the parts of checkpoints read from the log and
// keeps the complete one with the highest next offset. The choice does not
// affect the outcome: each is the state after some prefix, and the reader folds
// the rest of the log onto it. The zero value is ready to use. It is not safe
// for concurrent use.
type CheckpointAssembler struct {
	partial    []*partialCheckpoint
	latest     []byte
	nextOffset uint64
}

type partialCheckpoint struct {
	nonce      record.Nonce
	nextOffset uint64
	parts      [][]byte
	received   int
}

// Add takes one record. It ignores records of other kinds, malformed parts,
// parts that it already has, and parts that do not fit the others with their
// nonce.
func (a *CheckpointAssembler) Add(r *record.Record) {
	w, ok := parsePart(r)
	if !ok {
		return
	}
	cp := a.find(r.Nonce, &w)
	if cp == nil || cp.parts[w.Part] != nil {
		return
	}
	cp.parts[w.Part] = w.Data
	cp.received++
	if cp.received == len(cp.parts) {
		a.finish(cp)
	}
}

// Latest returns the complete checkpoint with the highest next offset; ok is
// false if no checkpoint is complete yet.
func (a *CheckpointAssembler) Latest() (snapshot []byte, nextOffset uint64, ok bool) {
	return a.latest, a.nextOffset, a.latest != nil
}

// find returns the incomplete checkpoint that w belongs to. It adds a new one if
// there is none, and returns nil if w contradicts it.
func (a *CheckpointAssembler) find(nonce record.Nonce, w *wirePart) *partialCheckpoint {
	for _, cp := range a.partial {
		if cp.nonce != nonce {
			continue
		}
		if cp.nextOffset != w.NextOffset || len(cp.parts) != int(w.Parts) {
			return nil
		}
		return cp
	}
	if len(a.partial) == maxPartialCheckpoints {
		a.partial = a.partial[1:]
	}
	cp := &partialCheckpoint{nonce: nonce, nextOffset: w.NextOffset, parts: make([][]byte, w.Parts)}
	a.partial = append(a.partial, cp)
	return cp
}

func (a *CheckpointAssembler) finish(cp *partialCheckpoint) {
	for i, other := range a.partial {
		if other == cp {
			a.partial = append(a.partial[:i:i], a.partial[i+1:]...)
			break
		}
	}
	if a.latest != nil && cp.nextOffset <= a.nextOffset {
		return
	}
	var snapshot []byte
	for _, p := range cp.parts {
		snapshot = append(snapshot, p...)
	}
	a.latest, a.nextOffset = snapshot, cp.nextOffset
}
