package relay

import (
	"math"
	"slices"
	"time"

	"masticplank.example/decision/passthrough"
)

// newestLimits returns the newest statement on each server's limit, ordered by key.
func newestLimits(lists ...[]passthrough.PeerLimit) []passthrough.PeerLimit {
	key := func(row passthrough.PeerLimit) uint32 { return row.Key }
	return mergeRows(lists, key, func(a, b passthrough.PeerLimit) passthrough.PeerLimit {
		if b.Age < a.Age {
			return b
		}
		return a
	})
}

// addAge returns the rows with a duration added to their ages.
func addAge(rows []passthrough.PeerLimit, by time.Duration) []passthrough.PeerLimit {
	out := slices.Clone(rows)
	for i := range out {
		out[i].Age += by
	}
	return out
}

const (
	// encodedUnlimited stands for no limit: the server has ended its limit.
	encodedUnlimited = math.MaxUint32
	// limitScale is the number of encoded units per request per second.
	limitScale = 1000
	// maxLimitAgeMS bounds a row's age: an older limit is of no use.
	maxLimitAgeMS = 3_600_000
)

// packLimits encodes rows with limits in thousandths of a request per second and ages in ms.
func packLimits(rows []passthrough.PeerLimit) []byte {
	var out []byte
	for _, row := range rows {
		encodedLimit := uint64(encodedUnlimited)
		if row.Limit.Limited {
			encodedLimit = uint64(min(max(row.Limit.PerSecond*limitScale, 0), encodedUnlimited-1))
		}
		out = appendRow(out, row.Key, encodedLimit, uint64(max(row.Age.Milliseconds(), 0)))
	}
	return out
}

// unpackLimits decodes what packLimits wrote.
func unpackLimits(data []byte) ([]passthrough.PeerLimit, error) {
	var out []passthrough.PeerLimit
	err := readRows(data, func(key uint32, encodedLimit, ageMS uint64) error {
		if encodedLimit > encodedUnlimited {
			return errMalformedRow
		}
		row := passthrough.PeerLimit{Key: key, Age: time.Duration(min(ageMS, maxLimitAgeMS)) * time.Millisecond}
		if encodedLimit != encodedUnlimited {
			row.Limit = passthrough.RateLimit{Limited: true, PerSecond: float64(encodedLimit) / limitScale}
		}
		out = append(out, row)
		return nil
	})
	return out, err
}
