package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// Log reads a topic from the collector or from the store. The records read are cached for the
// instances that ask this one.
type Log struct {
	topic  string
	store  keyedlog.Log
	client *Client
	cache  *Cache
	now    func() time.Time
	// maxAge is the age past which a collector's answer is not accepted, and the store is read
	// instead.
	maxAge time.Duration
	// onCollectorChange is called when the collector that answers changes; name is "" if none does.
	onCollectorChange func(topic, name string)
	// CrossDomain makes a collector read the topic from a collector of another failure domain and,
	// if none answers, from the store. It is meant for a topic that makes up most of the store's
	// traffic.
	CrossDomain bool
	// Urgent is true if the topic's records must be in force soon after an outage of the store.
	Urgent bool

	mu sync.Mutex
	// collector is the one that answered last, "" for none. lastReadFromStore is true if the last
	// read went to the store, which answered.
	collector         string
	lastReadFromStore bool
}

// NewLog returns a reader of the topic, whose reads fill cache. A collector's answer older than
// maxAge is not accepted. onCollectorChange is called when the collector that answers changes; name
// is "" if none does.
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
		b := keyedlog.Batch{Records: out.Records, Next: out.position(), Age: out.age, Steady: time.Duration(out.SteadyUS) * time.Microsecond}
		l.cache.Add(b, l.now().Add(-out.age))
		return b, nil
	}
	if errors.Is(err, keyedlog.ErrTrimmed) || ctx.Err() != nil {
		return keyedlog.Batch{}, err
	}
	if !l.mayReadStore(err) {
		return keyedlog.Batch{}, ErrStoreBackoff
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

// newestExtraTime is the time allowed for the newest records in addition to callTimeout, at the
// first collector asked. For 1,000 backend servers these records are 0.4 MB, a third of a second on
// a link of 10 Mbit/s. With a shorter timeout, the calls of up to three collectors time out one
// after another, and the records come from the store after 1.5 s.
const newestExtraTime = 1100 * time.Millisecond

// Newest implements keyedlog.Log.
func (l *Log) Newest(ctx context.Context) (keyedlog.Snapshot, error) {
	params := func(time.Duration) any { return newestParams{l.topic} }
	out, err := l.askCollectors(ctx, methodNewest, params, newestExtraTime)
	if err == nil && l.cache.hasLaterEraThan(out.position()) {
		err = keyedlog.ErrNotApplied // the collector has not noticed yet that the store was restored
	}
	l.noteCollector(out.collector)
	if err == nil {
		s := keyedlog.Snapshot{Records: out.Records, Next: out.position(), Age: out.age}
		l.cache.Replace(s, l.now().Add(-out.age))
		return s, nil
	}
	if !l.mayReadStore(err) {
		return keyedlog.Snapshot{}, ErrStoreBackoff
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

// askCollectors asks the collectors of this failure domain. If none gives a recent answer and the
// topic is CrossDomain, it asks one of another failure domain.
//
// Load: thousands of heartbeats per second, read by the collector of each failure domain. Harm
// prevented: without CrossDomain the store's traffic grows with failure domains times backend
// servers; with it, with the backend servers alone.
func (l *Log) askCollectors(ctx context.Context, method string, params func(wait time.Duration) any, wait time.Duration) (collectorAnswer, error) {
	out, err := l.client.call(ctx, method, params, wait, l.maxAge)
	if !l.CrossDomain || !errors.Is(err, errNoCollector) {
		return out, err
	}
	return l.client.callMembers(ctx, l.client.members.RemoteCollectors(), method, params, wait, l.maxAge)
}

// mayReadStore reports whether the topic may be read from the store now. collectorErr is the error with
// which the collectors were asked.
func (l *Log) mayReadStore(collectorErr error) bool {
	if l.Urgent {
		return l.client.mayReadStoreUrgently(!errors.Is(collectorErr, errNoCollectorReached))
	}
	return l.client.mayReadStore()
}

// noteStoreResult records the result of a read of the store. ErrTrimmed is an answer: the newest records
// must be read next, without a backoff. A read that was cancelled here does not count as a failure of the
// store.
func (l *Log) noteStoreResult(ctx context.Context, err error) {
	answered := err == nil || errors.Is(err, keyedlog.ErrTrimmed)
	l.mu.Lock()
	l.lastReadFromStore = answered
	l.mu.Unlock()
	switch {
	case answered:
		l.client.storeAnswered()
	case ctx.Err() == nil:
		l.client.storeFailed()
	}
}

// Append implements keyedlog.Log. Unconditional appends go to the collector, which sends the
// records of several instances in one call, or to the store if no collector accepts them;
// conditional ones go to the store.
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

// ReadsStore reports whether this instance reads the topic from the store itself. It is then
// responsible for the tasks that one instance does for its failure domain. It is false until the
// store has answered.
//
// Load: all instances restart while the store resets their connections, so that none finds the
// others. Harm prevented: otherwise each instance would assume that it is the one that writes, and
// call the store several times a second.
func (l *Log) ReadsStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReadFromStore
}

// noteCollector records the collector that answered and reports a change.
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
