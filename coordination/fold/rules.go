package fold

import (
	"cmp"
	"strings"
	"time"

	"masticplank.example/coordination/record"
)

// rules holds what differs between classes; times are in microseconds.
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
	// A key may be claimed from skew before its time until a window past it,
	// so a claim is kept for longer than any other Put of its key can win.
	r.claimLifetime = 2*r.claimWindow + r.skew
	// A Put may lie in the log no longer than the retention, and a claim can
	// win no later than its window: past both, a tombstone has no more to void.
	r.tombstoneLifetime = max(r.retention, r.claimLifetime)
	return r
}

// expiry is when a register that wins now ends; zero for never.
func (r *rules) expiry(class record.Class, now int64, lifetime time.Duration) int64 {
	switch class {
	case record.ClassManifest:
		return 0
	case record.ClassClaim:
		return now + r.claimLifetime
	case record.ClassBill:
		// Nobody but the ledger's reader needs a bill for longer, and bills are
		// most of all records: see Config.BillLife.
		return now + r.billLifetime
	}
	if lifetime == 0 {
		return 0
	}
	return now + max(1, lifetime.Microseconds())
}

// kept is what stays of a value in memory. Bills are read from the stream, and
// there are many: only the fact that one was taken stays.
func (r *rules) storedValue(class record.Class, value []byte) []byte {
	if class == record.ClassBill {
		return nil
	}
	return value
}

// final says that a winner of the class can't be released.
func (r *rules) irrevocable(class record.Class) bool {
	return class == record.ClassManifest || class == record.ClassBill
}

// check judges a Put whose key is free; zero means that it wins.
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

// claimable: a key older than the window might have been claimed and forgotten,
// and one from the future would be forgotten before its window ends.
func (r *rules) claimable(now, keyTime int64) bool {
	if keyTime <= 0 {
		return false
	}
	return now-keyTime <= r.claimWindow && keyTime-now <= r.skew
}

// checkManifest admits only the child of the manifest in force, so generations
// grow by one and never go back, and of two children the first one wins.
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

// supersede makes r the manifest in force. The one before stays for the
// retention without its value, so that a late retry of its Put is known.
func (s *State) supersede(r *record.Record) {
	if old := s.table.find(s.manifestKey); old != nil && s.generation > 0 {
		s.table.setExpiry(old, s.clock.now+s.rules.retention)
	}
	s.manifestKey = r.Key
	s.manifestDigest = record.ManifestDigest(r.Value)
	s.generation++
}

func cmpUint(a, b uint64) int { return cmp.Compare(a, b) }

func cmpKey(a, b record.Key) int { return strings.Compare(string(a), string(b)) }
