package relay

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"masticplank.example/decision/passthrough"
)

// plus adds lists up, by server; rows are in the keys' order.
func plus(lists ...[]passthrough.SharedLoad) []passthrough.SharedLoad {
	sums := map[uint32]passthrough.SharedLoad{}
	for _, list := range lists {
		for _, row := range list {
			sum := sums[row.Key]
			sum.Key = row.Key
			sum.Requests += row.Requests
			sum.Reading += row.Reading
			sums[row.Key] = sum
		}
	}
	out := make([]passthrough.SharedLoad, 0, len(sums))
	for _, row := range sums {
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b passthrough.SharedLoad) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// packLoads writes rows as their key (4 bytes), requests and milliseconds of reading (varints).
func packLoads(rows []passthrough.SharedLoad) []byte {
	var out []byte
	for _, row := range rows {
		out = binary.BigEndian.AppendUint32(out, row.Key)
		out = binary.AppendUvarint(out, uint64(max(row.Requests, 0)))
		out = binary.AppendUvarint(out, uint64(max(row.Reading.Milliseconds(), 0)))
	}
	return out
}

var errLoads = errors.New("a report of loads cannot be read")

const (
	keyBytes = 4
	// mostReading and mostRequests bound a row: more is a mistake, and sums must not overflow.
	mostReading  = 3_600_000 // milliseconds
	mostRequests = 1_000_000
)

// unpackLoads reads what packLoads wrote.
func unpackLoads(text []byte) ([]passthrough.SharedLoad, error) {
	var out []passthrough.SharedLoad
	for len(text) > 0 {
		if len(text) < keyBytes {
			return nil, errLoads
		}
		row := passthrough.SharedLoad{Key: binary.BigEndian.Uint32(text)}
		text = text[keyBytes:]
		requests, n := binary.Uvarint(text)
		if n <= 0 {
			return nil, errLoads
		}
		text = text[n:]
		reading, n := binary.Uvarint(text)
		if n <= 0 {
			return nil, errLoads
		}
		text = text[n:]
		row.Requests = int(min(requests, mostRequests))
		row.Reading = time.Duration(min(reading, mostReading)) * time.Millisecond
		out = append(out, row)
	}
	return out, nil
}
