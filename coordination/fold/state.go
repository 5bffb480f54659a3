package fold

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// ErrGap means that an entry was offered out of its order.
var ErrOutOfOrder = errors.New("fold: entry is not the next one")

// Validator judges the content of a Put that would otherwise win. It must be
// pure: what it returns may depend on nothing but its arguments, since every
// reader asks its own. It must not change the state.
type Validator func(r record.Record, s *State) error

// Options of a State. All instances must use the same.
type Options struct {
	// Validators by class; a class without one takes any content.
	Validators map[record.Class]Validator
}

// State is the state folded so far. It is not safe for concurrent use.
type State struct {
	cfg   Config
	opts  Options
	rules rules
	clock clock
	next  uint64
	table table
	// tombstones void the Puts of released nonces; the value is the expiry.
	tombstones        map[proposal]int64
	tombstoneExpiries timingWheel[proposal]
	// manifest is the key of the manifest in force; digest is its value's.
	manifestKey    record.Key
	manifestDigest string
	generation     uint64
	malformed      uint64
}

// proposal names one Put: retries of it carry the same key and nonce.
type proposal struct {
	key   record.Key
	nonce record.Nonce
}

// New returns the state before the log's first entry. Zero fields of cfg take
// their defaults.
func New(cfg Config, opts Options) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:               cfg,
		opts:              opts,
		rules:             newRules(cfg),
		clock:             clock{skew: cfg.ClockSkew.Microseconds()},
		table:             newTable(),
		tombstones:        map[proposal]int64{},
		tombstoneExpiries: newTimingWheel[proposal](),
	}
}

// NewFrom returns a state that starts at the entry next, as if nothing had come
// before. It is right only for classes whose registers live no longer than the
// log keeps records (bills), for a reader that starts at the oldest entry kept.
func NewAtOffset(cfg Config, opts Options, next uint64) *State {
	s := New(cfg, opts)
	s.next = next
	return s
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.ClaimWindow <= 0 {
		c.ClaimWindow = d.ClaimWindow
	}
	if c.ClockSkew <= 0 {
		c.ClockSkew = d.ClockSkew
	}
	if c.Retention <= 0 {
		c.Retention = d.Retention
	}
	if c.BillLifetime <= 0 {
		c.BillLifetime = d.BillLifetime
	}
	c.BillLifetime = min(c.BillLifetime, c.Retention)
	return c
}

// Apply folds the next entry and appends what its records did to out. An entry
// that is no valid batch changes nothing but the time. The one error is ErrGap.
func (s *State) Apply(e platformlog.Entry, out []Change) ([]Change, error) {
	if e.Offset != s.next {
		return out, trace.Wrap(ErrOutOfOrder, "offset %d, want %d", e.Offset, s.next)
	}
	b, err := record.Decode(e.Data)
	if err != nil {
		s.malformed++
		b = record.Batch{}
	}
	return s.ApplyBatch(e.Offset, e.Time, &b, out)
}

// ApplyBatch is Apply for an entry that was decoded already.
func (s *State) ApplyBatch(offset uint64, logTime time.Time, b *record.Batch, out []Change) ([]Change, error) {
	if offset != s.next {
		return out, trace.Wrap(ErrOutOfOrder, "offset %d, want %d", offset, s.next)
	}
	s.clock.observe(record.Micros(logTime), record.Micros(b.WriterTime), b.Writer)
	s.collectExpired()
	for i := range b.Records {
		out = append(out, s.applyRecord(offset, b.Writer, &b.Records[i]))
	}
	s.next++
	return out, nil
}

func (s *State) applyRecord(offset uint64, writer string, r *record.Record) Change {
	switch r.Kind {
	case record.KindPut:
		return s.put(offset, writer, r)
	case record.KindRelease:
		return s.release(r)
	default:
		return Change{Verdict: VerdictCheckpoint, Record: *r}
	}
}

// put judges one Put: taken keys first, so that a late resend learns of the
// winner and not of a window that has closed since.
func (s *State) put(offset uint64, writer string, r *record.Record) Change {
	p := proposal{r.Key, r.Nonce}
	if s.isReleased(p) {
		return Change{Verdict: VerdictVoid, Record: *r}
	}
	if w := s.liveRow(r.Key); w != nil {
		return changeForTaken(w, r)
	}
	class := r.Key.Class()
	if verdict := s.checkPut(class, r); verdict != 0 {
		return Change{Verdict: verdict, Record: *r, Register: s.manifestWinner(verdict)}
	}
	w := s.insertWinner(class, offset, writer, r)
	c := Change{Verdict: VerdictWon, Record: *r, Register: w.register()}
	c.Register.Value = r.Value
	return c
}

func changeForTaken(w *row, r *record.Record) Change {
	c := Change{Verdict: VerdictLost, Record: *r, Register: w.register()}
	if w.nonce == r.Nonce {
		c.Verdict = VerdictDuplicate
	}
	return c
}

// rival is what a Put lost against where its own key has no register: a
// manifest of a generation that is past loses to the one in force.
func (s *State) manifestWinner(v Verdict) Register {
	if v != VerdictLost {
		return Register{}
	}
	m, _ := s.Manifest()
	return m
}

func (s *State) insertWinner(class record.Class, offset uint64, writer string, r *record.Record) *row {
	w := row{
		key:     r.Key,
		nonce:   r.Nonce,
		value:   s.rules.storedValue(class, r.Value),
		writer:  writer,
		offset:  offset,
		at:      s.clock.now,
		expires: s.rules.expiry(class, s.clock.now, r.Lifetime),
	}
	if class == record.ClassManifest {
		s.supersede(r)
	}
	return s.table.insert(w)
}

// release voids one nonce for good, and takes the register that it holds.
// Manifests and bills that have won are not taken back: one must never revert,
// and the other must never be charged anew.
func (s *State) release(r *record.Record) Change {
	w := s.liveRow(r.Key)
	if w != nil && w.nonce == r.Nonce {
		if s.rules.irrevocable(r.Key.Class()) {
			return Change{Verdict: VerdictVoid, Record: *r, Register: w.register()}
		}
		s.table.remove(w)
		w = nil
	}
	s.addTombstone(proposal{r.Key, r.Nonce})
	c := Change{Verdict: VerdictReleased, Record: *r}
	if w != nil {
		c.Register = w.register()
	}
	return c
}

func (s *State) addTombstone(p proposal) {
	expires := s.clock.now + s.rules.tombstoneLifetime
	s.tombstones[p] = expires
	s.tombstoneExpiries.add(expires, p)
}

func (s *State) isReleased(p proposal) bool {
	if len(s.tombstones) == 0 {
		return false
	}
	expires, ok := s.tombstones[p]
	return ok && expires > s.clock.now
}

// collect drops what has expired a whole bucket ago. It runs at each entry, by
// the log's time, so that equal prefixes leave equal tables and digests.
func (s *State) collectExpired() {
	now := s.clock.now
	s.table.expiries.collect(now, func(i uint32) {
		w := &s.table.rows[i]
		if w.expires != 0 && collectable(w.expires, now) {
			s.table.remove(w)
		}
	})
	s.tombstoneExpiries.collect(now, func(p proposal) {
		if expires, ok := s.tombstones[p]; ok && collectable(expires, now) {
			delete(s.tombstones, p)
		}
	})
}

// rowHash is one register's part in Digest.Hash.
func rowHash(w *row) uint64 {
	var d xxhash.Digest
	d.Reset()
	var fixed [24]byte
	copy(fixed[:16], w.nonce[:])
	binary.LittleEndian.PutUint64(fixed[16:], w.offset)
	_, _ = d.Write(fixed[:])
	_, _ = d.WriteString(string(w.key))
	return d.Sum64()
}
