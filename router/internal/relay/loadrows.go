package relay

import (
	"encoding/binary"
	"slices"
	"time"

	"masticplank.example/decision/passthrough"
)

// sumLoads adds up the loads by server. The result is ordered by key.
func sumLoads(lists ...[]passthrough.PeerLoad) []passthrough.PeerLoad {
	key := func(row passthrough.PeerLoad) uint32 { return row.Key }
	return mergeRows(lists, key, func(a, b passthrough.PeerLoad) passthrough.PeerLoad {
		a.Requests += b.Requests
		a.PrefillTime += b.PrefillTime
		a.Tokens += b.Tokens
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

// tokensPerUnit is the number of tokens per encoded unit: small prompts need no more than that.
const tokensPerUnit = 64

// maxTokenUnits is the largest number of units; larger ones are clamped.
const maxTokenUnits = 100_000_000

// packTokens encodes the tokens of the rows, in their order, as varints; nothing if no row has any.
func packTokens(rows []passthrough.PeerLoad) []byte {
	if !slices.ContainsFunc(rows, func(row passthrough.PeerLoad) bool { return row.Tokens > 0 }) {
		return nil
	}
	var out []byte
	for _, row := range rows {
		out = binary.AppendUvarint(out, uint64(max(row.Tokens, 0)+tokensPerUnit/2)/tokensPerUnit)
	}
	return out
}

// unpackTokens decodes what packTokens wrote into the rows. Nothing changes if data is empty, as in the reports of
// instances that do not count tokens.
func unpackTokens(data []byte, rows []passthrough.PeerLoad) error {
	if len(data) == 0 {
		return nil
	}
	r := rowReader{data: data}
	for i := range rows {
		rows[i].Tokens = int(min(r.uvarint(), maxTokenUnits)) * tokensPerUnit
	}
	if r.malformed || len(r.data) > 0 {
		return errMalformedRow
	}
	return nil
}
