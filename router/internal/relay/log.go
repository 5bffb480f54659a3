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
	oldest time.Duration
	// changed is told when another collector answers, or none: "".
	changed func(topic, name string)
	// Far says that a collector reads from one of another failure domain, where it can, and not
	// from the store: for a topic that most of the store's bytes go to.
	Far bool
	// Urgent says that the topic's records must be in force soon after an outage of the store.
	Urgent bool

	mu sync.Mutex
	// by is the collector that answered last, "" for none; direct says that the last read was
	// one of the store itself, which answered.
	by     string
	direct bool
}

// NewLog returns the topic; cache is filled by its reads. An answer of a collector older
// than oldest is not taken. changed is told when another collector answers, or none: "".
func NewLog(topic string, store keyedlog.Log, client *Client, cache *Cache, oldest time.Duration, changed func(topic, name string)) *Log {
	return &Log{topic: topic, store: store, client: client, cache: cache, now: client.now, oldest: oldest, changed: changed}
}

// Read implements keyedlog.Log.
func (l *Log) Read(ctx context.Context, from keyedlog.Position, wait time.Duration) (keyedlog.Batch, error) {
	question := func(wait time.Duration) any {
		return readParams{l.topic, from.Offset, from.Era, wait.Milliseconds(), l.oldest.Milliseconds()}
	}
	out, err := l.ask(ctx, methodRead, question, wait)
	l.note(out.by)
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
	if !l.mayAskStore() {
		return keyedlog.Batch{}, err
	}
	if l.client.storeAway() {
		wait = 0
	}
	began := l.now()
	b, err := l.store.Read(ctx, from, wait)
	l.asked(ctx, err)
	if err != nil {
		return b, err
	}
	b.Age = l.now().Sub(began)
	l.cache.Add(b, began)
	return b, nil
}

// newestTime is how long the newest records may take on their way, beside the usual: those
// of 1,000 backend servers are 0.4 MB, a third of a second by a link of 10 Mbit/s. Given up
// too soon by three collectors, they were had after 1.5 s, from the store.
const newestTime = 1100 * time.Millisecond

// Newest implements keyedlog.Log.
func (l *Log) Newest(ctx context.Context) (keyedlog.Snapshot, error) {
	question := func(time.Duration) any { return newestParams{l.topic} }
	out, err := l.ask(ctx, methodNewest, question, newestTime)
	if err == nil && l.cache.isLaterThan(out.position()) {
		err = keyedlog.ErrNotApplied // the collector has not noticed yet that the log came back from a copy
	}
	l.note(out.by)
	if err == nil {
		s := keyedlog.Snapshot{Records: out.Records, Next: out.position(), Age: out.age}
		l.cache.Replace(s, l.now().Add(-out.age))
		return s, nil
	}
	if !l.mayAskStore() {
		return keyedlog.Snapshot{}, err
	}
	began := l.now()
	s, err := l.store.Newest(ctx)
	l.asked(ctx, err)
	if err != nil {
		return s, err
	}
	s.Age = l.now().Sub(began)
	l.cache.Replace(s, began)
	return s, nil
}

// ask asks the collectors of this failure domain and, where there is none, that of another one if
// the topic goes so far.
//
// Load: thousands of heartbeats a second, read by the collector of each failure domain alike. Harm
// prevented: the store's bytes grow with failure domains times backend servers; they go with the
// backend servers alone.
func (l *Log) ask(ctx context.Context, method string, question func(wait time.Duration) any, wait time.Duration) (told, error) {
	out, err := l.client.call(ctx, method, question, wait, l.oldest)
	if !l.Far || !errors.Is(err, errNoCollector) {
		return out, err
	}
	return l.client.callAny(ctx, l.client.members.FarCollectors(), method, question, wait, l.oldest)
}

// mayAskStore says whether the topic may be read from the store now.
func (l *Log) mayAskStore() bool {
	if l.Urgent {
		return l.client.mayAskUrgently()
	}
	return l.client.mayAskStore()
}

// asked notes whether the store gave an answer, unless the read was ended here.
func (l *Log) asked(ctx context.Context, err error) {
	l.mu.Lock()
	l.direct = err == nil || errors.Is(err, keyedlog.ErrTrimmed)
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
		question := func(time.Duration) any { return appendParams{l.topic, records} }
		_, err := l.client.call(ctx, methodAppend, question, 0, l.oldest)
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
func (l *Log) Direct() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct
}

// note tells of a change of the collector.
func (l *Log) note(name string) {
	l.mu.Lock()
	same := l.by == name
	l.by = name
	l.direct = l.direct && name == ""
	l.mu.Unlock()
	if !same {
		l.changed(l.topic, name)
	}
}
