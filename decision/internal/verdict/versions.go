package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Row is what Versions needs to know of one version in the manifest.
type Row[V cmp.Ordered] struct {
	ID V
	// Predecessor is the zero value for none.
	Predecessor V
	// Quality is the manifest's expected rating, 0 to 1.
	Quality float64
}

// Admission says what may be sent to a version or a backend server.
type Admission uint8

const (
	// Open takes any work.
	Open Admission = iota + 1
	// Probe takes this one request, to learn whether it is good again.
	Probe
	// Barred takes nothing now.
	Barred
)

// Word is a verdict to tell the peers of, or a change of one.
type Word[V cmp.Ordered] struct {
	Version V
	Bad     bool
	// Until is when the word lapses by itself.
	Until time.Time
}

// Versions judges each version against its predecessor. It is made for a
// version that turns bad in mid-season, when callers notice late and all at
// once; it bounds how many requests the version still gets.
type Versions[V, S cmp.Ordered] struct {
	cfg  VersionConfig
	rows map[V]*version[V, S]
	// order is the ids sorted, for output that does not depend on map order.
	order []V
}

// version is one row of the table.
type version[V, S cmp.Ordered] struct {
	row      Row[V]
	errors   channel
	ratings  channel
	offered  uint64
	peerBad  time.Time
	shareAt  time.Time
	announce bool
	// The last failures in a row of one server.
	failServer S
	failSince  time.Time
	failStreak int
}

// bad is the own verdict.
func (v *version[V, S]) bad() bool { return v.errors.bad || v.ratings.bad }

// NewVersions returns an empty table.
func NewVersions[V, S cmp.Ordered](cfg VersionConfig) *Versions[V, S] {
	return &Versions[V, S]{cfg: cfg, rows: make(map[V]*version[V, S])}
}

// Apply takes in a manifest's versions. Verdicts and references stay for
// versions that are still listed or still somebody's predecessor; so memory is
// bounded by the manifest.
func (t *Versions[V, S]) Apply(rows []Row[V]) {
	var none V
	keep := make(map[V]*version[V, S], len(rows))
	for _, r := range rows {
		v := t.ensure(r.ID)
		v.row = r
		keep[r.ID] = v
	}
	for _, r := range rows {
		if r.Predecessor == none || keep[r.Predecessor] != nil {
			continue
		}
		v := t.ensure(r.Predecessor)
		keep[r.Predecessor] = v
	}
	t.rows = keep
	t.order = t.order[:0]
	for id := range keep {
		t.order = append(t.order, id)
	}
	slices.Sort(t.order)
}

func (t *Versions[V, S]) ensure(id V) *version[V, S] {
	if v := t.rows[id]; v != nil {
		return v
	}
	v := &version[V, S]{row: Row[V]{ID: id}}
	v.errors = newChannel(errorStakes)
	v.ratings = newChannel(ratingStakes)
	t.rows[id] = v
	return v
}

// End is how an attempt that ran has ended.
type End[S cmp.Ordered] struct {
	Server S
	// Alone says that no other server has the version loaded.
	Alone  bool
	Failed bool
	// Broken says that the server died or the connection broke, rather than
	// that the server answered with an error.
	Broken bool
}

// Failures of one server in a row say more of the server than of the version,
// and one that dies fails all that it ran at once. So only the first few within
// streakLife count against the version; Outliers deals with the server.
const (
	failedStreak = 3
	brokenStreak = 1
	streakLife   = 10 * time.Second
)

// Ended takes in the end of an attempt that ran. Leave out attempts that say
// nothing of the version: cancelled, not run, refused by a full or leaving
// backend server. It reports whether the own verdict changed.
func (t *Versions[V, S]) Ended(id V, e End[S], now time.Time) (changed bool) {
	v := t.rows[id]
	if v == nil {
		return false
	}
	if !e.Failed {
		return t.observe(v, &v.errors, 1, t.errorLine(v))
	}
	if !v.counts(e, now) {
		return false
	}
	return t.observe(v, &v.errors, 0, t.errorLine(v))
}

// counts reports whether a failure counts against the version.
func (v *version[V, S]) counts(e End[S], now time.Time) bool {
	if e.Server != v.failServer || now.Sub(v.failSince) > streakLife {
		v.failServer = e.Server
		v.failSince = now
		v.failStreak = 0
	}
	v.failStreak++
	if e.Broken {
		return v.failStreak <= brokenStreak
	}
	return e.Alone || v.failStreak <= failedStreak
}

// Rated takes in a rating. One out of 0..1, or no number, is the rating
// service's fault and not the version's: it is ignored. It reports whether the
// own verdict changed.
func (t *Versions[V, S]) Rated(id V, score float64) (changed bool) {
	v := t.rows[id]
	if v == nil || math.IsNaN(score) || score < 0 || score > 1 {
		return false
	}
	return t.observe(v, &v.ratings, score, t.ratingLine(v))
}

// observe feeds one channel and moves its verdict.
func (t *Versions[V, S]) observe(v *version[V, S], c *channel, x, line float64) bool {
	before := v.bad()
	c.seen.add(x, t.cfg.Memory)
	c.recent.add(x, recentMemory)
	if c.bad {
		c.probeEnded(x, &t.cfg)
	} else {
		c.watch(x, line, &t.cfg)
	}
	changed := v.bad() != before
	if changed {
		v.announce = true
		v.offered = 0
	}
	return changed
}

// errorLine is the share of good ends below which v is worse. The predecessor
// counts its faults in, so that a cause that hits both bars neither.
func (t *Versions[V, S]) errorLine(v *version[V, S]) float64 {
	ok := 1 - referenceErrors
	if p := t.predecessor(v); p != nil && p.errors.seen.n >= t.cfg.MinReference {
		ok = min(ok, p.errors.asReference())
	} else if v.errors.own.n >= t.cfg.MinReference {
		ok = min(ok, v.errors.own.lower(referenceZ))
	}
	return ok - t.cfg.WorseErrors
}

// ratingLine is the mean rating below which v is worse than its predecessor;
// while too little is known of that, than its own past; and while that is too
// little as well, than the manifest's word with some slack.
func (t *Versions[V, S]) ratingLine(v *version[V, S]) float64 {
	if p := t.predecessor(v); p != nil && p.ratings.seen.n >= t.cfg.MinReference {
		return p.ratings.asReference() - t.cfg.WorseRating
	}
	if v.ratings.own.n >= t.cfg.MinReference {
		return v.ratings.own.lower(referenceZ) - t.cfg.WorseRating
	}
	return v.row.Quality - t.cfg.PriorSlack
}

func (t *Versions[V, S]) predecessor(v *version[V, S]) *version[V, S] {
	if p := t.rows[v.row.Predecessor]; p != v {
		return p
	}
	return nil
}

// referenceZ is the confidence of a reference: at 1.6 standard errors it is
// truly lower only once in 20.
const referenceZ = 1.6

// Peer takes in a peer's word. A bad one bars the version until its Until, or
// PeerLimit from now if that is sooner; a good one lifts what peers said. The
// own verdict stays as it is: own evidence goes first.
func (t *Versions[V, S]) Peer(w Word[V], now time.Time) {
	v := t.rows[w.Version]
	if v == nil {
		return
	}
	if !w.Bad {
		v.peerBad = time.Time{}
		return
	}
	until := w.Until
	if limit := now.Add(t.cfg.PeerLimit); until.After(limit) {
		until = limit
	}
	if until.After(v.peerBad) {
		v.peerBad = until
	}
}

// Bad reports whether the version is barred, by own verdict or a peer's.
func (t *Versions[V, S]) Bad(id V, now time.Time) bool {
	v := t.rows[id]
	return v != nil && (v.bad() || v.peerBad.After(now))
}

// Admit says whether a request that the roll-out gives to the version may go
// there, and counts it. Every ProbeEvery-th one is a probe. The count runs over
// requests and not over time, so that the part that a bad version gets is
// bounded at any load; a burst buys it nothing.
func (t *Versions[V, S]) Admit(id V, now time.Time) Admission {
	if !t.Bad(id, now) {
		return Open
	}
	v := t.rows[id]
	v.offered++
	if v.offered%t.cfg.ProbeEvery == 0 {
		return Probe
	}
	return Barred
}

// Share returns the words to tell the peers of now: each change once, and each
// bad verdict again every ShareEvery while it holds. In the order of the ids.
func (t *Versions[V, S]) Share(now time.Time) []Word[V] {
	var out []Word[V]
	for _, id := range t.order {
		v := t.rows[id]
		due := v.bad() && !now.Before(v.shareAt)
		if !v.announce && !due {
			continue
		}
		v.announce = false
		v.shareAt = now.Add(t.cfg.ShareEvery)
		out = append(out, Word[V]{Version: id, Bad: v.bad(), Until: now.Add(3 * t.cfg.ShareEvery)})
	}
	return out
}
