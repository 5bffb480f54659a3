package fold

import (
	"slices"

	"masticplank.example/coordination/record"
)

// row is a register in memory. Times are Unix microseconds, 0 if unset.
type row struct {
	key     record.Key
	nonce   record.Nonce
	value   []byte
	writer  string
	offset  uint64
	logTime int64
	expires int64
}

func (w *row) expired(now int64) bool {
	return w.expires != 0 && w.expires <= now
}

func (w *row) register() Register {
	return Register{
		Key:     w.key,
		Nonce:   w.nonce,
		Value:   w.value,
		Writer:  w.writer,
		Offset:  w.offset,
		LogTime: record.FromMicros(w.logTime),
		Expires: record.FromMicros(w.expires),
	}
}

// maxInternedWriters bounds the interned writer names, which rows share.
// Instances are replaced all day, so the names are dropped once there are too
// many.
const maxInternedWriters = 4096

// table holds the rows, the free slots among them, an index by key, a timing
// wheel by expiry, the incrementally maintained hash of all rows, and the
// interned writer names.
type table struct {
	rows     []row
	free     []uint32
	index    map[record.Key]uint32
	expiries timingWheel[uint32]
	hash     uint64
	writers  map[string]string
}

func newTable() table {
	return table{
		index:    map[record.Key]uint32{},
		expiries: newTimingWheel[uint32](),
		writers:  map[string]string{},
	}
}

func (t *table) find(key record.Key) *row {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

// insert adds w, whose key must not be present. The returned pointer is valid
// until the next insert.
func (t *table) insert(w row) *row {
	w.writer = t.intern(w.writer)
	i := t.allocate()
	t.rows[i] = w
	t.index[w.key] = i
	if w.expires != 0 {
		t.expiries.add(w.expires, i)
	}
	t.hash ^= rowHash(&w)
	return &t.rows[i]
}

func (t *table) allocate() uint32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.rows = append(t.rows, row{})
	return uint32(len(t.rows) - 1)
}

// remove drops w. A reference to its slot may remain in the timing wheel;
// collection checks the expiry of the row that occupies the slot by then.
func (t *table) remove(w *row) {
	i := t.index[w.key]
	t.hash ^= rowHash(w)
	delete(t.index, w.key)
	t.rows[i] = row{}
	t.free = append(t.free, i)
}

// retire drops the value of w and sets its expiry in Unix microseconds.
func (t *table) retire(w *row, expires int64) {
	w.value = nil
	w.expires = expires
	t.expiries.add(expires, t.index[w.key])
}

func (t *table) intern(writer string) string {
	if shared, ok := t.writers[writer]; ok {
		return shared
	}
	if len(t.writers) >= maxInternedWriters {
		clear(t.writers)
	}
	t.writers[writer] = writer
	return writer
}

// registers returns the rows that keep selects, in the order of their offsets
// and, within one batch, of their keys.
func (t *table) registers(keep func(*row) bool) []Register {
	var out []Register
	for _, i := range t.index {
		if w := &t.rows[i]; keep(w) {
			out = append(out, w.register())
		}
	}
	slices.SortFunc(out, func(a, b Register) int {
		if a.Offset != b.Offset {
			return cmpUint(a.Offset, b.Offset)
		}
		return cmpKey(a.Key, b.Key)
	})
	return out
}
