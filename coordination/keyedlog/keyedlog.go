// Package keyedlog is the seam to a log whose records carry keys: the newest record of
// each key is kept for good, older ones for a while. Clients implement Log.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record. An empty Value drops the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Position is a place in a log.
type Position struct {
	// Era counts how often the log came back from a copy of an earlier state, which gives
	// offsets out again; 0 where that is not known.
	Era    uint64
	Offset uint64
}

// At is the position of an offset, of an era that is not known.
func AtOffset(offset uint64) Position { return Position{Offset: offset} }

// IsOf says whether the position is one of the era's log, as far as both eras are known.
func (p Position) MatchesEra(era uint64) bool { return p.Era == 0 || era == 0 || p.Era == era }

// Batch is what one read returned.
type Batch struct {
	Records []Record
	// Next is where to go on from.
	Next Position
	// Age is how old the word on the log's end is when the read returns, at the most; 0
	// where the log does not say, which means as old as the read's start.
	Age time.Duration
}

// Snapshot is the newest record of each key, read page by page.
type Snapshot struct {
	Records []Record
	// Next is the end of the log as it was before the first page was read, so that a
	// tail from there misses nothing.
	Next Position
	// Age is as for Batch.
	Age time.Duration
}

// Anywhere is the position of an append without a condition.
var AnyPosition = Position{Offset: ^uint64(0)}

// Log is one topic.
type Log interface {
	// Read returns the records from the position on; with none there it waits for as long
	// as wait says. It fails with ErrRestored where the position is of another era.
	Read(ctx context.Context, from Position, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Snapshot, error)
	// Append adds the records, all or none. Unless at is Anywhere, it fails with
	// ErrMoved where the log does not end there.
	Append(ctx context.Context, at Position, records ...Record) error
}

// The outcomes of a call that did not succeed. They wrap the cause.
var (
	// ErrNotDone: nothing was done; the log is busy or refuses this instance.
	ErrNotApplied = errors.New("the log did nothing")
	// ErrUnknown: no answer came; a write may have been done, or may be done later.
	ErrUnknown = errors.New("the log did not answer")
	// ErrGone: the records from that offset on are not kept any more.
	ErrTrimmed = errors.New("the log has dropped these records")
	// ErrRestored: the log came back from a copy, and the position is one of before. It is an
	// ErrGone, as the way on is the same: the newest records, and a reader from there.
	ErrRestored = fmt.Errorf("%w: it came back from a copy", ErrTrimmed)
	// ErrMoved: the log ends at another offset than the append named.
	ErrConflict = errors.New("the log ends elsewhere")
	// ErrRejected: the call is wrong, and will be wrong again.
	ErrRejected = errors.New("the log rejects the call")
)
