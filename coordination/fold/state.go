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

// ErrOutOfOrder means that an entry does not have the next offset.
var ErrOutOfOrder = errors.New("fold: entry is out of order")

// Validator checks the content of a Put that would otherwise win; an error
// makes the Put void. It must be pure and depend on nothing but its arguments,
// since every reader calls its own and all must reach the same decision. It
// must not change the state.
type Validator func(r record.Record, s *State) error

// Options of a State. All instances must use the same ones.
type Options struct {
	// Validators holds the validators by class. A class without one accepts any
	// content.
	Validators map[record.Class]Validator
}

// State is the result of folding a prefix of the log. It is not safe for
// concurrent use.
type State struct {
	cfg   Config
	opts  Options
	rules rules
	clock clock
	next  uint64
	table table
	// tombstones void the Puts of released nonces; the value is the expiry in
	// microseconds of the log's time.
	tombstones        map[proposal]int64
	tombstoneExpiries timingWheel[proposal]
	// manifestKey and manifestDigest are the register key and the value's digest
	// of the manifest in force.
	manifestKey    record.Key
	manifestDigest string
	generation     uint64
	malformed      uint64
}

// proposal identifies one Put: its retries carry the same key and nonce.
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

// NewAtOffset returns a state that starts at the entry next, as if nothing
// preceded it. It is correct only for classes whose registers live no longer
// than the log keeps entries (bills), and for a reader that starts at the
// oldest entry kept.
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

// Apply folds the next entry and appends one Change per record to out. An entry
// that is not a valid batch is counted as malformed and has no records; it
// advances the log's time if the log timestamps its entries. The only error is
// ErrOutOfOrder, wrapped.
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

// ApplyBatch is Apply for an entry that is decoded already. A zero logTime
// means that the log does not timestamp its entries.
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

// put applies one Put. It checks for a taken key before the rules of the class,
// so that a late retry is told the winner and is not merely void because the
// key's window has closed.
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

// manifestWinner returns what a Put lost to if its own key has no register: a
// manifest whose generation is not higher than that of the one in force loses
// to it.
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
		logTime: s.clock.now,
		expires: s.rules.expiry(class, s.clock.now, r.Lifetime),
	}
	if class == record.ClassManifest {
		s.supersede(r)
	}
	return s.table.insert(w)
}

// release voids one nonce, for as long as its Put can still be read, and removes
// the register that it holds. Manifests and bills that have won are not
// released: a manifest must never revert, and a request must not be billed a
// second time.
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

// collectExpired removes the rows and tombstones whose bucket of the timing wheel
// is past. It runs at each entry and uses the log's time, so that equal prefixes
// leave equal tables and digests.
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

// rowHash returns one row's contribution to Digest.Hash.
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
