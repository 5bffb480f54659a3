package passthrough

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// rollouts carries the operator's orders out. Each instance plans by itself, by the time
// since the order and by what all saw; the end is written once, by whoever comes first.
type rollouts struct {
	records Records
	topic   keyedlog.Log
	driver  *Driver
	list    *list
	board   *board
	journal *journal
	clock   Clock
	// limit bounds the requests that a version may get before its deadline.
	limit passthrough.Exposure
	// writes says whether this instance writes the register; the others of its failure
	// domain only read it, which keeps the calls of a large fleet few.
	writes func() bool

	mu   sync.Mutex
	open map[string]*rollout
	// status is the newest state of each service's roll-out; known says that the
	// register's topic was read.
	status map[string]state
	known  bool
	wake   chan struct{}
}

// state is what the register holds of a service's newest roll-out.
type state struct {
	target string
	phase  passthrough.Phase
}

// rollout is one order with what this instance knows of it.
type rollout struct {
	passthrough.Order
	offset uint64
	// since is the time of the order, as far as known.
	since time.Time
	plan  passthrough.Rollout
	// ended is the phase that the register holds and that was taken over, 0 for none yet;
	// told is the one that was read from it.
	ended passthrough.Phase
	told  passthrough.Phase
	// announced says that the register holds that the roll-out is in progress.
	announced bool
}

// rolloutEvery is how often open roll-outs are looked at: a bad version must be out within
// seconds of its 50th bad answer.
const rolloutEvery = 400 * time.Millisecond

func newRollouts(records Records, topic keyedlog.Log, driver *Driver, l *list, b *board, j *journal, clock Clock, limit passthrough.Exposure) *rollouts {
	return &rollouts{
		records: records, topic: topic, driver: driver, list: l, board: b, journal: j, clock: clock,
		limit: limit, writes: func() bool { return true }, open: map[string]*rollout{}, status: map[string]state{}, wake: make(chan struct{}, 1),
	}
}

// ordered takes in an order. One that is known already changes nothing.
func (m *rollouts) ordered(o passthrough.Order, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.open[o.Service]; old != nil && old.Order == o && old.offset == offset {
		return
	}
	r := &rollout{Order: o, offset: offset, since: m.clock.Now()}
	// Until the register's topic was read, the new version gets nothing: an instance that starts
	// in the middle of a roll-out knows neither its phase nor the open sessions.
	r.plan = passthrough.Rollout{Order: o, Phase: passthrough.PhaseCanary, FirstHalf: true, Opening: true}
	m.open[o.Service] = r
	if st, ok := m.status[o.Service]; ok && st.target == o.Target {
		m.takeState(r, st.phase)
	}
	m.driver.Tell(passthrough.RolloutSet{Rollout: r.plan})
	m.journal.emit(logging.EventRolloutOrdered, slog.String("service", o.Service),
		slog.String("target", o.Target), slog.Int64("duration_ms", o.Duration.Milliseconds()), slog.Uint64("offset", offset))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// active says whether some roll-out has not ended.
func (m *rollouts) active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.open {
		if r.ended == 0 {
			return true
		}
	}
	return false
}

// run looks at the open roll-outs until ctx ends; without any it sleeps.
func (m *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.active() {
			select {
			case <-m.wake:
			case <-ctx.Done():
			}
			continue
		}
		for _, r := range m.snapshot() {
			m.advance(ctx, r)
		}
		sleep(ctx, rolloutEvery, nil)
	}
}

// snapshot copies the open roll-outs.
func (m *rollouts) snapshot() []*rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout
	for _, r := range m.open {
		if r.ended == 0 {
			out = append(out, r)
		}
	}
	return out
}

// advance plans one roll-out anew, and ends it in the register where its time has come.
func (m *rollouts) advance(ctx context.Context, r *rollout) {
	now := m.clock.Now()
	seen := m.board.view(r, now)
	elapsed := max(now.Sub(r.since), seen.elapsed)
	plan := passthrough.Plan(r.Order, now, elapsed, m.limit, seen.fresh, seen.old, seen.bad)
	told, announced, known := m.toldOf(r)
	if told.Ended() {
		plan.Phase = told
		m.end(r, told, seen, "read")
		m.adopt(r, plan, seen)
		return
	}
	if plan.Opening {
		m.board.open(r.Service, m.driver.openSessions(r.Service, r.Target, plan.Share))
	}
	if plan.Phase == passthrough.PhaseCompleted && !m.mayComplete(r) {
		plan.Phase = passthrough.PhaseCanary
	}
	switch {
	case m.writes() && (plan.Phase.Ended() || !announced):
		plan = m.register(ctx, r, plan, seen)
	case !known && !plan.Phase.Ended():
		return // it may have ended long ago
	default:
		plan = undecided(plan)
	}
	m.adopt(r, plan, seen)
}

// toldOf is what was read of the roll-out from the register's topic, and whether that was
// read at all.
func (m *rollouts) toldOf(r *rollout) (phase passthrough.Phase, announced, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.told, r.announced, m.known
}

// tail follows the register's topic, so that an end is known everywhere at once.
func (m *rollouts) tail(log keyedlog.Log) *tail {
	t := &tail{
		name: topicStatus, log: log, clock: m.clock, journal: m.journal,
		wait: func() time.Duration { return boardWait }, retry: retryRare,
		pause: func() time.Duration { return retryMost },
		each:  m.read,
	}
	t.whole = func(list []keyedlog.Record) {
		for _, rec := range list {
			m.read(rec)
		}
	}
	t.read = func(time.Time, int) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.known = true
	}
	return t
}

// read takes in one record of the register's topic. The first end of a roll-out holds.
func (m *rollouts) read(rec keyedlog.Record) {
	service, target, phase, ok, err := m.records.Status(rec)
	if err != nil {
		m.journal.emit(logging.EventRecordRejected, slog.String("key", rec.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status[service] = state{target, phase}
	if r := m.open[service]; r != nil && r.Target == target {
		m.takeState(r, phase)
	}
}

// takeState notes what the register holds of a roll-out.
func (m *rollouts) takeState(r *rollout, phase passthrough.Phase) {
	r.announced = true
	if phase.Ended() && !r.told.Ended() {
		r.told = phase
	}
}

// mayComplete says whether the new version has the servers for all of the traffic: the
// old ones are stopped at once.
func (m *rollouts) mayComplete(r *rollout) bool {
	fresh, old := m.list.count(r.Service, r.Target)
	return fresh > 0 && 2*fresh >= old
}

// register reads the register and, where it holds no end yet, writes the plan's. It
// returns the plan that holds.
//
// Safety: the append is refused unless the topic ends where it was read, so an end that
// another instance wrote in between is never overwritten. An append without an answer is
// read back at the next look, before anything else is written.
func (m *rollouts) register(ctx context.Context, r *rollout, plan passthrough.Rollout, seen view) passthrough.Rollout {
	snap, err := m.topic.Newest(ctx)
	if err != nil {
		return undecided(plan)
	}
	for _, rec := range snap.Records {
		service, target, phase, ok, err := m.records.Status(rec)
		if err != nil || !ok || service != r.Service || target != r.Target {
			continue
		}
		m.announce(r)
		if phase.Ended() {
			plan.Phase = phase
			m.end(r, phase, seen, "read")
			return plan
		}
		if !plan.Phase.Ended() {
			return plan
		}
	}
	rec, err := m.records.StatusRecord(r.Service, r.Target, plan.Phase)
	if err == nil {
		err = m.topic.Append(ctx, snap.Next, rec)
	}
	switch {
	case err == nil:
		m.announce(r)
		if plan.Phase.Ended() {
			m.end(r, plan.Phase, seen, "written")
		}
		return plan
	case !errors.Is(err, keyedlog.ErrMoved):
		m.journal.emit(logging.EventRolloutUnwritten, slog.String("service", r.Service), slog.String(logging.KeyError, err.Error()))
	}
	return undecided(plan)
}

// announce notes that the register holds the roll-out.
func (m *rollouts) announce(r *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.announced = true
}

// undecided is the plan while the register does not hold the end that this instance would
// write: a bad version gets nothing already, a good one is not completed yet.
func undecided(plan passthrough.Rollout) passthrough.Rollout {
	if plan.Phase == passthrough.PhaseCompleted {
		plan.Phase = passthrough.PhaseCanary
	}
	return plan
}

func (m *rollouts) end(r *rollout, phase passthrough.Phase, seen view, how string) {
	m.mu.Lock()
	r.ended = phase
	m.mu.Unlock()
	m.board.close(r.Service)
	m.journal.emit(logging.EventRolloutEnded, slog.String("service", r.Service), slog.String("target", r.Target),
		slog.Bool("completed", phase == passthrough.PhaseCompleted), slog.String("how", how),
		slog.Int("new_good", seen.fresh.Good), slog.Int("new_bad", seen.fresh.Bad),
		slog.Any("first", seen.fresh.First), slog.Any("pace", seen.fresh.Pace),
		slog.Int("old_good", seen.old.Good), slog.Int("old_bad", seen.old.Bad))
}

// adopt tells the decision of a changed plan.
func (m *rollouts) adopt(r *rollout, plan passthrough.Rollout, seen view) {
	if plan == r.plan {
		return
	}
	step := plan.Phase != r.plan.Phase || plan.FirstHalf != r.plan.FirstHalf || plan.Opening != r.plan.Opening
	r.plan = plan
	m.driver.Tell(passthrough.RolloutSet{Rollout: plan})
	if !step {
		return
	}
	m.journal.emit(logging.EventRolloutStep, slog.String("service", r.Service), slog.String("target", r.Target),
		slog.Int("phase", int(plan.Phase)), slog.Float64("share", plan.Share), slog.Bool("first_half", plan.FirstHalf),
		slog.Int64("lead_ms", plan.LeadMost.Milliseconds()),
		slog.Int("new_good", seen.fresh.Good), slog.Int("new_bad", seen.fresh.Bad))
}
