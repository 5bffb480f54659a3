package relay

import (
	"encoding/binary"
	"time"

	"masticplank.example/decision/outlier"
)

const (
	// attemptScale is the number of encoded units per attempt.
	attemptScale = 100
	// maxCountedAttempts, maxOutlierTimeMS and maxFailingInstances are the largest values of a row; larger ones are clamped.
	maxCountedAttempts  = 1_000_000.0
	maxOutlierTimeMS    = 60_000
	maxFailingInstances = 100_000
	// maxOutlierRows bounds the rows of a report, so that one about 10,000 servers has 6 KB.
	maxOutlierRows = 512
)

// packOutliers encodes rows: a server's key (4 bytes, big endian), and as varints its failed and all attempts, the
// instances that saw failures and, if there are any, the time since the last one in ms; the instances that have ejected it
// and, if there are any, the time that is left in ms.
func packOutliers(rows []outlier.Row) []byte {
	var out []byte
	for _, row := range rows {
		instances := uint64(min(max(row.Instances, 0), maxFailingInstances))
		out = appendRow(out, uint32(row.Server), packAttempts(row.Failed), packAttempts(row.Total))
		out = binary.AppendUvarint(out, instances)
		if instances > 0 {
			out = binary.AppendUvarint(out, packOutlierTime(row.Age))
		}
		ejecting := uint64(min(max(row.Ejecting, 0), maxFailingInstances))
		out = binary.AppendUvarint(out, ejecting)
		if ejecting > 0 {
			out = binary.AppendUvarint(out, packOutlierTime(row.Remaining))
		}
	}
	return out
}

// unpackOutliers decodes what packOutliers wrote.
func unpackOutliers(data []byte) ([]outlier.Row, error) {
	var out []outlier.Row
	for len(data) > 0 {
		r := rowReader{data: data}
		row := outlier.Row{Server: outlier.Server(r.key())}
		row.Failed, row.Total = unpackAttempts(r.uvarint()), unpackAttempts(r.uvarint())
		row.Instances = int(min(r.uvarint(), maxFailingInstances))
		if row.Instances > 0 {
			row.Age = unpackOutlierTime(r.uvarint())
		}
		row.Ejecting = int(min(r.uvarint(), maxFailingInstances))
		if row.Ejecting > 0 {
			row.Remaining = unpackOutlierTime(r.uvarint())
		}
		if r.malformed {
			return nil, errMalformedRow
		}
		out, data = append(out, row), r.data
	}
	return out, nil
}

func packOutlierTime(d time.Duration) uint64 {
	return uint64(min(max(d.Milliseconds(), 0), maxOutlierTimeMS))
}

func unpackOutlierTime(n uint64) time.Duration {
	return time.Duration(min(n, maxOutlierTimeMS)) * time.Millisecond
}

func packAttempts(n float64) uint64 {
	return uint64(min(max(n, 0), maxCountedAttempts)*attemptScale + 0.5)
}

func unpackAttempts(n uint64) float64 { return min(float64(n)/attemptScale, maxCountedAttempts) }

// ageOutliers returns the rows as of a later time.
func ageOutliers(rows []outlier.Row, by time.Duration) []outlier.Row {
	out := make([]outlier.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, row.Aged(by))
	}
	return out
}

// sumOutliers adds up the rows of several lists. At most maxOutlierRows remain.
func sumOutliers(lists ...[]outlier.Row) []outlier.Row {
	key := func(row outlier.Row) uint32 { return uint32(row.Server) }
	return outlier.Bound(mergeRows(lists, key, outlier.Row.Merge), maxOutlierRows)
}
