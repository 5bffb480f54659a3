// Package platformlog is the seam to the platform's append-only log service.
package platformlog

import (
	"context"
	"errors"
	"time"
)

// Entry is one appended blob in log order.
type Entry struct {
	// Offset is the entry's place; offsets are dense and start at 0.
	Offset uint64
	// Time is the log's own append time. Zero where the log gives none.
	Time time.Time
	// Data is what was appended (an encoded record.Batch).
	Data []byte
}

// Page is the answer to one Read.
type Page struct {
	Entries []Entry
	// Head is the offset that the next append will get.
	Head uint64
	// First is the oldest offset that the log still keeps.
	First uint64
}

// Errors of a Log. Implementations wrap them; callers use errors.Is.
var (
	// ErrNotAppended means that the append certainly had no effect.
	ErrNotAppended = errors.New("platformlog: not appended")
	// ErrUnknown means that the append may or may not have taken effect.
	ErrUnknown = errors.New("platformlog: outcome of append unknown")
	// ErrUnavailable means that a read found no log service.
	ErrUnavailable = errors.New("platformlog: unavailable")
	// ErrTrimmed means that the offset asked for is no longer kept. The Page
	// returned with it carries First and Head.
	ErrTrimmed = errors.New("platformlog: trimmed")
)

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds data at the head. On a nil error it returns the entry's
	// offset. Errors wrap ErrNotAppended or ErrUnknown.
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit entries from offset from. With none there it
	// waits up to wait for one (a long poll), then returns an empty page with
	// the head. Errors wrap ErrUnavailable or ErrTrimmed.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
