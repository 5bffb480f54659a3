package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"masticplank.example/coordination/keyedlog"
)

const (
	// minPackedRecords is the smallest number of records that is compressed; with fewer,
	// compression saves little.
	minPackedRecords = 32
	// maxUnpackedBytes bounds the size of an unpacked answer.
	maxUnpackedBytes = 64 << 20
	// packedSnapshotTTL is how long a packed snapshot is reused although newer records exist, which
	// the requester then reads separately. A snapshot is packed again earlier if those records are
	// no longer cached, or the era has changed.
	packedSnapshotTTL = 250 * time.Millisecond
)

// pack compresses records. The entries of backend servers are very similar, so the fastest level
// suffices.
func pack(records []keyedlog.Record) ([]byte, error) {
	var out bytes.Buffer
	gz, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(gz).Encode(records); err != nil {
		return nil, err
	}
	if err := gz.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack decompresses what pack made.
func unpack(packed []byte) ([]keyedlog.Record, error) {
	gz, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("packed records: %w", err)
	}
	var out []keyedlog.Record
	if err := json.NewDecoder(io.LimitReader(gz, maxUnpackedBytes)).Decode(&out); err != nil {
		return nil, fmt.Errorf("packed records: %w", err)
	}
	return out, nil
}

// packedSnapshot is a packed snapshot that is sent to many instances.
type packedSnapshot struct {
	answer answer
	// confirmedAt is when the log was in the snapshot's state, packedAt when the snapshot was
	// packed.
	confirmedAt time.Time
	packedAt    time.Time
}

// setRecords puts the records into the answer, compressed if there are many.
func (a *answer) setRecords(records []keyedlog.Record) error {
	if len(records) < minPackedRecords {
		a.Records = records
		return nil
	}
	packed, err := pack(records)
	a.Packed = packed
	return err
}

// unpackRecords decompresses the answer's records.
func (a *answer) unpackRecords() error {
	if len(a.Packed) == 0 {
		return nil
	}
	records, err := unpack(a.Packed)
	a.Records, a.Packed = records, nil
	return err
}
