package record

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// codecVersion stands first in every batch. A batch of another version is
// malformed at every reader alike, so it changes no reader's state.
const codecVersion = 1

// MaxWriter is the longest name of a writer in bytes.
const MaxWriterBytes = 128

// MaxBatch is the longest encoded batch in bytes. It leaves room for one value
// of MaxValue and the small records that share its append.
const MaxBatchBytes = MaxValueBytes + 1<<20

// wireBatch and wireRecord are the encoded forms: arrays, so that no field name
// travels, with times in microseconds since 1970 and zero for none.
type wireBatch struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Writer  string
	Stamped int64
	Records []wireRecord
}

type wireRecord struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Key      string
	Nonce    []byte
	Value    []byte
	Lifetime int64
	KeyTime  int64
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	// A batch is three levels deep. Indefinite lengths and tags have no use
	// here, and each is a way to make one batch read in two ways.
	opts := cbor.DecOptions{
		MaxNestedLevels:  4,
		MaxArrayElements: MaxRecords,
		MaxMapPairs:      16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns b's bytes, the same for equal batches. It refuses what Decode
// would refuse, so that no writer appends a batch which readers drop. Errors
// wrap ErrInvalid or ErrTooLarge.
func Encode(b Batch) ([]byte, error) {
	if err := b.Validate(); err != nil {
		return nil, err
	}
	w := wireBatch{
		Version: codecVersion,
		Writer:  b.Writer,
		Stamped: Micros(b.WriterTime),
		Records: make([]wireRecord, len(b.Records)),
	}
	for i := range b.Records {
		w.Records[i] = toWire(&b.Records[i])
	}
	data, err := encMode.Marshal(w)
	if err != nil {
		return nil, trace.Wrap(ErrInvalid, "%v", err)
	}
	if len(data) > MaxBatchBytes {
		return nil, trace.Wrap(ErrTooLarge, "batch of %d bytes", len(data))
	}
	return data, nil
}

// Decode reads a batch. It holds no reference to data. Errors wrap
// ErrMalformed, ErrInvalid or ErrTooLarge; the batch is then void as a whole.
func Decode(data []byte) (Batch, error) {
	if len(data) > MaxBatchBytes {
		return Batch{}, trace.Wrap(ErrTooLarge, "batch of %d bytes", len(data))
	}
	var w wireBatch
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Batch{}, trace.Wrap(ErrMalformed, "%v", err)
	}
	if w.Version != codecVersion {
		return Batch{}, trace.Wrap(ErrMalformed, "codec version %d", w.Version)
	}
	b := Batch{
		Writer:     w.Writer,
		WriterTime: FromMicros(w.Stamped),
		Records:    make([]Record, len(w.Records)),
	}
	for i := range w.Records {
		if err := fromWire(&w.Records[i], &b.Records[i]); err != nil {
			return Batch{}, err
		}
	}
	if err := b.Validate(); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// Check reports the first field of b that breaks a limit or its kind's rules.
func (b *Batch) Validate() error {
	if len(b.Writer) > MaxWriterBytes {
		return trace.Wrap(ErrTooLarge, "writer of %d bytes", len(b.Writer))
	}
	if b.Writer == "" {
		return trace.Wrap(ErrInvalid, "no writer")
	}
	if len(b.Records) > MaxRecords {
		return trace.Wrap(ErrTooLarge, "%d records", len(b.Records))
	}
	for i := range b.Records {
		if err := b.Records[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Check reports the first field of r that breaks a limit or its kind's rules.
func (r *Record) Validate() error {
	if len(r.Key) > MaxKeyBytes {
		return trace.Wrap(ErrTooLarge, "key of %d bytes", len(r.Key))
	}
	if len(r.Value) > MaxValueBytes {
		return trace.Wrap(ErrTooLarge, "value of %d bytes", len(r.Value))
	}
	if r.Lifetime < 0 {
		return trace.Wrap(ErrInvalid, "negative lifetime")
	}
	switch r.Kind {
	case KindPut, KindRelease:
		if r.Key.Class() == "" {
			return trace.Wrap(ErrInvalid, "key without a class")
		}
		if r.Nonce == (Nonce{}) {
			return trace.Wrap(ErrInvalid, "no nonce")
		}
	case KindCheckpoint:
		if r.Key != "" {
			return trace.Wrap(ErrInvalid, "checkpoint with a key")
		}
	default:
		return trace.Wrap(ErrInvalid, "kind %d", r.Kind)
	}
	return nil
}

// Class is the part of k before its first slash; empty where there is none.
func (k Key) Class() Class {
	i := strings.IndexByte(string(k), '/')
	if i <= 0 {
		return ""
	}
	return Class(k[:i])
}

func toWire(r *Record) wireRecord {
	return wireRecord{
		Kind:     uint8(r.Kind),
		Key:      string(r.Key),
		Nonce:    r.Nonce[:],
		Value:    r.Value,
		Lifetime: int64(r.Lifetime),
		KeyTime:  Micros(r.KeyTime),
	}
}

func fromWire(w *wireRecord, r *Record) error {
	if len(w.Nonce) != len(r.Nonce) {
		return trace.Wrap(ErrMalformed, "nonce of %d bytes", len(w.Nonce))
	}
	r.Kind = Kind(w.Kind)
	r.Key = Key(w.Key)
	copy(r.Nonce[:], w.Nonce)
	if len(w.Value) > 0 {
		r.Value = w.Value
	}
	r.Lifetime = time.Duration(w.Lifetime)
	r.KeyTime = FromMicros(w.KeyTime)
	return nil
}

// Micros is the time in Unix microseconds, 0 for the zero time.
func Micros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// FromMicros is the time of Unix microseconds in UTC, the zero time for 0.
func FromMicros(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us).UTC()
}
