package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// Log is a topic as this instance reads it: from its collector, or from the store. What
// it reads is kept for those that ask this instance.
type Log struct {
	topic  string
	store  keyedlog.Log
	client *Client
	cache  *Cache
	now    func() time.Time
	// oldest is the age past which an answer is worth a read of one's own.
	maxAge time.Duration
	// changed is told when another collector answers, or none: "".
	onCollectorChange func(topic, name string)
	// Far says that a collector reads from one of another failure domain, where it can, and not
	// from the store: for a topic that most of the store's bytes go to.
	CrossDomain bool
	// Urgent says that the topic's records must be in force soon after an outage of the store.
	Urgent bool

	mu sync.Mutex
	// by is the collector that answered last, "" for none; direct says that the last read was
	// one of the store itself, which answered.
	collector         string
	lastReadFromStore bool
}

// NewLog returns the topic; cache is filled by its reads. An answer of a collector older
// than oldest is not taken. changed is told when another collector answers, or none: "".
func NewLog(topic string, store keyedlog.Log, client *Client, cache *Cache, maxAge time.Duration, onCollectorChange func(topic, name string)) *Log {
	return &Log{topic: topic, store: store, client: client, cache: cache, now: client.now, maxAge: maxAge, onCollectorChange: onCollectorChange}
}

// Read implements keyedlog.Log.
func (l *Log) Read(ctx context.Context, from keyedlog.Position, wait time.Duration) (keyedlog.Batch, error) {
	params := func(wait time.Duration) any {
		return readParams{l.topic, from.Offset, from.Era, wait.Milliseconds(), l.maxAge.Milliseconds()}
	}
	out, err := l.askCollectors(ctx, methodRead, params, wait)
	l.noteCollector(out.collector)
	if err == nil && !from.MatchesEra(out.Era) {
		return keyedlog.Batch{}, keyedlog.ErrRestored
	}
	if err == nil {
		b := keyedlog.Batch{Records: out.Records, Next: out.position(), Age: out.age}
		l.cache.Add(b, l.now().Add(-out.age))
		return b, nil
	}
	if errors.Is(err, keyedlog.ErrTrimmed) || ctx.Err() != nil {
		return keyedlog.Batch{}, err
	}
	if !l.mayReadStore() {
		return keyedlog.Batch{}, err
	}
	if l.client.isStoreUnreachable() {
		wait = 0
	}
	start := l.now()
	b, err := l.store.Read(ctx, from, wait)
	l.noteStoreResult(ctx, err)
	if err != nil {
		return b, err
	}
	b.Age = l.now().Sub(start)
	l.cache.Add(b, start)
	return b, nil
}

// newestTime is how long the newest records may take on their way, beside the usual: those
// of 1,000 backend servers are 0.4 MB, a third of a second by a link of 10 Mbit/s. Given up
// too soon by three collectors, they were had after 1.5 s, from the store.
const newestExtraTime = 1100 * time.Millisecond

// Newest implements keyedlog.Log.
func (l *Log) Newest(ctx context.Context) (keyedlog.Snapshot, error) {
	params := func(time.Duration) any { return newestParams{l.topic} }
	out, err := l.askCollectors(ctx, methodNewest, params, newestExtraTime)
	if err == nil && l.cache.hasLaterEraThan(out.position()) {
		err = keyedlog.ErrNotApplied // the collector has not noticed yet that the log came back from a copy
	}
	l.noteCollector(out.collector)
	if err == nil {
		s := keyedlog.Snapshot{Records: out.Records, Next: out.position(), Age: out.age}
		l.cache.Replace(s, l.now().Add(-out.age))
		return s, nil
	}
	if !l.mayReadStore() {
		return keyedlog.Snapshot{}, err
	}
	start := l.now()
	s, err := l.store.Newest(ctx)
	l.noteStoreResult(ctx, err)
	if err != nil {
		return s, err
	}
	s.Age = l.now().Sub(start)
	l.cache.Replace(s, start)
	return s, nil
}

// ask asks the collectors of this failure domain and, where there is none, that of another one if
// the topic goes so far.
//
// Load: thousands of heartbeats a second, read by the collector of each failure domain alike. Harm
// prevented: the store's bytes grow with failure domains times backend servers; they go with the
// backend servers alone.
func (l *Log) askCollectors(ctx context.Context, method string, params func(wait time.Duration) any, wait time.Duration) (collectorAnswer, error) {
	out, err := l.client.call(ctx, method, params, wait, l.maxAge)
	if !l.CrossDomain || !errors.Is(err, errNoCollector) {
		return out, err
	}
	return l.client.callMembers(ctx, l.client.members.RemoteCollectors(), method, params, wait, l.maxAge)
}

// mayAskStore says whether the topic may be read from the store now.
func (l *Log) mayReadStore() bool {
	if l.Urgent {
		return l.client.mayReadStoreUrgently()
	}
	return l.client.mayReadStore()
}

// asked notes whether the store gave an answer, unless the read was ended here.
func (l *Log) noteStoreResult(ctx context.Context, err error) {
	l.mu.Lock()
	l.lastReadFromStore = err == nil || errors.Is(err, keyedlog.ErrTrimmed)
	l.mu.Unlock()
	switch {
	case err == nil:
		l.client.storeAnswered()
	case ctx.Err() == nil && !errors.Is(err, keyedlog.ErrTrimmed):
		l.client.storeFailed()
	}
}

// Append implements keyedlog.Log. Without a condition it goes by the collector, which
// sends the records of several instances in one call; with one, the store is asked.
func (l *Log) Append(ctx context.Context, at keyedlog.Position, records ...keyedlog.Record) error {
	if at == keyedlog.AnyPosition {
		params := func(time.Duration) any { return appendParams{l.topic, records} }
		_, err := l.client.call(ctx, methodAppend, params, 0, l.maxAge)
		if err == nil {
			return nil
		}
	}
	return l.store.Append(ctx, at, records...)
}

// Direct says whether this instance reads the topic from the store itself: what the others of its
// failure domain leave to one of them is then its own to do.
//
// Load: all instances start again while the store resets their calls, so that none finds the
// others. Harm prevented: each takes itself for the one that writes, and asks the store several
// times a second.
func (l *Log) ReadsStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReadFromStore
}

// note tells of a change of the collector.
func (l *Log) noteCollector(name string) {
	l.mu.Lock()
	unchanged := l.collector == name
	l.collector = name
	l.lastReadFromStore = l.lastReadFromStore && name == ""
	l.mu.Unlock()
	if !unchanged {
		l.onCollectorChange(l.topic, name)
	}
}
