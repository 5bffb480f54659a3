package fold

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

// ErrSnapshot means that bytes are no snapshot that this reader can take.
var ErrInvalidSnapshot = errors.New("fold: malformed snapshot")

const (
	snapshotVersion = 1
	// MaxSnapshot is the longest snapshot in bytes: what an instance of 256 MB
	// can hold beside the state that it replaces.
	MaxSnapshotBytes = 96 << 20
	// maxRows bounds the registers and tombstones of a snapshot.
	maxSnapshotRows = 4_000_000
)

// wireSnapshot is a State in order of keys: equal states give equal bytes.
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

// Snapshot encodes the state: equal states give equal bytes.
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
			At:      w.at,
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

// Restore makes a State from a snapshot. It must come from an instance with the
// same configuration. Errors wrap ErrSnapshot. It checks the form, the hash and
// the manifest's place; a snapshot forged as a whole is for mutual TLS to keep
// out.
func Restore(cfg Config, opts Options, snapshot []byte) (*State, error) {
	if len(snapshot) > MaxSnapshotBytes {
		return nil, trace.Wrap(ErrInvalidSnapshot, "%d bytes are beyond the limit", len(snapshot))
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
		return trace.Wrap(ErrInvalidSnapshot, "version %d", w.Version)
	}
	if w.ClaimWindow != s.rules.claimWindow || w.ClockSkew != s.rules.skew || w.Retention != s.rules.retention {
		return trace.Wrap(ErrInvalidSnapshot, "made with other bounds")
	}
	if w.Now < 0 || w.Now > maxTimestampMicros || len(w.PendingWriter) > record.MaxWriterBytes {
		return trace.Wrap(ErrInvalidSnapshot, "time out of range")
	}
	return nil
}

func (s *State) restoreRows(rows []wireRow) error {
	for i := range rows {
		w := &rows[i]
		if i > 0 && rows[i-1].Key >= w.Key {
			return trace.Wrap(ErrInvalidSnapshot, "registers out of order")
		}
		r := row{
			key:     record.Key(w.Key),
			value:   w.Value,
			writer:  w.Writer,
			offset:  w.Offset,
			at:      w.At,
			expires: w.Expires,
		}
		bad := len(w.Nonce) != len(r.nonce) || len(w.Key) > record.MaxKeyBytes || len(w.Value) > record.MaxValueBytes ||
			len(w.Writer) > record.MaxWriterBytes || r.key.Class() == "" || w.Offset >= s.next || w.Expires < 0
		if bad {
			return trace.Wrap(ErrInvalidSnapshot, "register %d", i)
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
			return trace.Wrap(ErrInvalidSnapshot, "tombstone %d", i)
		}
		copy(p.nonce[:], w.Nonce)
		if _, duplicate := s.tombstones[p]; duplicate {
			return trace.Wrap(ErrInvalidSnapshot, "tombstone %d stands twice", i)
		}
		s.tombstones[p] = w.Expires
		s.tombstoneExpiries.add(w.Expires, p)
	}
	return nil
}

func (s *State) checkRestored(hash uint64) error {
	if s.table.hash != hash {
		return trace.Wrap(ErrInvalidSnapshot, "hash differs")
	}
	if s.generation == 0 {
		if s.manifestKey != "" || s.manifestDigest != "" {
			return trace.Wrap(ErrInvalidSnapshot, "manifest without a generation")
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
