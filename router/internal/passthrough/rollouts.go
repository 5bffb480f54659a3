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
	status  keyedlog.Log
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
	wake chan struct{}
}

// rollout is one order with what this instance knows of it.
type rollout struct {
	passthrough.Order
	offset uint64
	// since is the time of the order, as far as known.
	since time.Time
	plan  passthrough.Rollout
	// ended is the phase that the register holds, 0 while it holds none; announced says
	// that it holds that the roll-out is in progress.
	ended     passthrough.Phase
	announced bool
	looked    time.Time
}

// rolloutEvery is how often open roll-outs are looked at: a bad version must be out within
// seconds of its 50th bad answer.
const rolloutEvery = 400 * time.Millisecond

func newRollouts(records Records, status keyedlog.Log, driver *Driver, l *list, b *board, j *journal, clock Clock, limit passthrough.Exposure) *rollouts {
	return &rollouts{
		records: records, status: status, driver: driver, list: l, board: b, journal: j, clock: clock,
		limit: limit, writes: func() bool { return true }, open: map[string]*rollout{}, wake: make(chan struct{}, 1),
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
	// Until the register was read, the new version gets nothing: an instance that starts
	// in the middle of a roll-out knows neither its phase nor the open sessions.
	r.plan = passthrough.Rollout{Order: o, Phase: passthrough.PhaseCanary, FirstHalf: true, Opening: true}
	m.open[o.Service] = r
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

// lookEvery is how often the register is read while nothing is to be written to it.
const lookEvery = 3000 * time.Millisecond

// advance plans one roll-out anew, and ends it in the register where its time has come.
func (m *rollouts) advance(ctx context.Context, r *rollout) {
	now := m.clock.Now()
	seen := m.board.view(r, now)
	elapsed := max(now.Sub(r.since), seen.elapsed)
	plan := passthrough.Plan(r.Order, now, elapsed, m.limit, seen.fresh, seen.old, seen.bad)
	if plan.Opening {
		m.board.open(r.Service, m.driver.openSessions(r.Service, r.Target, plan.Share))
	}
	if plan.Phase == passthrough.PhaseCompleted && !m.mayComplete(r) {
		plan.Phase = passthrough.PhaseCanary
	}
	if plan.Phase.Ended() || !r.announced || now.Sub(r.looked) > lookEvery {
		plan = m.register(ctx, r, plan, seen)
		r.looked = now
	}
	m.adopt(r, plan, seen)
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
	snap, err := m.status.Newest(ctx)
	if err != nil {
		return undecided(plan)
	}
	for _, rec := range snap.Records {
		service, target, phase, ok, err := m.records.Status(rec)
		if err != nil || !ok || service != r.Service || target != r.Target {
			continue
		}
		r.announced = true
		if phase.Ended() {
			plan.Phase = phase
			m.end(r, phase, seen, "read")
			return plan
		}
	}
	if r.announced && !plan.Phase.Ended() {
		return plan
	}
	if !m.writes() {
		return undecided(plan)
	}
	rec, err := m.records.StatusRecord(r.Service, r.Target, plan.Phase)
	if err == nil {
		err = m.status.Append(ctx, snap.Next, rec)
	}
	switch {
	case err == nil:
		r.announced = true
		if plan.Phase.Ended() {
			m.end(r, plan.Phase, seen, "written")
		}
		return plan
	case !errors.Is(err, keyedlog.ErrMoved):
		m.journal.emit(logging.EventRolloutUnwritten, slog.String("service", r.Service), slog.String(logging.KeyError, err.Error()))
	}
	return undecided(plan)
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
