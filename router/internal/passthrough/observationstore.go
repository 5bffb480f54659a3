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

// observationStore shares observations between instances through one topic: counts of the responses
// that each saw in a roll-out, requests that crash backend servers, and quarantined parts of prompts. Each instance writes its complete
// counts under a key of its own, so that a record that is lost or written twice does no harm.
type observationStore struct {
	instance string
	// processStart distinguishes this process from earlier ones of the instance.
	processStart uint64
	log          keyedlog.Log
	driver       *Driver
	telemetry    *telemetry
	clock        Clock

	// timeOfDay returns the time of day, by which a process knows the age of others' records.
	timeOfDay func() time.Time
	// fleetSize returns the number of instances that share the topic.
	fleetSize func() int
	// onRead is called after each read of the topic.
	onRead func()
	// followerRecords returns the followers' records that are to be written together with this
	// instance's records.
	followerRecords func() []keyedlog.Record

	mu sync.Mutex
	// own are this process's sets by service, others the sets read from the topic by key. Those
	// include sets that this process wrote, which latest leaves out.
	own    map[string]*observationSet
	others map[string]observationSet
	// pendingCrashes are the crashes by fingerprint that are to be written.
	pendingCrashes map[uint64]int
	// quarantines are the records of quarantined parts of prompts, by key.
	quarantines map[string]*quarantineState
	wake        chan struct{}
	// nextIdleWrite is the time of the next write of sets without changes of the new version's
	// counts.
	nextIdleWrite time.Time
	// lastReadAt is the time as of which the peers' observations were last read, completeSince
	// the end of the last period in which observations may have been missed.
	lastReadAt    time.Time
	completeSince time.Time
	// foundBad are the roll-outs whose versions this instance finds bad, peersFoundBad those whose versions others do.
	foundBad, peersFoundBad map[uint64]bool
	// deleteAt holds this instance's keys that are to be deleted, with the time of the deletion.
	deleteAt map[string]time.Time
}

const (
	// observationInterval is the time between two writes of this instance's set while a
	// roll-out is in progress and the counts of its new version change.
	observationInterval = 1100 * time.Millisecond
	// idleWriteInterval is the mean time between two writes while only counts of the old version
	// change; it is at least idleWritePerInstance times the fleet size. Each instance reads what
	// all write, and 25 sets a second report the number of responses precisely enough.
	idleWriteInterval    = 6 * time.Second
	idleWritePerInstance = 40 * time.Millisecond
	// batchDelay is how long a write waits for more records, so that simultaneous ones are
	// written in one call.
	batchDelay = 150 * time.Millisecond
	// idleReadWait is how long a read of the observations waits for a record while no roll-out is in
	// progress, and how long a read of the register always does. Without a roll-out it is also the
	// longest time between two checks for records to write.
	idleReadWait = 8 * time.Second
	// recordLifetime is how long a crash record, or a set of a roll-out that has ended, stays
	// in the store: by then all running instances have counted it, and an instance that starts
	// later must not count it.
	recordLifetime = 30 * time.Second
)

func newObservationStore(instance string, log keyedlog.Log, driver *Driver, tel *telemetry, clock Clock) *observationStore {
	return &observationStore{
		instance: instance, processStart: uint64(clock.Now().UnixNano()), log: log, driver: driver, telemetry: tel, clock: clock, timeOfDay: time.Now,
		own: map[string]*observationSet{}, others: map[string]observationSet{}, pendingCrashes: map[uint64]int{}, quarantines: map[string]*quarantineState{}, foundBad: map[uint64]bool{}, deleteAt: map[string]time.Time{},
		wake: make(chan struct{}, 1), fleetSize: func() int { return 1 }, onRead: func() {}, followerRecords: func() []keyedlog.Record { return nil },
	}
}

// recordResponse counts a response. It must not block: the driver calls it.
func (st *observationStore) recordResponse(o passthrough.Observation) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.own[o.Service]
	if s == nil {
		return
	}
	if o.ConnectionLost && o.Version == s.Target {
		s.addCrash(o)
		o.TimingOnly = true // count its times only: the crash is counted once by its key
	}
	s.Routes[o.Route] = observationRow(passthrough.VersionCounts(s.Routes[o.Route]).Add(o, s.Target))
	s.dirty = s.dirty || o.Version == s.Target
}

func (st *observationStore) wakeUp() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// addOpenSessions adds sessions that are open at this instance to its set for the service.
func (st *observationStore) addOpenSessions(service string, sessions []string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.own[service]
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

// run writes this instance's and its followers' records until ctx ends.
func (st *observationStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		records := append(st.pendingRecords(), st.followerRecords()...)
		if len(records) > 0 {
			if err := st.log.Append(ctx, keyedlog.AnyPosition, records...); err != nil {
				st.telemetry.emit(logging.EventStoreLost, slog.String("topic", topicObservations), slog.String(logging.KeyError, err.Error()))
				st.markDirty()
				st.markIncomplete()
			}
		}
		wait := idleReadWait
		if st.inRollout() {
			wait = observationInterval
		}
		sleep(ctx, wait, st.wake)
		sleep(ctx, batchDelay, nil)
	}
}

// inRollout reports whether this instance has a set for a roll-out in progress.
func (st *observationStore) inRollout() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.own) > 0
}

// pendingRecords returns the records that are to be written now, and marks them as written.
func (st *observationStore) pendingRecords() []keyedlog.Record {
	verdicts := st.driver.partVerdicts() // not under the lock, which the driver takes under its own
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []keyedlog.Record
	now := st.clock.Now()
	idleWriteDue := !now.Before(st.nextIdleWrite)
	for _, s := range st.own {
		if s.dirty || idleWriteDue {
			s.dirty = false
			st.nextIdleWrite = now.Add(st.idleWriteDelay())
			out = append(out, st.encode(s.key(), s))
		}
	}
	out = append(out, st.takeCrashRecords(now)...)
	out = append(out, st.takeQuarantineRecords(now, verdicts)...)
	for key, at := range st.deleteAt {
		if now.After(at) {
			delete(st.deleteAt, key)
			out = append(out, keyedlog.Record{Key: key})
		}
	}
	return out
}

// idleWriteDelay returns a random time to the next write of a set without changes of the new version's
// counts. It is random because all instances get an order at the same moment: if 295 sets are written
// at once, they delay the reads that must be fresh, and hundreds of instances read the store
// themselves.
func (st *observationStore) idleWriteDelay() time.Duration {
	interval := max(idleWriteInterval, time.Duration(st.fleetSize())*idleWritePerInstance)
	return interval/2 + rand.N(interval)
}

// markDirty marks this instance's sets as not written.
func (st *observationStore) markDirty() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, s := range st.own {
		s.dirty = true
	}
}

func (st *observationStore) encode(key string, s *observationSet) keyedlog.Record {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return keyedlog.Record{Key: key, Value: text}
}

// endRollout removes the observations of a roll-out that has ended: from memory at once, and from the
// store after recordLifetime, when the other instances have read them. The store keeps the newest
// record of a key until it is deleted.
func (st *observationStore) endRollout(service string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if s := st.own[service]; s != nil {
		st.deleteAt[s.key()] = st.clock.Now().Add(recordLifetime)
	}
	delete(st.own, service)
	for key, s := range st.others {
		if s.Service != service {
			continue
		}
		delete(st.others, key)
		if s.Instance == st.instance {
			st.deleteAt[key] = st.clock.Now().Add(recordLifetime) // also the record of an earlier process of this instance
		}
	}
}
