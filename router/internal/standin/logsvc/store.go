package logsvc

import (
	"sync"
	"time"

	"masticplank.example/router/internal/wire"
)

// store keeps the entries in memory. It is safe for concurrent use.
type store struct {
	now       func() time.Time
	retention time.Duration
	maxCount  int

	mu      sync.Mutex
	entries []wire.LogEntry
	// first is the offset of entries[0], or of the next append with none kept.
	first uint64
	last  time.Time
	// grown is closed at the next append.
	grown chan struct{}
}

func newStore(now func() time.Time, retention time.Duration, maxCount int) *store {
	return &store{
		now:       now,
		retention: retention,
		maxCount:  maxCount,
		grown:     make(chan struct{}),
	}
}

// append adds data at the head. Times never fall, even where the clock does.
func (s *store) append(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.now()
	if at.Before(s.last) {
		at = s.last
	}
	s.last = at
	offset := s.head()
	s.entries = append(s.entries, wire.LogEntry{Offset: offset, Time: at, Data: data})
	s.trim(at)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// read returns up to limit entries from offset from, whether that offset is
// still kept, and a channel that is closed at the next append.
func (s *store) read(from uint64, limit int) (wire.LogPage, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(s.now())
	page := wire.LogPage{Entries: []wire.LogEntry{}, Head: s.head(), First: s.first}
	if from < s.first {
		return page, false, s.grown
	}
	if from >= page.Head {
		return page, true, s.grown
	}
	kept := s.entries[from-s.first:]
	if len(kept) > limit {
		kept = kept[:limit]
	}
	page.Entries = append(page.Entries, kept...)
	return page, true, s.grown
}

// dropBefore trims all entries before offset, as far as there are any.
func (s *store) dropBefore(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(min(offset, s.head()))
}

func (s *store) head() uint64 { return s.first + uint64(len(s.entries)) }

// trim drops what is older than the retention or beyond the count.
func (s *store) trim(now time.Time) {
	keep := 0
	if s.retention > 0 {
		oldest := now.Add(-s.retention)
		for keep < len(s.entries) && s.entries[keep].Time.Before(oldest) {
			keep++
		}
	}
	if s.maxCount > 0 {
		keep = max(keep, len(s.entries)-s.maxCount)
	}
	s.drop(s.first + uint64(keep))
}

func (s *store) drop(before uint64) {
	if before <= s.first {
		return
	}
	n := int(before - s.first)
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.first = before
}
