package relay

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
)

// errMalformedRow means that a report is truncated or damaged.
var errMalformedRow = errors.New("a row of a report cannot be read")

const keyBytes = 4

// appendRow appends one row of a report: a backend server's key (4 bytes, big endian) and two
// numbers (varints).
func appendRow(out []byte, key uint32, first, second uint64) []byte {
	out = binary.BigEndian.AppendUint32(out, key)
	out = binary.AppendUvarint(out, first)
	return binary.AppendUvarint(out, second)
}

// readRows reads what appendRow wrote and calls visit for each row.
func readRows(data []byte, visit func(key uint32, first, second uint64) error) error {
	for len(data) > 0 {
		if len(data) < keyBytes {
			return errMalformedRow
		}
		key := binary.BigEndian.Uint32(data)
		data = data[keyBytes:]
		first, n := binary.Uvarint(data)
		if n <= 0 {
			return errMalformedRow
		}
		data = data[n:]
		second, n := binary.Uvarint(data)
		if n <= 0 {
			return errMalformedRow
		}
		data = data[n:]
		if err := visit(key, first, second); err != nil {
			return err
		}
	}
	return nil
}

// mergeRows merges the rows of several lists that have the same key. The result is ordered by key.
func mergeRows[T any](lists [][]T, key func(T) uint32, merge func(a, b T) T) []T {
	byKey := map[uint32]T{}
	for _, list := range lists {
		for _, row := range list {
			if existing, ok := byKey[key(row)]; ok {
				row = merge(existing, row)
			}
			byKey[key(row)] = row
		}
	}
	out := make([]T, 0, len(byKey))
	for _, row := range byKey {
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// rowReader reads the fields of one row. Once a field cannot be read, malformed is set, and all fields are 0.
type rowReader struct {
	data      []byte
	malformed bool
}

// key reads a key of 4 bytes, big endian.
func (r *rowReader) key() uint32 {
	if r.malformed || len(r.data) < keyBytes {
		r.malformed = true
		return 0
	}
	out := binary.BigEndian.Uint32(r.data)
	r.data = r.data[keyBytes:]
	return out
}

// uvarint reads a varint.
func (r *rowReader) uvarint() uint64 {
	out, n := binary.Uvarint(r.data)
	if r.malformed || n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return out
}
