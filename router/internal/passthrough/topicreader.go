package passthrough

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/router/internal/logging"
)

const (
	// retryFirst and retryMost space the tries of a topic that does not answer: soon at
	// first, since configurations must be in force within 2 s, then rarely enough that
	// a fleet does not keep a store down that comes back.
	retryFirst = 60 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// retryRare is the same for topics that have no bound of their own.
	retryRare = 1500 * time.Millisecond
	// retryParts is how often the first time between two tries goes into the longest one.
	retryParts = 4
)

// topicReader follows a topic: the newest record of each key first, then every record.
type topicReader struct {
	name    string
	log     keyedlog.Log
	clock   Clock
	journal *journal
	// wait is how long a read is kept waiting for a record, pause the time between two
	// reads.
	wait  func() time.Duration
	pause func() time.Duration
	// retry is the longest time between two tries of a topic that does not answer, retryParts
	// times the first one; 0 for the shortest.
	retry time.Duration
	// nudge ends a pause early; nil for none.
	nudge chan struct{}
	// whole is given the newest record of each key, and each the records that follow;
	// read is told of every read with the time at which the log was as read.
	whole func([]keyedlog.Record)
	each  func(keyedlog.Record)
	read  func(began time.Time, records int)
	// restored is told, before the newest records of a log that came back from a copy; nil for
	// nobody.
	restored func()
	// back is told, before the first records after an outage, how long that was; nil for
	// nobody.
	back func(lost time.Duration)

	next  keyedlog.Position
	known bool
	lost  time.Time
}

// run follows the topic until ctx ends.
func (t *topicReader) run(ctx context.Context) {
	first := max(retryFirst, t.retry/retryParts)
	delay := first
	for ctx.Err() == nil {
		if err := t.once(ctx); err != nil {
			t.failed(ctx, err)
			sleep(ctx, delay, nil)
			delay = min(2*delay, max(t.retry, retryMost))
			continue
		}
		delay = first
		if t.pause != nil {
			sleep(ctx, t.pause(), t.nudge)
		}
	}
}

// once reads once.
func (t *topicReader) once(ctx context.Context) error {
	began := t.clock.Now()
	if !t.known {
		return t.restart(ctx, began)
	}
	wait := time.Duration(0)
	if t.wait != nil && t.lost.IsZero() {
		wait = t.wait() // after a failure the first word counts, not the next record
	}
	batch, err := t.log.Read(ctx, t.next, wait)
	if errors.Is(err, keyedlog.ErrGone) {
		t.known = false
		return t.restart(ctx, began)
	}
	if err != nil {
		return err
	}
	t.returned()
	for _, r := range batch.Records {
		t.each(r)
	}
	t.next = batch.Next
	t.read(t.asOf(began, batch.Age), len(batch.Records))
	return nil
}

// restart reads the newest records. The reader goes on from the end that was read first.
func (t *topicReader) restart(ctx context.Context, began time.Time) error {
	snap, err := t.log.Newest(ctx)
	if err != nil {
		return err
	}
	t.returned()
	if !t.next.IsOf(snap.Next.Era) {
		t.fromCopy(snap.Next.Era)
	}
	t.whole(snap.Records)
	t.next, t.known = snap.Next, true
	t.read(t.asOf(began, snap.Age), len(snap.Records))
	return nil
}

// fromCopy notes that the log came back from a copy of an earlier state: what was read of it may be
// missing there.
func (t *topicReader) fromCopy(era uint64) {
	t.journal.count("store_restored")
	t.journal.gauge("store_era", int(era))
	t.journal.emit(logging.EventStoreRestored, slog.String("topic", t.name),
		slog.Uint64("era", era), slog.Uint64("era_before", t.next.Era), slog.Uint64("read_to", t.next.Offset))
	if t.restored != nil {
		t.restored()
	}
}

// asOf is the time at which the log was as read: the read's start, unless the log says
// how old its word is.
func (t *topicReader) asOf(began time.Time, age time.Duration) time.Time {
	if age == 0 {
		return began
	}
	return t.clock.Now().Add(-age)
}

// failed notes the begin of an outage.
func (t *topicReader) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || !t.lost.IsZero() {
		return
	}
	t.lost = t.clock.Now()
	t.journal.emit(logging.EventStoreLost, slog.String("topic", t.name), slog.String(logging.KeyError, err.Error()))
}

// returned notes the end of an outage.
func (t *topicReader) returned() {
	if t.lost.IsZero() {
		return
	}
	if t.back != nil {
		t.back(t.clock.Now().Sub(t.lost))
	}
	t.journal.emit(logging.EventStoreRegained, slog.String("topic", t.name),
		slog.Int64("lost_ms", t.clock.Now().Sub(t.lost).Milliseconds()))
	t.lost = time.Time{}
}

// sleep waits for d, for a nudge or for the end of ctx.
func sleep(ctx context.Context, d time.Duration, nudge <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-nudge:
	case <-ctx.Done():
	}
}
