package passthrough

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
)

const (
	// minRetryDelay and maxRetryDelay are the first and the longest delay between two failed reads
	// of a topic: short at first, since configurations must be in force within 2 s, then long
	// enough that a fleet does not overload a store that recovers.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// slowRetryDelay is the longest delay for topics without a bound on their age.
	slowRetryDelay = 1500 * time.Millisecond
	// retryGrowth is the ratio of topicReader.longestRetryDelay, if that is set, to the first
	// delay.
	retryGrowth = 4
)

// topicReader follows a topic: it reads the newest record of each key first, then every new record.
type topicReader struct {
	name      string
	log       keyedlog.Log
	clock     Clock
	telemetry *telemetry
	// wait is how long a read waits for a record, pause the time between two reads; nil for none.
	wait  func() time.Duration
	pause func() time.Duration
	// longestRetryDelay bounds the delay between two failed reads; a value below maxRetryDelay, such
	// as 0, stands for maxRetryDelay. The first delay is the field's value divided by retryGrowth,
	// at least minRetryDelay.
	longestRetryDelay time.Duration
	// wake ends a pause early; nil for none.
	wake chan struct{}
	// onSnapshot is called with the newest record of each key, and onRecord with each record
	// that follows; onRead is called after every read, nil for none. onCaughtUp is called before
	// that if the read reached the end of the topic, with the time as of which it did; nil for none.
	onSnapshot func([]keyedlog.Record)
	onRecord   func(keyedlog.Record)
	onRead     func()
	onCaughtUp func(asOf time.Time)
	// onFirstRead is called before onSnapshot gets the first records that this process reads, with the
	// log's era; nil for none. onRestore is called before onSnapshot gets the records of a topic that
	// was restored since; nil for none.
	onFirstRead func(era uint64)
	onRestore   func()
	// onRecovery is called with an outage that has ended, before the first records after it; nil for
	// none.
	onRecovery func(outage)

	// next is where the next read starts, valid if positioned is true; its era is kept to detect
	// a restore. readAt is the time as of which the topic was last read to its end, zero for never; remaining
	// is how many records followed the last read. lostSince is the start of the current outage, zero for none; failedReads counts the reads that failed in it,
	// withheldReads those of them that did not go to the store.
	next          keyedlog.Position
	positioned    bool
	readAt        time.Time
	remaining     uint64
	lostSince     time.Time
	failedReads   int
	withheldReads int
}

// run follows the topic until ctx ends.
func (t *topicReader) run(ctx context.Context) {
	minDelay := max(minRetryDelay, t.longestRetryDelay/retryGrowth)
	delay := minDelay
	for ctx.Err() == nil {
		if err := t.readOnce(ctx); err != nil {
			t.noteOutage(ctx, err)
			sleep(ctx, delay, nil)
			delay = min(2*delay, max(t.longestRetryDelay, maxRetryDelay))
			continue
		}
		delay = minDelay
		if t.pause != nil && t.remaining == 0 {
			sleep(ctx, t.pause(), t.wake)
		}
	}
}

// readOnce reads the topic once. It returns an error if the read fails.
func (t *topicReader) readOnce(ctx context.Context) error {
	began := t.clock.Now()
	if !t.positioned {
		return t.readSnapshot(ctx, began)
	}
	wait := time.Duration(0)
	if t.wait != nil && t.lostSince.IsZero() {
		wait = t.wait() // not after a failed read: then any result is needed soon, not the next record
	}
	batch, err := t.log.Read(ctx, t.next, wait)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		t.positioned = false
		return t.readSnapshot(ctx, began)
	}
	if err != nil {
		return err
	}
	t.noteRecovery(batch)
	for _, r := range batch.Records {
		t.onRecord(r)
	}
	t.next = batch.Next
	t.noteRead(t.asOf(began, batch.Age), batch.Remaining)
	return nil
}

// readSnapshot reads the newest record of each key. Later reads continue from the snapshot's end.
func (t *topicReader) readSnapshot(ctx context.Context, began time.Time) error {
	snap, err := t.log.Newest(ctx)
	if err != nil {
		return err
	}
	t.noteRecovery(keyedlog.Batch{})
	switch {
	case !t.next.MatchesEra(snap.Next.Era):
		t.noteRestore(snap.Next.Era)
	case t.readAt.IsZero() && t.onFirstRead != nil:
		t.onFirstRead(snap.Next.Era)
	}
	t.onSnapshot(snap.Records)
	t.next, t.positioned = snap.Next, true
	t.noteRead(t.asOf(began, snap.Age), 0)
	return nil
}

// noteRead records a successful read after which remaining records follow, and calls onCaughtUp and onRead.
//
// Load: a reader that the store turned away returns to a backlog that exceeds one read. Harm prevented: it takes
// the first part for all there is, and accepts a key that a later record revokes.
func (t *topicReader) noteRead(asOf time.Time, remaining uint64) {
	if remaining > 0 && t.remaining == 0 {
		t.telemetry.count("topic_catch_up")
		t.telemetry.emit(logging.EventTopicBacklog, slog.String("topic", t.name), slog.Uint64("read_to", t.next.Offset),
			slog.Uint64("remaining", remaining))
	}
	t.remaining = remaining
	if remaining == 0 {
		t.readAt = asOf
		if t.onCaughtUp != nil {
			t.onCaughtUp(asOf)
		}
	}
	if t.onRead != nil {
		t.onRead()
	}
}

// noteRestore logs that the topic was restored from a backup and may lack records that were read
// before, and calls onRestore.
func (t *topicReader) noteRestore(era uint64) {
	t.telemetry.count("store_restored")
	t.telemetry.gauge("store_era", int(era))
	t.telemetry.emit(logging.EventStoreRestored, slog.String("topic", t.name),
		slog.Uint64("era", era), slog.Uint64("era_before", t.next.Era), slog.Uint64("read_to", t.next.Offset))
	if t.onRestore != nil {
		t.onRestore()
	}
}

// asOf returns the time as of which the topic was read: the start of the read, unless the result states
// its age.
func (t *topicReader) asOf(began time.Time, age time.Duration) time.Time {
	if age == 0 {
		return began
	}
	return t.clock.Now().Add(-age)
}

// noteOutage records a failed read, and logs the start of an outage.
func (t *topicReader) noteOutage(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.failedReads++
	if errors.Is(err, relay.ErrStoreBackoff) {
		t.withheldReads++
	}
	if !t.lostSince.IsZero() {
		return
	}
	t.lostSince = t.clock.Now()
	t.telemetry.emit(logging.EventStoreLost, slog.String("topic", t.name), slog.String(logging.KeyError, err.Error()))
}

// outage is a time in which a topic could not be read.
type outage struct {
	// lost is the time since the first read that failed, unread the time since the topic was last read; a
	// failure of the store itself was shorter than that.
	lost   time.Duration
	unread time.Duration
	// written are the first records written in the unread time, nil if only the newest ones are known, and remaining
	// is how many followed them. A collector leaves out those that change nothing; steady is then for how long it has
	// read the topic without interruption, 0 if unknown.
	written   []keyedlog.Record
	remaining uint64
	steady    time.Duration
}

// noteRecovery records and logs the end of an outage, and calls onRecovery. b is the batch that
// was read, empty for a snapshot.
func (t *topicReader) noteRecovery(b keyedlog.Batch) {
	if t.lostSince.IsZero() {
		return
	}
	if t.onRecovery != nil {
		now := t.clock.Now()
		t.onRecovery(outage{lost: now.Sub(t.lostSince), unread: now.Sub(t.readAt), written: b.Records, remaining: b.Remaining, steady: b.Steady})
	}
	t.telemetry.emit(logging.EventStoreRegained, slog.String("topic", t.name),
		slog.Int64("lost_ms", t.clock.Now().Sub(t.lostSince).Milliseconds()),
		slog.Int("failed_reads", t.failedReads), slog.Int("withheld_reads", t.withheldReads))
	t.lostSince, t.failedReads, t.withheldReads = time.Time{}, 0, 0
}

// sleep waits for d, for a value on wake (nil for none) or for the end of ctx.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
