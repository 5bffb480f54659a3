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
	// packFrom is the number of records from which an answer is packed: fewer gain nothing.
	minPackedRecords = 32
	// packLimit bounds what an answer unpacks to.
	maxUnpackedBytes = 64 << 20
	// packLife is how long a packed snapshot is handed out again, although records have come
	// since: the asker reads these from the snapshot's end on.
	packedSnapshotTTL = 250 * time.Millisecond
)

// pack compresses records: the entries of backend servers are much alike.
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

// unpack takes apart what pack made.
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

// packedSnapshot is a snapshot as it is handed to many askers.
type packedSnapshot struct {
	answer answer
	// confirmed is when the log was as the snapshot tells, made when it was packed.
	confirmedAt time.Time
	packedAt    time.Time
}

// fill puts the records into the answer, packed where they are many.
func (a *answer) setRecords(records []keyedlog.Record) error {
	if len(records) < minPackedRecords {
		a.Records = records
		return nil
	}
	packed, err := pack(records)
	a.Packed = packed
	return err
}

// open unpacks the answer's records.
func (a *answer) unpackRecords() error {
	if len(a.Packed) == 0 {
		return nil
	}
	records, err := unpack(a.Packed)
	a.Records, a.Packed = records, nil
	return err
}
