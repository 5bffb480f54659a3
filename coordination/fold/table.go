package fold

import (
	"slices"

	"masticplank.example/coordination/record"
)

// row is a register as held in memory; times are in microseconds.
type row struct {
	key     record.Key
	nonce   record.Nonce
	value   []byte
	writer  string
	offset  uint64
	at      int64
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
		LogTime: record.FromMicros(w.at),
		Expires: record.FromMicros(w.expires),
	}
}

// maxInterned bounds the names of writers shared between rows. Instances are
// replaced all day, so the names are dropped once there are many.
const maxInterned = 4096

// table holds the rows, with an index by key, a wheel by expiry, and the hash
// of all rows kept up at each step.
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

// insert adds w, whose key must not be there. The pointer that it returns is
// good until the next insert.
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

// remove drops w. A reference to it may stay in the wheel; collecting checks
// the expiry of whatever stands in the slot by then.
func (t *table) remove(w *row) {
	i := t.index[w.key]
	t.hash ^= rowHash(w)
	delete(t.index, w.key)
	t.rows[i] = row{}
	t.free = append(t.free, i)
}

// expire sets when w expires, and drops its value.
func (t *table) setExpiry(w *row, expires int64) {
	w.value = nil
	w.expires = expires
	t.expiries.add(expires, t.index[w.key])
}

func (t *table) intern(writer string) string {
	if shared, ok := t.writers[writer]; ok {
		return shared
	}
	if len(t.writers) >= maxInterned {
		clear(t.writers)
	}
	t.writers[writer] = writer
	return writer
}

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
