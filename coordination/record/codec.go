package record

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// codecVersion is the first element of every batch. All readers treat a batch
// of another version as malformed, so that none of them applies its records.
const codecVersion = 1

// MaxWriterBytes is the maximum length of a writer's name.
const MaxWriterBytes = 128

// MaxBatchBytes is the maximum length of an encoded batch. It leaves room for
// one value of MaxValueBytes and the small records in the same batch.
const MaxBatchBytes = MaxValueBytes + 1<<20

// wireBatch and wireRecord are the encoded forms of Batch and Record. They are
// CBOR arrays, so that no field names are transmitted. Times are Unix
// microseconds, 0 if unset; lifetimes are nanoseconds.
type wireBatch struct {
	_          struct{} `cbor:",toarray"`
	Version    uint64
	Writer     string
	WriterTime int64
	Records    []wireRecord
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
	// A batch nests three levels deep; 4 levels and 16 map pairs are the lowest
	// limits that the library accepts. Indefinite lengths and tags are not
	// needed, and either would let one batch have several encodings.
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

// Encode returns the encoding of b, which is the same for equal batches. It
// rejects what Decode would reject, so that no writer appends a batch that
// readers drop. Errors wrap ErrInvalid or ErrTooLarge.
func Encode(b Batch) ([]byte, error) {
	if err := b.Validate(); err != nil {
		return nil, err
	}
	w := wireBatch{
		Version:    codecVersion,
		Writer:     b.Writer,
		WriterTime: Micros(b.WriterTime),
		Records:    make([]wireRecord, len(b.Records)),
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

// Decode decodes a batch. It keeps no reference to data. Errors wrap
// ErrMalformed, ErrInvalid or ErrTooLarge; the whole batch is void then.
func Decode(data []byte) (Batch, error) {
	if len(data) > MaxBatchBytes {
		return Batch{}, trace.Wrap(ErrTooLarge, "batch of %d bytes", len(data))
	}
	var w wireBatch
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Batch{}, trace.Wrap(ErrMalformed, "%v", err)
	}
	if w.Version != codecVersion {
		return Batch{}, trace.Wrap(ErrMalformed, "unknown codec version %d", w.Version)
	}
	b := Batch{
		Writer:     w.Writer,
		WriterTime: FromMicros(w.WriterTime),
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

// Validate reports the first field of b or of its records that exceeds a limit
// or is not valid. Errors wrap ErrInvalid or ErrTooLarge.
func (b *Batch) Validate() error {
	if len(b.Writer) > MaxWriterBytes {
		return trace.Wrap(ErrTooLarge, "writer name of %d bytes", len(b.Writer))
	}
	if b.Writer == "" {
		return trace.Wrap(ErrInvalid, "writer name is empty")
	}
	if len(b.Records) > MaxRecords {
		return trace.Wrap(ErrTooLarge, "batch of %d records", len(b.Records))
	}
	for i := range b.Records {
		if err := b.Records[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate reports the first field of r that exceeds a limit or contradicts the
// record's kind. Errors wrap ErrInvalid or ErrTooLarge.
func (r *Record) Validate() error {
	if len(r.Key) > MaxKeyBytes {
		return trace.Wrap(ErrTooLarge, "key of %d bytes", len(r.Key))
	}
	if len(r.Value) > MaxValueBytes {
		return trace.Wrap(ErrTooLarge, "value of %d bytes", len(r.Value))
	}
	if r.Lifetime < 0 {
		return trace.Wrap(ErrInvalid, "lifetime is negative")
	}
	switch r.Kind {
	case KindPut, KindRelease:
		if r.Key.Class() == "" {
			return trace.Wrap(ErrInvalid, "key has no class")
		}
		if r.Nonce == (Nonce{}) {
			return trace.Wrap(ErrInvalid, "nonce is zero")
		}
	case KindCheckpoint:
		if r.Key != "" {
			return trace.Wrap(ErrInvalid, "checkpoint has a key")
		}
	default:
		return trace.Wrap(ErrInvalid, "unknown record kind %d", r.Kind)
	}
	return nil
}

// Class returns the part of k before its first slash; empty if k has no class.
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

// Micros returns t in Unix microseconds, 0 for the zero time.
func Micros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// FromMicros returns the UTC time of us Unix microseconds, the zero time for 0.
func FromMicros(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us).UTC()
}
