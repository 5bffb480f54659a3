package logsvc

import (
	"sync"
	"time"

	"masticplank.example/router/internal/wire"
)

// store keeps the entries in memory. It is safe for concurrent use.
type store struct {
	now        func() time.Time
	retention  time.Duration
	maxEntries int

	mu      sync.Mutex
	entries []wire.LogEntry
	// first is the offset of entries[0], or of the next append if no entry is
	// kept.
	first    uint64
	lastTime time.Time
	// appended is closed by the next append.
	appended chan struct{}
}

func newStore(now func() time.Time, retention time.Duration, maxEntries int) *store {
	return &store{
		now:        now,
		retention:  retention,
		maxEntries: maxEntries,
		appended:   make(chan struct{}),
	}
}

// append adds data at the head and returns its offset. The entries' times never
// decrease, even if the clock does.
func (s *store) append(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.now()
	if at.Before(s.lastTime) {
		at = s.lastTime
	}
	s.lastTime = at
	offset := s.head()
	s.entries = append(s.entries, wire.LogEntry{Offset: offset, Time: at, Data: data})
	s.applyRetention(at)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns up to limit entries from offset from, whether that offset is
// still kept, and a channel that is closed by the next append.
func (s *store) read(from uint64, limit int) (wire.LogPage, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRetention(s.now())
	page := wire.LogPage{Entries: []wire.LogEntry{}, Head: s.head(), First: s.first}
	if from < s.first {
		return page, false, s.appended
	}
	if from >= page.Head {
		return page, true, s.appended
	}
	kept := s.entries[from-s.first:]
	if len(kept) > limit {
		kept = kept[:limit]
	}
	page.Entries = append(page.Entries, kept...)
	return page, true, s.appended
}

// trimBefore removes all entries before offset.
func (s *store) trimBefore(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeBefore(min(offset, s.head()))
}

func (s *store) head() uint64 { return s.first + uint64(len(s.entries)) }

// applyRetention removes entries older than the retention and those in excess of
// maxEntries.
func (s *store) applyRetention(now time.Time) {
	firstKept := 0
	if s.retention > 0 {
		oldest := now.Add(-s.retention)
		for firstKept < len(s.entries) && s.entries[firstKept].Time.Before(oldest) {
			firstKept++
		}
	}
	if s.maxEntries > 0 {
		firstKept = max(firstKept, len(s.entries)-s.maxEntries)
	}
	s.removeBefore(s.first + uint64(firstKept))
}

func (s *store) removeBefore(before uint64) {
	if before <= s.first {
		return
	}
	n := int(before - s.first)
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.first = before
}
