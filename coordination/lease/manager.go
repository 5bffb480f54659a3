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

// ErrInvalidConfig means that the name or the holder of a lease is missing, or
// that the name contains a slash.
var ErrInvalidConfig = errors.New("lease: name is empty or contains a slash, or holder is empty")

// Store is the part of *node.Node that a Manager uses.
type Store interface {
	Put(ctx context.Context, r record.Record) node.Result
	Release(key record.Key, nonce record.Nonce)
	Watch(class record.Class, f func(fold.Change)) (stop func())
	Registers(class record.Class) []fold.Register
}

// wireTerm is the encoded value of a term's register. Duration is in
// nanoseconds. An empty Holder is a hand-over.
type wireTerm struct {
	_        struct{} `cbor:",toarray"`
	Holder   string
	Duration int64
}

// Manager acquires, renews, checks and hands over one lease. It is safe for
// concurrent use; calls of Acquire and HandOver run one at a time.
type Manager struct {
	store Store
	cfg   Config
	stop  func()
	now   func() time.Time

	// proposeMu serialises the Puts of this instance.
	proposeMu sync.Mutex
	mu        sync.Mutex
	state     state
	// sentAt holds when this process sent its Puts, by nonce.
	sentAt map[record.Nonce]time.Time
}

// New returns a Manager that follows the lease until Close. now is the clock;
// nil means time.Now. Errors wrap ErrInvalidConfig.
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

// Close stops following the lease. It does not hand it over.
func (m *Manager) Close() { m.stop() }

// Check returns whether an order may be sent, and under which fencing number.
// Call it right before each order. It does no I/O.
func (m *Manager) Check(fencing FencingSupport) (fence uint64, result CheckResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.check(m.now(), fencing)
}

// Acquire proposes the next term if the current one is over, or renews the term
// of this instance. It returns true only if it proposed a term and that term has
// won. After a failed renewal it returns false although the instance may still
// hold its current term; see Check. A Put with an unknown outcome is released,
// since a term whose Put was not confirmed must not be used.
func (m *Manager) Acquire(ctx context.Context) bool {
	m.proposeMu.Lock()
	defer m.proposeMu.Unlock()
	m.mu.Lock()
	ok := m.state.mayAcquire(m.now())
	number := m.state.current.number + 1
	m.mu.Unlock()
	if !ok {
		return false
	}
	return m.putTerm(ctx, number, wireTerm{Holder: m.cfg.Holder, Duration: int64(m.cfg.Duration)})
}

// HandOver ends this instance's term, so that the next holder does not have to
// wait for its end. No order of the caller may be in flight. It returns whether
// the lease was handed over; Check refuses orders from the call on either way.
func (m *Manager) HandOver(ctx context.Context) bool {
	m.proposeMu.Lock()
	defer m.proposeMu.Unlock()
	m.mu.Lock()
	held := m.state.held && certainlyBefore(m.now(), m.state.validUntil)
	number := m.state.current.number + 1
	m.state.held = false
	m.mu.Unlock()
	if !held {
		return false
	}
	return m.putTerm(ctx, number, wireTerm{})
}

// putTerm puts the term with the given number. The caller must read the number
// under the same lock as the state that allows the Put: a number read later could
// follow a term that the caller has not considered.
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

// unknownHolder replaces the holder of a term that cannot be decoded. Such a
// term takes its number and blocks the lease for one Duration.
const unknownHolder = "?"

// parseTerm decodes a term of this lease. It returns false for those of others.
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
	// No instance takes a term longer than this; an invalid value must not block
	// the lease forever.
	duration := min(time.Duration(w.Duration), termRetentionDurations*m.cfg.Duration)
	return term{number, w.Holder, duration, reg.Offset, reg.Nonce}, true
}
