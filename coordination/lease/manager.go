package lease

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// ErrName means that a lease's name or holder is unusable.
var ErrInvalidConfig = errors.New("lease: empty name, slash in the name, or no holder")

// Store is what a Manager needs of *node.Node.
type Store interface {
	Put(ctx context.Context, r record.Record) node.Result
	Release(key record.Key, nonce record.Nonce)
	Watch(class record.Class, f func(fold.Change)) (stop func())
	Registers(class record.Class) []fold.Register
}

// wireTerm is the value of a term's register. An empty holder hands over.
type wireTerm struct {
	_        struct{} `cbor:",toarray"`
	Holder   string
	Duration int64
}

// Manager takes, renews, checks and hands over one lease. Safe for concurrent
// use; one call of Take, Renew or HandOver at a time makes progress.
type Manager struct {
	store Store
	cfg   Config
	stop  func()
	now   func() time.Time

	// proposing serialises the own Puts.
	proposeMu sync.Mutex
	mu        sync.Mutex
	state     state
	// sent holds when the Puts of this process were sent, by nonce.
	sentAt map[record.Nonce]time.Time
}

// New returns a Manager that follows the lease from now on. now is the clock;
// nil means time.Now. Errors wrap ErrName.
func New(store Store, cfg Config, now func() time.Time) (*Manager, error) {
	if cfg.Name == "" || strings.Contains(cfg.Name, "/") || cfg.Holder == "" {
		return nil, trace.Wrap(ErrInvalidConfig)
	}
	if now == nil {
		now = time.Now
	}
	cfg = cfg.withDefaults()
	m := &Manager{
		store:  store,
		cfg:    cfg,
		now:    now,
		state:  state{cfg: cfg},
		sentAt: map[record.Nonce]time.Time{},
	}
	m.stop = store.Watch(record.ClassLease, m.onChange)
	for _, reg := range store.Registers(record.ClassLease) {
		m.observeRegister(reg)
	}
	return m, nil
}

// Close ends the following of the lease.
func (m *Manager) Close() { m.stop() }

// Check decides, right before an order is sent, whether it may be, and under
// which fencing number. It costs no I/O.
func (m *Manager) Check(engine FencingSupport) (fence uint64, r CheckResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.check(m.now(), engine)
}

// Take tries for the next term if the current one is over, or renews the own
// one. It reports whether the own instance holds the lease after it. A Put with
// unknown outcome is released: a term that was not read back is not held.
func (m *Manager) Acquire(ctx context.Context) bool {
	m.proposeMu.Lock()
	defer m.proposeMu.Unlock()
	m.mu.Lock()
	ok := m.state.mayAcquire(m.now())
	next := m.state.current.number + 1
	m.mu.Unlock()
	if !ok {
		return false
	}
	return m.putTerm(ctx, next, wireTerm{Holder: m.cfg.Holder, Duration: int64(m.cfg.Duration)})
}

// HandOver gives the lease up, so that the next holder need not wait. The
// caller must have no order on its way. From the call on, Check refuses.
func (m *Manager) HandOver(ctx context.Context) bool {
	m.proposeMu.Lock()
	defer m.proposeMu.Unlock()
	m.mu.Lock()
	held := m.state.held && certainlyBefore(m.now(), m.state.validUntil)
	next := m.state.current.number + 1
	m.state.held = false
	m.mu.Unlock()
	if !held {
		return false
	}
	return m.putTerm(ctx, next, wireTerm{})
}

// propose puts the term number, which must have been read together with what
// allows it: read later, it may follow a term that nobody has judged.
func (m *Manager) putTerm(ctx context.Context, number uint64, w wireTerm) bool {
	value, err := cbor.Marshal(w)
	if err != nil {
		return false
	}
	r := record.Record{
		Key:      m.key(number),
		Nonce:    record.NewNonce(),
		Value:    value,
		Lifetime: termRetentionDurations * m.cfg.Duration,
	}
	m.mu.Lock()
	m.sentAt[r.Nonce] = m.now()
	m.mu.Unlock()
	res := m.store.Put(ctx, r)
	if res.Outcome == node.OutcomeUnknown {
		m.store.Release(r.Key, r.Nonce)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if res.Outcome == node.OutcomeUnknown {
		m.state.observeRelease(r.Nonce)
	}
	delete(m.sentAt, r.Nonce)
	return res.Outcome == node.OutcomeWon
}

func (m *Manager) key(number uint64) record.Key {
	return record.Key(string(record.ClassLease) + "/" + m.cfg.Name + "/" + strconv.FormatUint(number, 10))
}

func (m *Manager) onChange(c fold.Change) {
	switch c.Verdict {
	case fold.VerdictWon:
		m.observeRegister(c.Register)
	case fold.VerdictReleased:
		m.mu.Lock()
		m.state.observeRelease(c.Record.Nonce)
		m.mu.Unlock()
	}
}

func (m *Manager) observeRegister(reg fold.Register) {
	t, ok := m.parseTerm(reg)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.observeTerm(m.now(), t, m.sentAt[reg.Nonce])
}

// unknownHolder stands for the writer of a term that can't be read: its number
// is taken, and it blocks for a whole duration.
const unknownHolder = "?"

// parse reads a term of this lease; those of others are ignored.
func (m *Manager) parseTerm(reg fold.Register) (term, bool) {
	prefix := string(record.ClassLease) + "/" + m.cfg.Name + "/"
	rest, ok := strings.CutPrefix(string(reg.Key), prefix)
	if !ok {
		return term{}, false
	}
	number, err := strconv.ParseUint(rest, 10, 64)
	if err != nil {
		return term{}, false
	}
	var w wireTerm
	if err := cbor.Unmarshal(reg.Value, &w); err != nil || w.Duration < 0 {
		w = wireTerm{Holder: unknownHolder, Duration: int64(m.cfg.Duration)}
	}
	// No instance takes a lease for so long; it must not block the name for good.
	duration := min(time.Duration(w.Duration), termRetentionDurations*m.cfg.Duration)
	return term{number, w.Holder, duration, reg.Offset, reg.Nonce}, true
}
