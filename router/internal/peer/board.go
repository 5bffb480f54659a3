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

// HealthKind says what a HealthItem is about.
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

// HealthItem is one word on health. Times are in ms since 1970.
type HealthItem struct {
	Kind HealthKind `json:"kind"`
	ID   string     `json:"id"`
	Bad  bool       `json:"bad,omitempty"`
	// Stamp is when its origin said it; the latest word on an ID counts.
	Timestamp int64 `json:"stamp"`
	// Until bounds its life. It is set once by the origin, so that passing it
	// round never makes it live longer.
	Until int64 `json:"until"`
	// Origin is the instance that said it first.
	Origin string `json:"origin"`
}

const (
	// maxItems bounds the board: all versions, and more leaving backend
	// servers than a rack has.
	maxHealthItems = 2048
	// maxItemLife bounds how long one instance's word can bind the others,
	// should it be wrong.
	maxItemLifetime = 15 * time.Minute
	// maxSkew is the clock skew allowed between instances.
	maxClockSkew = 30 * time.Second
	maxIDBytes   = 128
)

type itemKey struct {
	kind HealthKind
	id   string
}

// row is an item with its part of the board's hash.
type healthEntry struct {
	HealthItem
	itemHash uint64
}

// board is what this instance knows about health. Equal boards have equal
// hashes, so peers exchange them only where they differ. Safe for concurrent
// use.
type healthSet struct {
	mu           sync.Mutex
	entries      map[itemKey]healthEntry
	combinedHash uint64
}

func newHealthSet() *healthSet { return &healthSet{entries: map[itemKey]healthEntry{}} }

// merge takes items in, all or none, and returns those that were news.
func (b *healthSet) merge(items []HealthItem, now time.Time) ([]HealthItem, error) {
	if len(items) > maxHealthItems {
		return nil, trace.LimitExceeded("%d items", len(items))
	}
	for _, it := range items {
		if err := it.validate(now); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var added []HealthItem
	for _, it := range items {
		if b.insertIfNewer(it, now) {
			added = append(added, it)
		}
	}
	return added, nil
}

// take stores it where it is newer than what is known. A full board drops the
// item that ends first, which all instances choose alike.
func (b *healthSet) insertIfNewer(it HealthItem, now time.Time) bool {
	if it.Until <= now.UnixMilli() {
		return false
	}
	key := itemKey{it.Kind, it.ID}
	if known, ok := b.entries[key]; ok && !it.supersedes(known.HealthItem) {
		return false
	}
	b.remove(key)
	b.insert(key, it)
	if len(b.entries) <= maxHealthItems {
		return true
	}
	expiring := b.firstToExpire()
	b.remove(expiring)
	return expiring != key
}

func (b *healthSet) insert(key itemKey, it HealthItem) {
	r := healthEntry{HealthItem: it, itemHash: it.hash()}
	b.entries[key] = r
	b.combinedHash ^= r.itemHash
}

func (b *healthSet) remove(key itemKey) {
	b.combinedHash ^= b.entries[key].itemHash // 0 where there is none
	delete(b.entries, key)
}

// first is the item that ends first.
func (b *healthSet) firstToExpire() itemKey {
	var key itemKey
	var earliest healthEntry
	for k, r := range b.entries {
		if key.id == "" || r.Until < earliest.Until || r.Until == earliest.Until && r.itemHash < earliest.itemHash {
			key, earliest = k, r
		}
	}
	return key
}

// sum hashes all of the item.
func (it HealthItem) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%t\x00%d\x00%d\x00%s",
		it.Kind, it.ID, it.Bad, it.Timestamp, it.Until, it.Origin))
}

// supersedes orders two words on one ID the same at every instance.
func (it HealthItem) supersedes(other HealthItem) bool {
	if it.Timestamp != other.Timestamp {
		return it.Timestamp > other.Timestamp
	}
	return it.hash() > other.hash()
}

// knows says whether an unexpired word on the ID exists.
func (b *healthSet) has(kind HealthKind, id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.entries[itemKey{kind, id}]
	return ok && r.Until > now.UnixMilli()
}

// all returns the live items, in a fixed order.
func (b *healthSet) all(now time.Time) []HealthItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	out := make([]HealthItem, 0, len(b.entries))
	for _, r := range b.entries {
		out = append(out, r.HealthItem)
	}
	slices.SortFunc(out, func(x, y HealthItem) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// hash is the same for boards with the same live items.
func (b *healthSet) hash(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	return b.combinedHash
}

func (b *healthSet) expire(now time.Time) {
	for key, r := range b.entries {
		if r.Until <= now.UnixMilli() {
			b.remove(key)
		}
	}
}

// check refuses an item that no instance sends.
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

// event is the item as the decision takes it.
func (it HealthItem) event() decision.Event {
	until := time.UnixMilli(it.Until)
	switch it.Kind {
	case HealthVerdict:
		return decision.VersionVerdict{Version: decision.VersionID(it.ID), Bad: it.Bad, Until: until}
	case HealthLeaving:
		return decision.ServerLeaving{Server: decision.ServerID(it.ID)}
	default:
		n, _ := strconv.ParseUint(it.ID, 10, 64) // checked when it came in
		return decision.RequestQuarantined{Fingerprint: decision.Fingerprint(n), Until: until}
	}
}
