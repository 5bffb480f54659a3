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
	Stamp int64 `json:"stamp"`
	// Until bounds its life. It is set once by the origin, so that passing it
	// round never makes it live longer.
	Until int64 `json:"until"`
	// Origin is the instance that said it first.
	Origin string `json:"origin"`
}

const (
	// maxItems bounds the board: all versions, and more leaving backend
	// servers than a rack has.
	maxItems = 2048
	// maxItemLife bounds how long one instance's word can bind the others,
	// should it be wrong.
	maxItemLife = 15 * time.Minute
	// maxSkew is the clock skew allowed between instances.
	maxSkew = 30 * time.Second
	maxID   = 128
)

type itemKey struct {
	kind HealthKind
	id   string
}

// row is an item with its part of the board's hash.
type row struct {
	HealthItem
	sum uint64
}

// board is what this instance knows about health. Equal boards have equal
// hashes, so peers exchange them only where they differ. Safe for concurrent
// use.
type board struct {
	mu   sync.Mutex
	rows map[itemKey]row
	sum  uint64
}

func newBoard() *board { return &board{rows: map[itemKey]row{}} }

// merge takes items in, all or none, and returns those that were news.
func (b *board) merge(items []HealthItem, now time.Time) ([]HealthItem, error) {
	if len(items) > maxItems {
		return nil, trace.LimitExceeded("%d items", len(items))
	}
	for _, it := range items {
		if err := it.check(now); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var news []HealthItem
	for _, it := range items {
		if b.take(it, now) {
			news = append(news, it)
		}
	}
	return news, nil
}

// take stores it where it is newer than what is known. A full board drops the
// item that ends first, which all instances choose alike.
func (b *board) take(it HealthItem, now time.Time) bool {
	if it.Until <= now.UnixMilli() {
		return false
	}
	key := itemKey{it.Kind, it.ID}
	if known, ok := b.rows[key]; ok && !it.supersedes(known.HealthItem) {
		return false
	}
	b.remove(key)
	b.insert(key, it)
	if len(b.rows) <= maxItems {
		return true
	}
	first := b.first()
	b.remove(first)
	return first != key
}

func (b *board) insert(key itemKey, it HealthItem) {
	r := row{HealthItem: it, sum: it.sum()}
	b.rows[key] = r
	b.sum ^= r.sum
}

func (b *board) remove(key itemKey) {
	b.sum ^= b.rows[key].sum // 0 where there is none
	delete(b.rows, key)
}

// first is the item that ends first.
func (b *board) first() itemKey {
	var key itemKey
	var least row
	for k, r := range b.rows {
		if key.id == "" || r.Until < least.Until || r.Until == least.Until && r.sum < least.sum {
			key, least = k, r
		}
	}
	return key
}

// sum hashes all of the item.
func (it HealthItem) sum() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%t\x00%d\x00%d\x00%s",
		it.Kind, it.ID, it.Bad, it.Stamp, it.Until, it.Origin))
}

// supersedes orders two words on one ID the same at every instance.
func (it HealthItem) supersedes(other HealthItem) bool {
	if it.Stamp != other.Stamp {
		return it.Stamp > other.Stamp
	}
	return it.sum() > other.sum()
}

// knows says whether an unexpired word on the ID exists.
func (b *board) knows(kind HealthKind, id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[itemKey{kind, id}]
	return ok && r.Until > now.UnixMilli()
}

// all returns the live items, in a fixed order.
func (b *board) all(now time.Time) []HealthItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	out := make([]HealthItem, 0, len(b.rows))
	for _, r := range b.rows {
		out = append(out, r.HealthItem)
	}
	slices.SortFunc(out, func(x, y HealthItem) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// hash is the same for boards with the same live items.
func (b *board) hash(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	return b.sum
}

func (b *board) expire(now time.Time) {
	for key, r := range b.rows {
		if r.Until <= now.UnixMilli() {
			b.remove(key)
		}
	}
}

// check refuses an item that no instance sends.
func (it HealthItem) check(now time.Time) error {
	switch it.Kind {
	case HealthVerdict, HealthLeaving:
	case HealthQuarantine:
		if _, err := strconv.ParseUint(it.ID, 10, 64); err != nil {
			return trace.BadParameter("fingerprint is no number")
		}
	default:
		return trace.BadParameter("unknown kind")
	}
	latest := now.Add(maxSkew).UnixMilli()
	switch {
	case it.ID == "" || len(it.ID) > maxID:
		return trace.BadParameter("id missing or too long")
	case it.Origin == "" || len(it.Origin) > maxName:
		return trace.BadParameter("origin missing or too long")
	case it.Stamp <= 0 || it.Stamp > latest:
		return trace.BadParameter("stamp out of range")
	case it.Until < it.Stamp || it.Until-it.Stamp > maxItemLife.Milliseconds():
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
