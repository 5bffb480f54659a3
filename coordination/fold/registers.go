package fold

import (
	"time"

	"masticplank.example/coordination/record"
)

// live is the row of key, or nil if there is none or it has expired. An expired
// row that waits for its bucket is removed, which makes room for a new winner.
func (s *State) liveRow(key record.Key) *row {
	w := s.table.find(key)
	if w == nil {
		return nil
	}
	if w.expired(s.clock.now) {
		s.table.remove(w)
		return nil
	}
	return w
}

// Lookup returns the live register of key. A bill's value is not kept.
func (s *State) Lookup(key record.Key) (Register, bool) {
	w := s.table.find(key)
	if w == nil || w.expired(s.clock.now) {
		return Register{}, false
	}
	return w.register(), true
}

// Manifest returns the manifest in force; false before the first.
func (s *State) Manifest() (Register, bool) {
	if s.generation == 0 {
		return Register{}, false
	}
	return s.Lookup(s.manifestKey)
}

// Registers returns the live registers of class in the order of their offsets.
func (s *State) Registers(class record.Class) []Register {
	return s.table.registers(func(w *row) bool {
		return !w.expired(s.clock.now) && w.key.Class() == class
	})
}

// Digest summarises the state.
func (s *State) Digest() Digest {
	return Digest{NextOffset: s.next, Generation: s.generation, Hash: s.table.hash}
}

// Len is the number of registers held.
func (s *State) Len() int { return len(s.table.index) }

// Malformed counts the entries that were no valid batch.
func (s *State) MalformedEntries() uint64 { return s.malformed }

// Now is the log's time.
func (s *State) LogTime() time.Time { return record.FromMicros(s.clock.now) }

// Config returns the bounds that the state was made with.
func (s *State) Config() Config { return s.cfg }
