package passthrough

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// observationStore is what the instances tell each other by one topic: the answers that each saw in
// a roll-out, and requests that crash backend servers. Each instance writes the whole of
// its own under a key of its own, so that a record lost or written twice does no harm.
type observationStore struct {
	instance string
	// life tells this process from those before.
	processStart uint64
	log          keyedlog.Log
	driver       *Driver
	telemetry    *telemetry
	clock        Clock

	// fleet is the number of instances that share the topic.
	fleetSize func() int
	// held gives the records of other instances that are to be written with the own.
	followerRecords func() []keyedlog.Record

	mu sync.Mutex
	// own are this instance's observations by service, others those of the others by key.
	own            map[string]*observationSet
	others         map[string]observationSet
	pendingCrashes map[uint64]int
	wake           chan struct{}
	// quietAt is when the set is written next though only good answers are to be told.
	nextIdleWrite time.Time
	// readAt is the last time that the others' observations were read, soundSince the end of the
	// last outage in which they were not.
	lastReadAt    time.Time
	completeSince time.Time
	// drops are keys of this instance's that are to be dropped, and when.
	deleteAt map[string]time.Time
}

const (
	// observationsEvery is the time between two writes of the own set while a roll-out is in
	// progress and its counts of bad answers change.
	observationInterval = 1100 * time.Millisecond
	// quietEvery is the same while only good answers of the old version are to be told, and
	// quietPerInstance what it is at least for each instance: each reads what all write, and 25
	// observations a second tell the number of answers well enough.
	idleWriteInterval    = 6 * time.Second
	idleWritePerInstance = 40 * time.Millisecond
	// gatherTime is how long a write waits for more, so that what comes at once goes out in one
	// call.
	batchDelay = 150 * time.Millisecond
	// observationsWait is how long a read waits for a record while no roll-out is in progress.
	idleReadWait = 8 * time.Second
	// noteLife is how long a note on a crash, or a set of a roll-out that has ended, stays in
	// the store: those that read it then have counted it, and one that starts later must not.
	recordLifetime = 30 * time.Second
)

func newObservationStore(instance string, log keyedlog.Log, driver *Driver, j *telemetry, clock Clock) *observationStore {
	return &observationStore{
		instance: instance, processStart: uint64(clock.Now().UnixNano()), log: log, driver: driver, telemetry: j, clock: clock,
		own: map[string]*observationSet{}, others: map[string]observationSet{}, pendingCrashes: map[uint64]int{}, deleteAt: map[string]time.Time{},
		wake: make(chan struct{}, 1), fleetSize: func() int { return 1 }, followerRecords: func() []keyedlog.Record { return nil },
	}
}

// observed counts an answer. It must not block: the driver calls it.
func (b *observationStore) recordAnswer(o passthrough.Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.own[o.Service]
	if s == nil {
		return
	}
	if o.ConnectionLost && o.Version == s.Target {
		s.addCrash(o)
		o.TimingOnly = true // its times count, and the crash by itself
	}
	s.Routes[o.Route] = observationRow(passthrough.VersionCounts(s.Routes[o.Route]).Add(o, s.Target))
	s.dirty = s.dirty || o.Version == s.Target
}

func (b *observationStore) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// open adds the sessions that are open here to the own set.
func (b *observationStore) addOpenSessions(service string, sessions []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.own[service]
	if s == nil {
		return
	}
	for _, id := range sessions {
		if !slices.Contains(s.Sessions, id) {
			s.Sessions = append(s.Sessions, id)
			s.dirty = true
		}
	}
}

// run writes what this instance has to tell until ctx ends.
func (b *observationStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		records := append(b.pendingRecords(), b.followerRecords()...)
		if len(records) > 0 {
			if err := b.log.Append(ctx, keyedlog.Anywhere, records...); err != nil {
				b.telemetry.emit(logging.EventStoreLost, slog.String("topic", topicObservations), slog.String(logging.KeyError, err.Error()))
				b.markDirty()
				b.markIncomplete()
			}
		}
		wait := idleReadWait
		if b.inRollout() {
			wait = observationInterval
		}
		sleep(ctx, wait, b.wake)
		sleep(ctx, batchDelay, nil)
	}
}

// busy says whether this instance keeps a set.
func (b *observationStore) inRollout() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.own) > 0
}

// due makes the records that are to be written now.
func (b *observationStore) pendingRecords() []keyedlog.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []keyedlog.Record
	now := b.clock.Now()
	quiet := !now.Before(b.nextIdleWrite)
	for _, s := range b.own {
		if s.dirty || quiet {
			s.dirty = false
			b.nextIdleWrite = now.Add(b.idleWriteDelay())
			out = append(out, b.encode(s.key(), s))
		}
	}
	out = append(out, b.crashRecords(now)...)
	for key, at := range b.deleteAt {
		if now.After(at) {
			delete(b.deleteAt, key)
			out = append(out, keyedlog.Record{Key: key})
		}
	}
	return out
}

// quietSpan is the time to the next set without news. It differs from instance to instance:
// all learn of an order at the same moment, and 295 observations at once held up what must be fresh
// behind them, so that hundreds of instances turned to the store.
func (b *observationStore) idleWriteDelay() time.Duration {
	span := max(idleWriteInterval, time.Duration(b.fleetSize())*idleWritePerInstance)
	return span/2 + rand.N(span)
}

// redo marks the observations as not written.
func (b *observationStore) markDirty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.own {
		s.dirty = true
	}
}

func (b *observationStore) encode(key string, s *observationSet) keyedlog.Record {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return keyedlog.Record{Key: key, Value: text}
}

// close forgets the observations of a roll-out that has ended, here and, after the others had
// time to read them, in the store, which keeps the newest record of a key for good.
func (b *observationStore) endRollout(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.own[service]; s != nil {
		b.deleteAt[s.key()] = b.clock.Now().Add(recordLifetime)
	}
	delete(b.own, service)
	for key, s := range b.others {
		if s.Service != service {
			continue
		}
		delete(b.others, key)
		if s.Instance == b.instance {
			b.deleteAt[key] = b.clock.Now().Add(recordLifetime) // of a process before this one
		}
	}
}
