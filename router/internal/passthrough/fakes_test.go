package passthrough

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/tunnel"
)

// fakeClock is a clock that the test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(5000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeLog is an in-memory topic.
type fakeLog struct {
	mu        sync.Mutex
	records   []keyedlog.Record
	firstKept uint64
	era       uint64
	// maxRead is the largest number of records of one read, 0 for no bound.
	maxRead int
	// readErrs, newestErrs and appendErrs are the errors of the next calls.
	readErrs, newestErrs, appendErrs []error
	// appendDespiteErr makes appends take effect although they return an error.
	appendDespiteErr bool
	// beforeAppend runs before an append, once.
	beforeAppend func()
}

func popErr(errs *[]error) error {
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func (l *fakeLog) Read(_ context.Context, from keyedlog.Position, _ time.Duration) (keyedlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := popErr(&l.readErrs); err != nil {
		return keyedlog.Batch{}, err
	}
	if !from.MatchesEra(l.era) {
		return keyedlog.Batch{}, keyedlog.ErrRestored
	}
	if from.Offset < l.firstKept {
		return keyedlog.Batch{}, keyedlog.ErrTrimmed
	}
	out := keyedlog.Batch{Next: l.end()}
	out.Records = append(out.Records, l.records[from.Offset:]...)
	if l.maxRead > 0 && len(out.Records) > l.maxRead {
		out.Remaining = uint64(len(out.Records) - l.maxRead)
		out.Records = out.Records[:l.maxRead]
		out.Next.Offset -= out.Remaining
	}
	return out, nil
}

func (l *fakeLog) Newest(context.Context) (keyedlog.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := popErr(&l.newestErrs); err != nil {
		return keyedlog.Snapshot{}, err
	}
	last := map[string]keyedlog.Record{}
	for _, r := range l.records {
		last[r.Key] = r
	}
	out := keyedlog.Snapshot{Next: l.end()}
	for _, r := range l.records {
		if last[r.Key].Offset == r.Offset && len(r.Value) > 0 {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

func (l *fakeLog) Append(_ context.Context, at keyedlog.Position, records ...keyedlog.Record) error {
	l.mu.Lock()
	hook := l.beforeAppend
	l.beforeAppend = nil
	l.mu.Unlock()
	if hook != nil {
		hook()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	err := popErr(&l.appendErrs)
	if err != nil && !l.appendDespiteErr {
		return err
	}
	if at != keyedlog.AnyPosition && at != l.end() {
		return keyedlog.ErrConflict
	}
	for _, r := range records {
		r.Offset = uint64(len(l.records))
		l.records = append(l.records, r)
	}
	return err
}

// end returns the position after the last record. The lock is held.
func (l *fakeLog) end() keyedlog.Position {
	return keyedlog.Position{Era: l.era, Offset: uint64(len(l.records))}
}

// restore restores the topic from a backup that has only the first records, and starts a new era.
func (l *fakeLog) restore(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:records:records]
	l.era++
}

func (l *fakeLog) add(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, keyedlog.Record{Key: key, Value: []byte(value), Offset: uint64(len(l.records))})
}

// fakeRecords decodes records whose values are words: "config VERSION",
// "order SERVICE TARGET SECONDS", "server SERVICE VERSION ready|draining",
// "status TARGET PHASE". A drain order has the key "drain/DOMAIN".
type fakeRecords struct{}

func (fakeRecords) Config(r keyedlog.Record) (c passthrough.Config, ok bool, err error) {
	if r.Key != "config" {
		return c, false, nil
	}
	_, err = fmt.Sscanf(string(r.Value), "config %d", &c.Version)
	return c, true, err
}

func (fakeRecords) Order(r keyedlog.Record) (o passthrough.Order, ok bool, err error) {
	if !strings.HasPrefix(r.Key, "order/") {
		return o, false, nil
	}
	secs := 0
	_, err = fmt.Sscanf(string(r.Value), "order %s %s %d", &o.Service, &o.Target, &secs)
	o.Duration = time.Duration(secs) * time.Second
	return o, true, err
}

func (fakeRecords) DrainedDomain(r keyedlog.Record) (domain string, ok bool) {
	return strings.CutPrefix(r.Key, "drain/")
}

func (fakeRecords) Server(r keyedlog.Record) (passthrough.Server, error) {
	s := passthrough.Server{ID: r.Key, Address: "127.0.0.1:1", Slots: 4, StartTime: 1}
	state := ""
	_, err := fmt.Sscanf(string(r.Value), "server %s %s %s", &s.Service, &s.Version, &state)
	s.Leaving = state == "draining"
	return s, err
}

func (fakeRecords) Status(r keyedlog.Record) (service, target string, phase passthrough.Phase, ok bool, err error) {
	service, ok = strings.CutPrefix(r.Key, "status/")
	if !ok {
		return "", "", 0, false, nil
	}
	_, err = fmt.Sscanf(string(r.Value), "status %s %d", &target, &phase)
	return service, target, phase, true, err
}

func (fakeRecords) StatusRecord(service, target string, phase passthrough.Phase) (keyedlog.Record, error) {
	return keyedlog.Record{Key: "status/" + service, Value: fmt.Appendf(nil, "status %s %d", target, phase)}, nil
}

// testInstance is an instance without listeners and connections.
type testInstance struct {
	clock        *fakeClock
	config       *ConfigState
	driver       *Driver
	servers      *serverList
	observations *observationStore
	rollouts     *rollouts
	operator     *operator
	telemetry    *telemetry
}

// newTestInstance returns an instance that uses the given status and observations topics.
func newTestInstance(name string, clock *fakeClock, status, observations keyedlog.Log) *testInstance {
	p := &testInstance{clock: clock}
	p.config = NewConfigState(clock, 5*time.Second)
	p.telemetry = &telemetry{clock: clock, config: p.config, registry: metrics.NewRegistry()}
	p.driver = NewDriver(clock, passthrough.Settings{RetryRatio: 0.5, RetrySlack: 3, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	p.observations = newObservationStore(name, observations, p.driver, p.telemetry, clock)
	p.driver.onObservation, p.driver.onCrash = p.observations.recordResponse, p.observations.recordCrash
	p.servers = newServerList(fakeRecords{}, p.driver, newDialer(clock, p.driver, tunnel.NewDialer(tunnel.NewPeers(clock.Now, reach.Peer{}, nil))), p.telemetry, clock, 2*time.Second, newStartGate())
	p.rollouts = newRollouts(fakeRecords{}, status, p.driver, p.servers, p.observations, p.telemetry, clock,
		passthrough.ExposureLimit{Share: 0.15, Tolerance: 30})
	p.operator = &operator{records: fakeRecords{}, config: p.config, driver: p.driver, rollouts: p.rollouts, telemetry: p.telemetry, startGate: newStartGate(),
		clock:        clock,
		restoreGuard: &restoreGuard{clock: clock, config: p.config},
		drained:      map[string]bool{}, drainOrders: map[string]bool{}, keptLogged: map[string]bool{}, domains: []string{"a", "b"}, isCollector: func() bool { return false }, readsStore: func() bool { return true }}
	return p
}
