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
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// retryRare is the same for topics that have no bound of their own.
	slowRetryDelay = 1500 * time.Millisecond
	// retryParts is how often the first time between two tries goes into the longest one.
	retryGrowth = 4
)

// topicReader follows a topic: the newest record of each key first, then every record.
type topicReader struct {
	name      string
	log       keyedlog.Log
	clock     Clock
	telemetry *telemetry
	// wait is how long a read is kept waiting for a record, pause the time between two
	// reads.
	wait  func() time.Duration
	pause func() time.Duration
	// retry is the longest time between two tries of a topic that does not answer, retryParts
	// times the first one; 0 for the shortest.
	maxRetry time.Duration
	// nudge ends a pause early; nil for none.
	wake chan struct{}
	// whole is given the newest record of each key, and each the records that follow;
	// read is told of every read with the time at which the log was as read.
	onSnapshot func([]keyedlog.Record)
	onRecord   func(keyedlog.Record)
	onRead     func(began time.Time, records int)
	// restored is told, before the newest records of a log that came back from a copy; nil for
	// nobody.
	onRestore func()
	// back is told, before the first records after an outage, how long that was; nil for
	// nobody.
	onRecovery func(lost time.Duration)

	next       keyedlog.Position
	positioned bool
	lostSince  time.Time
}

// run follows the topic until ctx ends.
func (t *topicReader) run(ctx context.Context) {
	first := max(minRetryDelay, t.maxRetry/retryGrowth)
	delay := first
	for ctx.Err() == nil {
		if err := t.readOnce(ctx); err != nil {
			t.noteOutage(ctx, err)
			sleep(ctx, delay, nil)
			delay = min(2*delay, max(t.maxRetry, maxRetryDelay))
			continue
		}
		delay = first
		if t.pause != nil {
			sleep(ctx, t.pause(), t.wake)
		}
	}
}

// once reads once.
func (t *topicReader) readOnce(ctx context.Context) error {
	began := t.clock.Now()
	if !t.positioned {
		return t.readSnapshot(ctx, began)
	}
	wait := time.Duration(0)
	if t.wait != nil && t.lostSince.IsZero() {
		wait = t.wait() // after a failure the first word counts, not the next record
	}
	batch, err := t.log.Read(ctx, t.next, wait)
	if errors.Is(err, keyedlog.ErrGone) {
		t.positioned = false
		return t.readSnapshot(ctx, began)
	}
	if err != nil {
		return err
	}
	t.noteRecovery()
	for _, r := range batch.Records {
		t.onRecord(r)
	}
	t.next = batch.Next
	t.onRead(t.asOf(began, batch.Age), len(batch.Records))
	return nil
}

// restart reads the newest records. The reader goes on from the end that was read first.
func (t *topicReader) readSnapshot(ctx context.Context, began time.Time) error {
	snap, err := t.log.Newest(ctx)
	if err != nil {
		return err
	}
	t.noteRecovery()
	if !t.next.IsOf(snap.Next.Era) {
		t.noteRestore(snap.Next.Era)
	}
	t.onSnapshot(snap.Records)
	t.next, t.positioned = snap.Next, true
	t.onRead(t.asOf(began, snap.Age), len(snap.Records))
	return nil
}

// fromCopy notes that the log came back from a copy of an earlier state: what was read of it may be
// missing there.
func (t *topicReader) noteRestore(era uint64) {
	t.telemetry.count("store_restored")
	t.telemetry.gauge("store_era", int(era))
	t.telemetry.emit(logging.EventStoreRestored, slog.String("topic", t.name),
		slog.Uint64("era", era), slog.Uint64("era_before", t.next.Era), slog.Uint64("read_to", t.next.Offset))
	if t.onRestore != nil {
		t.onRestore()
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
func (t *topicReader) noteOutage(ctx context.Context, err error) {
	if ctx.Err() != nil || !t.lostSince.IsZero() {
		return
	}
	t.lostSince = t.clock.Now()
	t.telemetry.emit(logging.EventStoreLost, slog.String("topic", t.name), slog.String(logging.KeyError, err.Error()))
}

// returned notes the end of an outage.
func (t *topicReader) noteRecovery() {
	if t.lostSince.IsZero() {
		return
	}
	if t.onRecovery != nil {
		t.onRecovery(t.clock.Now().Sub(t.lostSince))
	}
	t.telemetry.emit(logging.EventStoreRegained, slog.String("topic", t.name),
		slog.Int64("lost_ms", t.clock.Now().Sub(t.lostSince).Milliseconds()))
	t.lostSince = time.Time{}
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
