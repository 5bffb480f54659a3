package peer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"masticplank.example/decision"
)

// HealthKind is the subject of a HealthItem.
type HealthKind string

// The kinds of HealthItem.
const (
	// HealthVerdict: ID is a version, Bad the verdict on it.
	HealthVerdict HealthKind = "verdict"
	// HealthLeaving: ID is a backend server that is leaving.
	HealthLeaving HealthKind = "leaving"
	// HealthQuarantine: ID is the fingerprint of a crashing request.
	HealthQuarantine HealthKind = "quarantine"
)

// HealthItem is one statement about a version, backend server or request. Times
// are Unix times in ms.
type HealthItem struct {
	Kind HealthKind `json:"kind"`
	ID   string     `json:"id"`
	Bad  bool       `json:"bad,omitempty"`
	// Timestamp is when the origin stated it; of the statements with the same
	// Kind and ID, the latest counts.
	Timestamp int64 `json:"stamp"`
	// Until is when the item expires. The origin sets it once, so that passing
	// the item on never extends its life.
	Until int64 `json:"until"`
	// Origin is the instance that made this statement.
	Origin string `json:"origin"`
}

const (
	// maxHealthItems leaves room for all versions, and for more leaving backend
	// servers than a rack has.
	maxHealthItems = 2048
	// maxItemLifetime bounds how long a wrong statement of one instance is
	// passed on and, if it is a verdict or a quarantine, how long it affects
	// the others. A backend server that was reported as leaving counts as
	// leaving until the list of backend servers has dropped it.
	maxItemLifetime = 15 * time.Minute
	// maxClockSkew is the clock skew allowed between instances.
	maxClockSkew = 30 * time.Second
	// maxIDBytes bounds the ID of an item.
	maxIDBytes = 128
)

// itemKey identifies the subject of an item; a set has one item for each.
type itemKey struct {
	kind HealthKind
	id   string
}

// healthEntry is an item with its hash, which is part of the set's hash.
type healthEntry struct {
	HealthItem
	itemHash uint64
}

// healthSet holds the health items that this instance knows. Equal sets have
// equal hashes, so that peers exchange them only if they differ. Safe for
// concurrent use.
type healthSet struct {
	mu           sync.Mutex
	entries      map[itemKey]healthEntry
	combinedHash uint64
}

func newHealthSet() *healthSet { return &healthSet{entries: map[itemKey]healthEntry{}} }

// merge adds the items that supersede the known ones and returns those added.
// If any item is invalid, it adds none.
func (s *healthSet) merge(items []HealthItem, now time.Time) ([]HealthItem, error) {
	if len(items) > maxHealthItems {
		return nil, trace.LimitExceeded("%d items", len(items))
	}
	for _, it := range items {
		if err := it.validate(now); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var added []HealthItem
	for _, it := range items {
		if s.insertIfNewer(it, now) {
			added = append(added, it)
		}
	}
	return added, nil
}

// insertIfNewer adds an item if it supersedes the known one, and reports
// whether it did. A full set drops the item that expires first, which is the
// same one at all instances; that may be the new item.
func (s *healthSet) insertIfNewer(it HealthItem, now time.Time) bool {
	if it.Until <= now.UnixMilli() {
		return false
	}
	key := itemKey{it.Kind, it.ID}
	if known, ok := s.entries[key]; ok && !it.supersedes(known.HealthItem) {
		return false
	}
	s.remove(key)
	s.insert(key, it)
	if len(s.entries) <= maxHealthItems {
		return true
	}
	expiring := s.firstToExpire()
	s.remove(expiring)
	return expiring != key
}

// insert adds an item. Like remove, it keeps combinedHash, the XOR of the
// items' hashes, up to date.
func (s *healthSet) insert(key itemKey, it HealthItem) {
	entry := healthEntry{HealthItem: it, itemHash: it.hash()}
	s.entries[key] = entry
	s.combinedHash ^= entry.itemHash
}

func (s *healthSet) remove(key itemKey) {
	s.combinedHash ^= s.entries[key].itemHash // XOR with 0 if there is no such entry
	delete(s.entries, key)
}

// firstToExpire returns the key of the item that expires first; ties are broken
// by hash, so that all instances choose the same one.
func (s *healthSet) firstToExpire() itemKey {
	var key itemKey
	var earliest healthEntry
	for k, e := range s.entries {
		if key.id == "" || e.Until < earliest.Until || e.Until == earliest.Until && e.itemHash < earliest.itemHash {
			key, earliest = k, e
		}
	}
	return key
}

// hash returns a hash of all fields of the item.
func (it HealthItem) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%t\x00%d\x00%d\x00%s",
		it.Kind, it.ID, it.Bad, it.Timestamp, it.Until, it.Origin))
}

// supersedes reports whether the item replaces other, which has the same kind
// and ID. All instances decide alike.
func (it HealthItem) supersedes(other HealthItem) bool {
	if it.Timestamp != other.Timestamp {
		return it.Timestamp > other.Timestamp
	}
	return it.hash() > other.hash()
}

// has reports whether there is an unexpired item of the kind on the ID.
func (s *healthSet) has(kind HealthKind, id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[itemKey{kind, id}]
	return ok && e.Until > now.UnixMilli()
}

// all returns the unexpired items, in a fixed order.
func (s *healthSet) all(now time.Time) []HealthItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := make([]HealthItem, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.HealthItem)
	}
	slices.SortFunc(out, func(x, y HealthItem) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// hash returns a hash that is equal for sets with the same unexpired items.
func (s *healthSet) hash(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.combinedHash
}

func (s *healthSet) expire(now time.Time) {
	for key, e := range s.entries {
		if e.Until <= now.UnixMilli() {
			s.remove(key)
		}
	}
}

// validate rejects an item that a correct instance never sends.
func (it HealthItem) validate(now time.Time) error {
	switch it.Kind {
	case HealthVerdict, HealthLeaving:
	case HealthQuarantine:
		if _, err := strconv.ParseUint(it.ID, 10, 64); err != nil {
			return trace.BadParameter("fingerprint is no number")
		}
	default:
		return trace.BadParameter("unknown kind")
	}
	latest := now.Add(maxClockSkew).UnixMilli()
	switch {
	case it.ID == "" || len(it.ID) > maxIDBytes:
		return trace.BadParameter("id missing or too long")
	case it.Origin == "" || len(it.Origin) > maxNameBytes:
		return trace.BadParameter("origin missing or too long")
	case it.Timestamp <= 0 || it.Timestamp > latest:
		return trace.BadParameter("stamp out of range")
	case it.Until < it.Timestamp || it.Until-it.Timestamp > maxItemLifetime.Milliseconds():
		return trace.BadParameter("life out of range")
	}
	return nil
}

// event converts the item to an event for package decision.
func (it HealthItem) event() decision.Event {
	until := time.UnixMilli(it.Until)
	switch it.Kind {
	case HealthVerdict:
		return decision.VersionVerdict{Version: decision.VersionID(it.ID), Bad: it.Bad, Until: until}
	case HealthLeaving:
		return decision.ServerLeaving{Server: decision.ServerID(it.ID)}
	default:
		n, _ := strconv.ParseUint(it.ID, 10, 64) // validated by merge
		return decision.RequestQuarantined{Fingerprint: decision.Fingerprint(n), Until: until}
	}
}
