// Package keyedlog is the interface to a log whose records carry keys: the newest record of
// each key is kept forever, older ones for a limited time. Clients of a log service
// implement Log.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a key and its value at one offset of the log. An empty Value deletes the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Position is a position in a log: an offset, and the era that the offset belongs to.
type Position struct {
	// Era counts the restores of the log from a backup, after which offsets are
	// assigned again; 0 if unknown.
	Era    uint64
	Offset uint64
}

// AtOffset returns the position of an offset in an unknown era.
func AtOffset(offset uint64) Position { return Position{Offset: offset} }

// MatchesEra reports whether the position may belong to era: the two eras are equal, or one
// of them is unknown.
func (p Position) MatchesEra(era uint64) bool { return p.Era == 0 || era == 0 || p.Era == era }

// Batch is the result of one Read.
type Batch struct {
	Records []Record
	// Next is the position to read from next.
	Next Position
	// Remaining is how many records the log held after Next when it answered. While there are any, the batch shows
	// only that Next is not the end of the log, not what the newest records are.
	Remaining uint64
	// Age is an upper bound on how old the information about the end of the log is when the
	// read returns. 0 means that the log does not report it; the information is then as old
	// as the start of the read.
	Age time.Duration
	// Steady is for how long whoever read the log itself has done so without interruption; 0 if
	// unknown.
	Steady time.Duration
}

// AtEnd reports whether the batch reaches the end of the log.
func (b Batch) AtEnd() bool { return b.Remaining == 0 }

// Snapshot is the result of Newest: the newest record of each key, read page by page.
type Snapshot struct {
	Records []Record
	// Next is the end of the log before the first page was read, so that reading on from
	// there misses no record.
	Next Position
	// Age is the same as Batch.Age.
	Age time.Duration
}

// AnyPosition makes an append unconditional.
var AnyPosition = Position{Offset: ^uint64(0)}

// Log is one topic of a log service. Errors wrap those of this package.
type Log interface {
	// Read returns the records from the position on. If there are none, it waits up to
	// wait for one. It fails with ErrRestored if the position belongs to another era, and
	// with ErrTrimmed if the records there are no longer kept.
	Read(ctx context.Context, from Position, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Snapshot, error)
	// Append adds all records or none. Unless at is AnyPosition, it fails with ErrConflict
	// if the log does not end at at.
	Append(ctx context.Context, at Position, records ...Record) error
}

// Errors of a Log. Implementations wrap them together with the cause; callers use errors.Is.
// router/internal/relay sends their texts to other instances, so the texts must not change.
var (
	// ErrNotApplied means that the call had no effect: the log is busy or refuses this
	// instance.
	ErrNotApplied = errors.New("the log did nothing")
	// ErrUnknown means that no answer came: an append may have taken effect, or may still
	// do so.
	ErrUnknown = errors.New("the log did not answer")
	// ErrTrimmed means that the records at the position are no longer kept.
	ErrTrimmed = errors.New("the log has dropped these records")
	// ErrRestored means that the log was restored from a backup and the position is from before.
	// It wraps ErrTrimmed because the recovery is the same: call Newest and read on from there.
	ErrRestored = fmt.Errorf("%w: it came back from a copy", ErrTrimmed)
	// ErrConflict means that the log does not end at the position that Append was given.
	ErrConflict = errors.New("the log ends elsewhere")
	// ErrRejected means that the call is invalid, so that a retry fails too.
	ErrRejected = errors.New("the log rejects the call")
)
