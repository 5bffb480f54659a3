package relay

import (
	"encoding/binary"
	"time"

	"masticplank.example/decision/speed"
)

const (
	// factorScale is the number of encoded units per unit of a factor.
	factorScale = 100
	// maxFactor, maxSamples and maxSpeedAgeMS are the largest values of a row; larger ones are clamped.
	maxFactor     = 1000.0
	maxSamples    = 1_000_000
	maxSpeedAgeMS = 60_000
	// maxSpeedRows bounds the rows of a report, so that one about 10,000 servers has 6 KB.
	maxSpeedRows = 512
)

// packSpeeds encodes rows: a server's key (4 bytes, big endian), and as varints its usual factor, the samples, its
// present factor, that one's age in ms, its ratio and that one's samples.
func packSpeeds(rows []speed.Row) []byte {
	var out []byte
	for _, row := range rows {
		out = appendRow(out, uint32(row.Server), packFactor(row.Usual), uint64(min(max(row.Samples, 0), maxSamples)))
		out = binary.AppendUvarint(out, packFactor(row.Now))
		out = binary.AppendUvarint(out, uint64(min(max(row.Age.Milliseconds(), 0), maxSpeedAgeMS)))
		out = binary.AppendUvarint(out, packFactor(row.Ratio))
		out = binary.AppendUvarint(out, uint64(min(max(row.RatioSamples, 0), maxSamples)))
	}
	return out
}

// unpackSpeeds decodes what packSpeeds wrote.
func unpackSpeeds(data []byte) ([]speed.Row, error) {
	var out []speed.Row
	for len(data) > 0 {
		r := rowReader{data: data}
		row := speed.Row{Server: speed.Server(r.key())}
		row.Usual = unpackFactor(r.uvarint())
		row.Samples = int(min(r.uvarint(), maxSamples))
		row.Now = unpackFactor(r.uvarint())
		row.Age = time.Duration(min(r.uvarint(), maxSpeedAgeMS)) * time.Millisecond
		row.Ratio = unpackFactor(r.uvarint())
		row.RatioSamples = int(min(r.uvarint(), maxSamples))
		if r.malformed {
			return nil, errMalformedRow
		}
		out, data = append(out, row), r.data
	}
	return out, nil
}

func packFactor(f float64) uint64 { return uint64(min(max(f, 0), maxFactor)*factorScale + 0.5) }

func unpackFactor(n uint64) float64 { return min(float64(n)/factorScale, maxFactor) }

// addSpeedAge returns the rows with a duration added to their ages.
func addSpeedAge(rows []speed.Row, by time.Duration) []speed.Row {
	out := make([]speed.Row, 0, len(rows))
	for _, row := range rows {
		row.Age += by
		out = append(out, row)
	}
	return out
}

// mergeSpeeds merges the rows of several lists: the means of the usual factors and of the ratios by their samples, and
// the newest statement. At most maxSpeedRows remain.
func mergeSpeeds(lists ...[]speed.Row) []speed.Row {
	key := func(row speed.Row) uint32 { return uint32(row.Server) }
	return speed.Bound(mergeRows(lists, key, speed.Row.Merge), maxSpeedRows)
}
