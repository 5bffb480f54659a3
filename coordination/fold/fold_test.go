package fold

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

var start = time.Unix(1_800_000_000, 0).UTC()

var testConfig = Config{ClaimWindow: 100 * time.Second, ClockSkew: 10 * time.Second, Retention: 200 * time.Second}

// feed applies records to a State, each batch at the next offset.
type feed struct {
	t *testing.T
	s *State
}

func newFeed(t *testing.T) *feed {
	return &feed{t, New(testConfig, Options{})}
}

func (f *feed) apply(after time.Duration, r record.Record) Change {
	f.t.Helper()
	return f.batch(start.Add(after), record.Batch{Writer: "w", Records: []record.Record{r}})
}

func (f *feed) batch(at time.Time, b record.Batch) Change {
	f.t.Helper()
	out, err := f.s.ApplyBatch(f.s.next, at, &b, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if len(out) == 0 {
		return Change{}
	}
	return out[len(out)-1]
}

func put(key record.Key, nonce byte) record.Record {
	return record.Record{Kind: record.KindPut, Key: key, Nonce: record.Nonce{nonce}, Value: []byte{nonce}}
}

func release(key record.Key, nonce byte) record.Record {
	return record.Record{Kind: record.KindRelease, Key: key, Nonce: record.Nonce{nonce}}
}

func claim(key record.Key, nonce byte, keyTime time.Duration) record.Record {
	r := put(key, nonce)
	r.KeyTime = start.Add(keyTime)
	return r
}

func withLifetime(r record.Record, d time.Duration) record.Record {
	r.Lifetime = d
	return r
}

func manifest(generation uint64, parent []byte, nonce byte, value string) record.Record {
	digest := ""
	if parent != nil {
		digest = record.ManifestDigest(parent)
	}
	r := put(record.ManifestKey(generation, digest), nonce)
	r.Value = []byte(value)
	return r
}

// step is one record, applied at a time after start, and the expected verdict.
type step struct {
	after time.Duration
	rec   record.Record
	want  Verdict
}

// Guards against a record whose effect differs from the rules of its class.
func TestRegisterRules(t *testing.T) {
	const s = time.Second
	tests := map[string][]step{
		"first writer wins": {
			{0, put("session/a", 1), VerdictWon},
			{0, put("session/a", 2), VerdictLost},
			{0, put("session/a", 1), VerdictDuplicate},
		},
		"release frees the key": {
			{0, put("session/a", 1), VerdictWon},
			{0, release("session/a", 1), VerdictReleased},
			{0, put("session/a", 1), VerdictVoid},
			{0, put("session/a", 2), VerdictWon},
		},
		"release before the put voids it": {
			{0, release("session/a", 1), VerdictReleased},
			{0, put("session/a", 1), VerdictVoid},
			{0, put("session/a", 2), VerdictWon},
			{0, release("session/a", 1), VerdictReleased},
			{0, put("session/a", 3), VerdictLost},
		},
		"a tombstone lasts as long as the put can still be read": {
			{0, release("session/a", 1), VerdictReleased},
			{209 * s, put("session/a", 1), VerdictVoid},
			{210 * s, put("session/a", 1), VerdictWon},
		},
		"expiry is exact": {
			{0, withLifetime(put("session/a", 1), 1500*time.Millisecond), VerdictWon},
			{1499 * time.Millisecond, put("session/a", 2), VerdictLost},
			{1500 * time.Millisecond, put("session/a", 2), VerdictWon},
		},
		"an entry with an earlier time does not move the clock back": {
			{5 * s, withLifetime(put("session/a", 1), s), VerdictWon},
			{6 * s, put("session/b", 1), VerdictWon},
			{0, put("session/a", 2), VerdictWon},
		},
		"claim window": {
			{0, claim("claim/t/a", 1, -101*s), VerdictVoid},
			{0, claim("claim/t/a", 1, -100*s), VerdictWon},
			{0, claim("claim/t/b", 1, 11*s), VerdictVoid},
			{0, claim("claim/t/b", 1, 10*s), VerdictWon},
			{0, put("claim/t/c", 1), VerdictVoid},
		},
		"a claim cannot be won twice, however late": {
			{0, claim("claim/t/a", 1, 10*s), VerdictWon},
			{110 * s, claim("claim/t/a", 2, 10*s), VerdictLost},
			{111 * s, claim("claim/t/a", 2, 10*s), VerdictLost},
			{210 * s, claim("claim/t/a", 2, 10*s), VerdictVoid},
		},
		"a bill is kept for the retention": {
			{0, withLifetime(put("bill/t/a", 1), s), VerdictWon},
			{199 * s, put("bill/t/a", 2), VerdictLost},
			{199 * s, release("bill/t/a", 1), VerdictVoid},
			{199 * s, put("bill/t/a", 2), VerdictLost},
		},
		"a manifest wins only as the child of the one in force": {
			{0, manifest(2, nil, 1, "x"), VerdictVoid},
			{0, manifest(1, []byte("?"), 1, "x"), VerdictVoid},
			{0, manifest(1, nil, 1, "one"), VerdictWon},
			{0, manifest(1, nil, 2, "other"), VerdictLost},
			{0, manifest(2, []byte("other"), 3, "y"), VerdictVoid},
			{0, manifest(2, []byte("one"), 4, "two"), VerdictWon},
			{0, manifest(2, []byte("other"), 5, "y"), VerdictLost},
			{0, manifest(3, []byte("one"), 6, "y"), VerdictVoid},
			{0, manifest(1, nil, 1, "one"), VerdictDuplicate},
			{0, put("manifest/zero", 7), VerdictVoid},
		},
		"a manifest in force is never released": {
			{0, manifest(1, nil, 1, "one"), VerdictWon},
			{0, release(record.ManifestKey(1, ""), 1), VerdictVoid},
			{9999 * s, manifest(1, nil, 2, "other"), VerdictLost},
		},
		"a manifest released first never wins": {
			{0, release(record.ManifestKey(1, ""), 1), VerdictReleased},
			{0, manifest(1, nil, 1, "one"), VerdictVoid},
			{0, manifest(1, nil, 2, "other"), VerdictWon},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFeed(t)
			for i, st := range steps {
				if c := f.apply(st.after, st.rec); c.Verdict != st.want {
					t.Fatalf("step %d: verdict %d, want %d", i, c.Verdict, st.want)
				}
			}
		})
	}
}

// The publisher of an outdated manifest must be told the one in force, although the
// key of its own manifest has no register.
func TestLostManifestNamesTheWinner(t *testing.T) {
	f := newFeed(t)
	f.apply(0, manifest(1, nil, 1, "one"))
	f.apply(0, manifest(2, []byte("one"), 2, "two"))
	c := f.apply(0, manifest(2, []byte("other"), 3, "three"))
	if string(c.Register.Value) != "two" || f.s.Digest().Generation != 2 {
		t.Errorf("winner %q at generation %d, want \"two\" at 2", c.Register.Value, f.s.Digest().Generation)
	}
	if m, ok := f.s.Manifest(); !ok || m.Nonce != (record.Nonce{2}) {
		t.Errorf("manifest in force: %+v, want the one with nonce 2", m)
	}
}

// Guards against a Put that wins with content that its class's validator rejects.
func TestValidatorDecides(t *testing.T) {
	refuse := func(r record.Record, s *State) error {
		if string(r.Value) == "bad" {
			return errors.New("bad")
		}
		return nil
	}
	f := &feed{t, New(testConfig, Options{Validators: map[record.Class]Validator{record.ClassManifest: refuse}})}
	if c := f.apply(0, manifest(1, nil, 1, "bad")); c.Verdict != VerdictVoid {
		t.Errorf("content that the validator rejects: verdict %d, want void", c.Verdict)
	}
	if c := f.apply(0, manifest(1, nil, 2, "good")); c.Verdict != VerdictWon {
		t.Errorf("content that the validator accepts: verdict %d, want won", c.Verdict)
	}
}

// Guards against expired bills and tombstones that stay in memory.
func TestMemoryIsBounded(t *testing.T) {
	f := newFeed(t)
	for i := range 20_000 {
		at := time.Duration(i) * 100 * time.Millisecond
		f.apply(at, put(record.Key(fmt.Sprintf("bill/t/%d", i)), 1))
		f.apply(at, release(record.Key(fmt.Sprintf("session/%d", i)), 1))
	}
	// Bills of 200 s and tombstones of 210 s at 10 a second, and one bucket.
	if n := f.s.Len(); n > 2011 {
		t.Errorf("%d registers, want at most 2011", n)
	}
	if n := len(f.s.tombstones); n > 2111 {
		t.Errorf("%d tombstones, want at most 2111", n)
	}
	if n := len(f.s.table.rows); n > 2111 {
		t.Errorf("%d rows, want at most 2111", n)
	}
}

// A bill's register must leave memory after BillLifetime, long before the log
// drops its entry, since bills are the majority of all records.
func TestBillsExpireBeforeTheirLogEntries(t *testing.T) {
	s := New(DefaultConfig(), Options{})
	start := time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)
	for i := range 10_000 {
		at := start.Add(time.Duration(i) * time.Second)
		b := record.Batch{Writer: "a", Records: []record.Record{put(record.Key(fmt.Sprintf("bill/t/%d", i)), 1)}}
		if _, err := s.ApplyBatch(uint64(i), at, &b, nil); err != nil {
			t.Fatal(err)
		}
	}
	// One a second for 10 min, and one bucket.
	if n := s.Len(); n > 610 {
		t.Errorf("%d registers, want at most 610", n)
	}
}

// A malformed entry must not stop the fold, since every reader would stop at it.
func TestMalformedEntryIsSkipped(t *testing.T) {
	s := New(testConfig, Options{})
	if _, err := s.Apply(platformlog.Entry{Offset: 0, Data: []byte("junk")}, nil); err != nil {
		t.Fatal(err)
	}
	if s.MalformedEntries() != 1 || s.Digest().NextOffset != 1 {
		t.Errorf("%d malformed entries, next offset %d, want 1 and 1", s.MalformedEntries(), s.Digest().NextOffset)
	}
	if _, err := s.Apply(platformlog.Entry{Offset: 5}, nil); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("entry with a wrong offset: error %v, want ErrOutOfOrder", err)
	}
}

// If the log does not timestamp its entries, a single writer with a wrong clock must
// not move the log's time.
func TestLogTimeFromWriterTimes(t *testing.T) {
	type stamp struct {
		writer string
		after  time.Duration
		want   time.Duration
	}
	const s = time.Second
	tests := map[string][]stamp{
		"running maximum":             {{"a", 0, 0}, {"a", 5 * s, 5 * s}, {"b", 2 * s, 5 * s}, {"b", 15 * s, 15 * s}},
		"unconfirmed jump":            {{"a", 0, 0}, {"b", 999 * s, 0}, {"b", 999 * s, 0}, {"a", s, s}},
		"lesser of two jumps counts":  {{"a", 0, 0}, {"b", 999 * s, 0}, {"a", 50 * s, 50 * s}, {"a", 51 * s, 51 * s}},
		"second writer jumps further": {{"a", 0, 0}, {"a", 50 * s, 0}, {"b", 999 * s, 50 * s}, {"a", 52 * s, 52 * s}},
		"writer corrects its clock":   {{"a", 0, 0}, {"b", 999 * s, 0}, {"b", 20 * s, 0}, {"a", 999 * s, 20 * s}},
	}
	for name, stamps := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFeed(t)
			for i, st := range stamps {
				f.batch(time.Time{}, record.Batch{Writer: st.writer, WriterTime: start.Add(st.after)})
				if got := f.s.LogTime().Sub(start); got != st.want {
					t.Fatalf("step %d: log time %v, want %v", i, got, st.want)
				}
			}
		})
	}
}

// All records of a batch have the offset of its entry; within the batch the first
// Put of a key must win.
func TestBatchOfManySharesAnOffset(t *testing.T) {
	f := newFeed(t)
	f.apply(0, put("session/x", 9))
	b := record.Batch{Writer: "w", Records: []record.Record{put("session/a", 1), put("session/a", 2), put("session/b", 2)}}
	f.batch(start, b)
	a, _ := f.s.Lookup("session/a")
	if a.Offset != 1 || a.Nonce != (record.Nonce{1}) || a.Writer != "w" || !a.LogTime.Equal(start) {
		t.Errorf("register of session/a: %+v, want nonce 1 of writer w at offset 1 and the log time of the batch", a)
	}
	if regs := f.s.Registers("session"); len(regs) != 3 || regs[0].Key != "session/x" {
		t.Errorf("registers in the order of their offsets: %+v, want three, the first session/x", regs)
	}
}
