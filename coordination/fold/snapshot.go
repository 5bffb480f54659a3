package fold

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

// ErrInvalidSnapshot means that bytes are not a snapshot that this reader can
// restore: malformed, too large, inconsistent, or made with another ClaimWindow,
// ClockSkew or Retention. router/internal/peer sends the texts of Snapshot's
// errors to peers, so those texts and this one must not change.
var ErrInvalidSnapshot = errors.New("fold: malformed snapshot")

const (
	snapshotVersion = 1
	// MaxSnapshotBytes is the maximum length of a snapshot: what an instance with
	// 256 MB of memory can hold beside the state that the snapshot replaces.
	MaxSnapshotBytes = 96 << 20
	// maxSnapshotRows bounds the number of registers, and that of tombstones, in a
	// snapshot.
	maxSnapshotRows = 4_000_000
)

// wireSnapshot is an encoded State. Rows and tombstones are ordered by key
// (tombstones of one key by nonce), so that equal states have equal encodings.
// Times are Unix microseconds, durations microseconds.
type wireSnapshot struct {
	_              struct{} `cbor:",toarray"`
	Version        uint64
	ClaimWindow    int64
	ClockSkew      int64
	Retention      int64
	NextOffset     uint64
	Now            int64
	PendingJump    int64
	PendingWriter  string
	Generation     uint64
	ManifestKey    string
	ManifestDigest string
	Malformed      uint64
	Hash           uint64
	Rows           []wireRow
	Tombstones     []wireTombstone
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Nonce   []byte
	Value   []byte
	Writer  string
	Offset  uint64
	At      int64
	Expires int64
}

type wireTombstone struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Nonce   []byte
	Expires int64
}

var snapshotDecMode = mustSnapshotDecMode()

func mustSnapshotDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  4,
		MaxArrayElements: maxSnapshotRows,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Snapshot encodes the state. Equal states have equal encodings. An error wraps
// ErrInvalidSnapshot if the encoding exceeds MaxSnapshotBytes.
func (s *State) Snapshot() ([]byte, error) {
	w := wireSnapshot{
		Version:        snapshotVersion,
		ClaimWindow:    s.rules.claimWindow,
		ClockSkew:      s.rules.skew,
		Retention:      s.rules.retention,
		NextOffset:     s.next,
		Now:            s.clock.now,
		PendingJump:    s.clock.pendingJump,
		PendingWriter:  s.clock.pendingWriter,
		Generation:     s.generation,
		ManifestKey:    string(s.manifestKey),
		ManifestDigest: s.manifestDigest,
		Malformed:      s.malformed,
		Hash:           s.table.hash,
		Rows:           s.wireRows(),
		Tombstones:     s.wireTombstones(),
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, trace.Wrap(ErrInvalidSnapshot, "%d bytes are beyond the limit", len(data))
	}
	return data, nil
}

func (s *State) wireRows() []wireRow {
	rows := make([]wireRow, 0, len(s.table.index))
	for _, i := range s.table.index {
		w := &s.table.rows[i]
		rows = append(rows, wireRow{
			Key:     string(w.key),
			Nonce:   w.nonce[:],
			Value:   w.value,
			Writer:  w.writer,
			Offset:  w.offset,
			At:      w.logTime,
			Expires: w.expires,
		})
	}
	slices.SortFunc(rows, func(a, b wireRow) int {
		return cmpKey(record.Key(a.Key), record.Key(b.Key))
	})
	return rows
}

func (s *State) wireTombstones() []wireTombstone {
	out := make([]wireTombstone, 0, len(s.tombstones))
	for p, expires := range s.tombstones {
		out = append(out, wireTombstone{Key: string(p.key), Nonce: slices.Clone(p.nonce[:]), Expires: expires})
	}
	slices.SortFunc(out, func(a, b wireTombstone) int {
		if c := cmpKey(record.Key(a.Key), record.Key(b.Key)); c != 0 {
			return c
		}
		return slices.Compare(a.Nonce, b.Nonce)
	})
	return out
}

// Restore decodes a snapshot, which must come from an instance with the same
// configuration. Errors wrap ErrInvalidSnapshot. Restore checks the form, the
// hash and that the manifest in force matches its generation; it cannot detect
// a snapshot that is forged as a whole, which mutual TLS between peers must
// prevent.
func Restore(cfg Config, opts Options, snapshot []byte) (*State, error) {
	if len(snapshot) > MaxSnapshotBytes {
		return nil, trace.Wrap(ErrInvalidSnapshot, "snapshot of %d bytes is too large", len(snapshot))
	}
	var w wireSnapshot
	if err := snapshotDecMode.Unmarshal(snapshot, &w); err != nil {
		return nil, trace.Wrap(ErrInvalidSnapshot, "%v", err)
	}
	s := New(cfg, opts)
	if err := s.checkHeader(&w); err != nil {
		return nil, err
	}
	s.next = w.NextOffset
	s.clock.now = w.Now
	s.clock.pendingJump, s.clock.pendingWriter = w.PendingJump, w.PendingWriter
	s.generation, s.manifestKey, s.manifestDigest = w.Generation, record.Key(w.ManifestKey), w.ManifestDigest
	s.malformed = w.Malformed
	if err := s.restoreRows(w.Rows); err != nil {
		return nil, err
	}
	if err := s.restoreTombstones(w.Tombstones); err != nil {
		return nil, err
	}
	return s, s.checkRestored(w.Hash)
}

func (s *State) checkHeader(w *wireSnapshot) error {
	if w.Version != snapshotVersion {
		return trace.Wrap(ErrInvalidSnapshot, "unknown snapshot version %d", w.Version)
	}
	if w.ClaimWindow != s.rules.claimWindow || w.ClockSkew != s.rules.skew || w.Retention != s.rules.retention {
		return trace.Wrap(ErrInvalidSnapshot, "made with another configuration")
	}
	if w.Now < 0 || w.Now > maxTimestampMicros || len(w.PendingWriter) > record.MaxWriterBytes {
		return trace.Wrap(ErrInvalidSnapshot, "log time or pending writer out of range")
	}
	return nil
}

func (s *State) restoreRows(rows []wireRow) error {
	for i := range rows {
		w := &rows[i]
		if i > 0 && rows[i-1].Key >= w.Key {
			return trace.Wrap(ErrInvalidSnapshot, "register keys are not in ascending order")
		}
		r := row{
			key:     record.Key(w.Key),
			value:   w.Value,
			writer:  w.Writer,
			offset:  w.Offset,
			logTime: w.At,
			expires: w.Expires,
		}
		invalid := len(w.Nonce) != len(r.nonce) || len(w.Key) > record.MaxKeyBytes || len(w.Value) > record.MaxValueBytes ||
			len(w.Writer) > record.MaxWriterBytes || r.key.Class() == "" || w.Offset >= s.next || w.Expires < 0
		if invalid {
			return trace.Wrap(ErrInvalidSnapshot, "register %d is invalid", i)
		}
		copy(r.nonce[:], w.Nonce)
		if len(w.Value) == 0 {
			r.value = nil
		}
		s.table.insert(r)
	}
	return nil
}

func (s *State) restoreTombstones(tombstones []wireTombstone) error {
	for i := range tombstones {
		w := &tombstones[i]
		p := proposal{key: record.Key(w.Key)}
		if len(w.Nonce) != len(p.nonce) || len(w.Key) > record.MaxKeyBytes || w.Expires < 0 {
			return trace.Wrap(ErrInvalidSnapshot, "tombstone %d is invalid", i)
		}
		copy(p.nonce[:], w.Nonce)
		if _, duplicate := s.tombstones[p]; duplicate {
			return trace.Wrap(ErrInvalidSnapshot, "tombstone %d is a duplicate", i)
		}
		s.tombstones[p] = w.Expires
		s.tombstoneExpiries.add(w.Expires, p)
	}
	return nil
}

func (s *State) checkRestored(hash uint64) error {
	if s.table.hash != hash {
		return trace.Wrap(ErrInvalidSnapshot, "hash does not match the registers")
	}
	if s.generation == 0 {
		if s.manifestKey != "" || s.manifestDigest != "" {
			return trace.Wrap(ErrInvalidSnapshot, "manifest in force has no generation")
		}
		return nil
	}
	w := s.table.find(s.manifestKey)
	generation, _, err := record.ParseManifestKey(s.manifestKey)
	if w == nil || err != nil || generation != s.generation || record.ManifestDigest(w.value) != s.manifestDigest {
		return trace.Wrap(ErrInvalidSnapshot, "manifest does not match its generation")
	}
	return nil
}
