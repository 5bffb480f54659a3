package fold

import (
	"time"

	"masticplank.example/coordination/record"
)

// liveRow returns the row of key, or nil if there is none or it has expired. It
// removes an expired row that still waits for collection, so that the key can
// be taken by a new winner.
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

// Lookup returns the live register of key, or false if there is none. The
// values of bills are not stored, so a bill's register has no value.
func (s *State) Lookup(key record.Key) (Register, bool) {
	w := s.table.find(key)
	if w == nil || w.expired(s.clock.now) {
		return Register{}, false
	}
	return w.register(), true
}

// Manifest returns the manifest in force, or false before the first one.
func (s *State) Manifest() (Register, bool) {
	if s.generation == 0 {
		return Register{}, false
	}
	return s.Lookup(s.manifestKey)
}

// Registers returns the live registers of class, ordered by offset.
func (s *State) Registers(class record.Class) []Register {
	return s.table.registers(func(w *row) bool {
		return !w.expired(s.clock.now) && w.key.Class() == class
	})
}

// Digest returns a summary of the state.
func (s *State) Digest() Digest {
	return Digest{NextOffset: s.next, Generation: s.generation, Hash: s.table.hash}
}

// Len returns the number of registers held, including expired ones that are not
// collected yet.
func (s *State) Len() int { return len(s.table.index) }

// MalformedEntries returns how many entries were not a valid batch.
func (s *State) MalformedEntries() uint64 { return s.malformed }

// LogTime returns the log's time: the running maximum of its entries' times. If
// the log does not timestamp its entries, it is derived from the writers' times.
func (s *State) LogTime() time.Time { return record.FromMicros(s.clock.now) }

// Config returns the configuration with its defaults filled in.
func (s *State) Config() Config { return s.cfg }
