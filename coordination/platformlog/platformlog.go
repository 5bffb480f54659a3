// Package platformlog is the interface to the platform's append-only log service.
package platformlog

import (
	"context"
	"errors"
	"time"
)

// Entry is one append in log order.
type Entry struct {
	// Offset is the entry's position; offsets are consecutive and start at 0.
	Offset uint64
	// Time is the append time by the log's clock; zero if the log gives none.
	Time time.Time
	// Data is the appended data, an encoded record.Batch.
	Data []byte
}

// Page is the result of one Read.
type Page struct {
	Entries []Entry
	// Head is the offset of the next append.
	Head uint64
	// First is the oldest offset that the log still keeps.
	First uint64
}

// Errors of a Log. Implementations wrap them; callers use errors.Is.
var (
	// ErrNotAppended means that the append definitely had no effect.
	ErrNotAppended = errors.New("platformlog: append had no effect")
	// ErrUnknown means that the append may or may not have taken effect.
	ErrUnknown = errors.New("platformlog: outcome of append unknown")
	// ErrUnavailable means that a read did not reach the log service.
	ErrUnavailable = errors.New("platformlog: log service unavailable")
	// ErrTrimmed means that the requested offset is no longer kept. The Page
	// returned with it contains First and Head.
	ErrTrimmed = errors.New("platformlog: offset no longer kept")
)

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append appends data and returns the offset of the new entry. Errors wrap
	// ErrNotAppended or ErrUnknown.
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit entries from offset from on. If there are none,
	// it waits up to wait for one (a long poll), then returns a page with no
	// entries and the head. Errors wrap ErrUnavailable or ErrTrimmed.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
