package relay

import (
	"encoding/binary"
	"math"

	"masticplank.example/decision/admission"
)

const (
	// workScale is the number of encoded units per unit of work.
	workScale = 1000
	// maxWork is the largest value of a row; larger ones are clamped, so that sums cannot overflow.
	maxWork = 1e9
)

// packDemand encodes rows: the hashes of service and team (4 bytes each, big endian), and as varints twice the priority,
// plus one for returned callers, and the three values.
func packDemand(rows []admission.Demand) []byte {
	var out []byte
	for _, row := range rows {
		out = binary.BigEndian.AppendUint32(out, row.Class.Service)
		out = binary.BigEndian.AppendUint32(out, row.Class.Team)
		out = binary.AppendUvarint(out, 2*uint64(row.Class.Priority)+bit(row.Class.Returned))
		for _, x := range []float64{row.Offered, row.Admitted, row.Waiting} {
			out = binary.AppendUvarint(out, uint64(min(max(x, 0), maxWork)*workScale+0.5))
		}
	}
	return out
}

// unpackDemand decodes what packDemand wrote.
func unpackDemand(data []byte) ([]admission.Demand, error) {
	var out []admission.Demand
	for len(data) > 0 {
		r := rowReader{data: data}
		row := admission.Demand{Class: admission.Class{Service: r.key(), Team: r.key()}}
		rank := r.uvarint()
		row.Class.Priority, row.Class.Returned = uint8(min(rank/2, math.MaxUint8)), rank%2 == 1
		for _, x := range []*float64{&row.Offered, &row.Admitted, &row.Waiting} {
			*x = min(float64(r.uvarint())/workScale, maxWork)
		}
		if r.malformed {
			return nil, errMalformedRow
		}
		out, data = append(out, row), r.data
	}
	return out, nil
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
