package relay

import (
	"time"

	"masticplank.example/decision/passthrough"
)

// sumLoads adds up the loads by server. The result is ordered by key.
func sumLoads(lists ...[]passthrough.PeerLoad) []passthrough.PeerLoad {
	key := func(row passthrough.PeerLoad) uint32 { return row.Key }
	return mergeRows(lists, key, func(a, b passthrough.PeerLoad) passthrough.PeerLoad {
		a.Requests += b.Requests
		a.PrefillTime += b.PrefillTime
		return a
	})
}

// packLoads encodes rows with the number of requests and the prefill time in ms.
func packLoads(rows []passthrough.PeerLoad) []byte {
	var out []byte
	for _, row := range rows {
		out = appendRow(out, row.Key, uint64(max(row.Requests, 0)), uint64(max(row.PrefillTime.Milliseconds(), 0)))
	}
	return out
}

const (
	// maxPrefillMS and maxRequests are the largest values of a row. Larger ones are clamped, so
	// that sums cannot overflow.
	maxPrefillMS = 3_600_000 // milliseconds
	maxRequests  = 1_000_000
)

// unpackLoads decodes what packLoads wrote.
func unpackLoads(data []byte) ([]passthrough.PeerLoad, error) {
	var out []passthrough.PeerLoad
	err := readRows(data, func(key uint32, requests, prefillMS uint64) error {
		out = append(out, passthrough.PeerLoad{
			Key: key, Requests: int(min(requests, maxRequests)),
			PrefillTime: time.Duration(min(prefillMS, maxPrefillMS)) * time.Millisecond,
		})
		return nil
	})
	return out, err
}
