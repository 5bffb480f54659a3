package fold

import (
	"cmp"
	"strings"
	"time"

	"masticplank.example/coordination/record"
)

// rules holds the time bounds of the register classes, in microseconds.
type rules struct {
	claimWindow       int64
	skew              int64
	retention         int64
	billLifetime      int64
	claimLifetime     int64
	tombstoneLifetime int64
}

func newRules(cfg Config) rules {
	r := rules{
		claimWindow:  cfg.ClaimWindow.Microseconds(),
		skew:         cfg.ClockSkew.Microseconds(),
		retention:    cfg.Retention.Microseconds(),
		billLifetime: cfg.BillLifetime.Microseconds(),
	}
	// A key may be claimed from skew before its KeyTime until claimWindow after
	// it. With this lifetime, a claim's register outlives that window.
	r.claimLifetime = 2*r.claimWindow + r.skew
	// A Put stays in the log no longer than the retention, and a claim cannot win
	// after its window. Once both are over, a tombstone has nothing left to void.
	r.tombstoneLifetime = max(r.retention, r.claimLifetime)
	return r
}

// expiry returns the expiry of a register whose Put wins at the time now, in Unix
// microseconds; zero for never.
func (r *rules) expiry(class record.Class, now int64, lifetime time.Duration) int64 {
	switch class {
	case record.ClassManifest:
		return 0
	case record.ClassClaim:
		return now + r.claimLifetime
	case record.ClassBill:
		// Only readers of the ledger need a bill for longer, and bills are the
		// majority of all records: see Config.BillLifetime.
		return now + r.billLifetime
	}
	if lifetime == 0 {
		return 0
	}
	return now + max(1, lifetime.Microseconds())
}

// storedValue returns the part of a value that is kept in memory. Bills are
// numerous and their content is read from the log, so nothing of their values is
// kept.
func (r *rules) storedValue(class record.Class, value []byte) []byte {
	if class == record.ClassBill {
		return nil
	}
	return value
}

// irrevocable reports whether a winner of the class cannot be released.
func (r *rules) irrevocable(class record.Class) bool {
	return class == record.ClassManifest || class == record.ClassBill
}

// checkPut checks a Put whose key is free. Zero means that it wins.
func (s *State) checkPut(class record.Class, r *record.Record) Verdict {
	switch class {
	case record.ClassClaim:
		if !s.rules.claimable(s.clock.now, record.Micros(r.KeyTime)) {
			return VerdictVoid
		}
	case record.ClassManifest:
		if verdict := s.checkManifest(r); verdict != 0 {
			return verdict
		}
	}
	validate := s.opts.Validators[class]
	if validate != nil && validate(*r, s) != nil {
		return VerdictVoid
	}
	return 0
}

// claimable reports whether a claim with keyTime may win now. A key older than
// the window might have been claimed and forgotten; the register of a key from
// the future could expire before the key's window ends.
func (r *rules) claimable(now, keyTime int64) bool {
	if keyTime <= 0 {
		return false
	}
	return now-keyTime <= r.claimWindow && keyTime-now <= r.skew
}

// checkManifest accepts only the child of the manifest in force, so generations
// grow by one, never go back, and the first of two children wins.
func (s *State) checkManifest(r *record.Record) Verdict {
	generation, parent, err := record.ParseManifestKey(r.Key)
	if err != nil {
		return VerdictVoid
	}
	if generation <= s.generation && generation > 0 {
		return VerdictLost
	}
	if generation != s.generation+1 || parent != s.manifestDigest {
		return VerdictVoid
	}
	return 0
}

// supersede makes r the manifest in force. Its predecessor is kept for the
// retention without its value, so that a late retry of its Put is recognised as
// a duplicate.
func (s *State) supersede(r *record.Record) {
	if old := s.table.find(s.manifestKey); old != nil && s.generation > 0 {
		s.table.retire(old, s.clock.now+s.rules.retention)
	}
	s.manifestKey = r.Key
	s.manifestDigest = record.ManifestDigest(r.Value)
	s.generation++
}

func cmpUint(a, b uint64) int { return cmp.Compare(a, b) }

func cmpKey(a, b record.Key) int { return strings.Compare(string(a), string(b)) }
