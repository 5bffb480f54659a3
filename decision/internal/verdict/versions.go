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
	// suspectAt is when the present suspicion began; zero for none.
	suspectAt time.Time
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
		return t.observe(v, &v.errors, noClass, 1, t.errorLine(v), now)
	}
	if !v.counts(e, now) {
		return false
	}
	return t.observe(v, &v.errors, noClass, 0, t.errorLine(v), now)
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

// Rated takes in a rating of an answer to a request of a class. Ratings are
// compared within a class only: where two versions serve different mixes of easy
// and hard classes, since plans differ, the one with the hard ones would look
// worse. One out of 0..1, or no number, is the rating
// service's fault and not the version's: it is ignored. It reports whether the
// own verdict changed.
func (t *Versions[V, S]) Rated(id V, class string, score float64, now time.Time) (changed bool) {
	v := t.rows[id]
	if v == nil || math.IsNaN(score) || score < 0 || score > 1 {
		return false
	}
	return t.observe(v, &v.ratings, class, score, t.ratingLine(v, class), now)
}

// noClass is the class of what has none.
const noClass = ""

// observe feeds one channel and moves its verdict.
func (t *Versions[V, S]) observe(v *version[V, S], c *channel, class string, x, line float64, now time.Time) bool {
	before := v.bad()
	p := c.past(class)
	p.seen.add(x, t.cfg.Memory)
	p.recent.add(x, recentMemory)
	if c.bad {
		c.probeEnded(x, line, &t.cfg)
	} else {
		c.watch(p, x, line, &t.cfg)
	}
	if v.peerBad.After(now) {
		t.join(v)
	}
	return v.turned(before)
}

// turned notes a change of the own verdict since before.
func (v *version[V, S]) turned(before bool) bool {
	if v.bad() == before {
		return false
	}
	v.announce = true
	v.offered = 0
	v.suspectAt = time.Time{}
	return true
}

// join makes a verdict of an own suspicion while a peer holds one as well: the
// instances see different requests, so their evidence multiplies. With eight
// instances this finds a bad version by a fourth of the bad answers that each
// would need by itself.
func (t *Versions[V, S]) join(v *version[V, S]) {
	for _, c := range []*channel{&v.errors, &v.ratings} {
		if c.suspected(&t.cfg) {
			c.condemn()
		}
	}
}

// errorLine is the share of good ends below which v is worse. The predecessor
// counts its faults in, so that a cause that hits both bars neither.
func (t *Versions[V, S]) errorLine(v *version[V, S]) float64 {
	ok := 1 - referenceErrors
	if ref, known := t.reference(v, noClass, errorsOf); known {
		ok = min(ok, ref)
	}
	return ok - t.cfg.WorseErrors
}

// ratingLine is the mean rating of a class below which v is worse.
func (t *Versions[V, S]) ratingLine(v *version[V, S], class string) float64 {
	if ref, known := t.reference(v, class, ratingsOf); known {
		return ref - t.cfg.WorseRating
	}
	return v.row.Quality - t.cfg.PriorSlack
}

func errorsOf[V, S cmp.Ordered](v *version[V, S]) *channel  { return &v.errors }
func ratingsOf[V, S cmp.Ordered](v *version[V, S]) *channel { return &v.ratings }

// reference is what v must reach: its predecessor's mean; while too little is
// known of that, its own past; known is false while that is too little as well.
func (t *Versions[V, S]) reference(v *version[V, S], class string, of func(*version[V, S]) *channel) (ref float64, known bool) {
	if p := t.predecessor(v); p != nil {
		if past := of(p).past(class); past.seen.n >= t.cfg.MinReference {
			return past.asReference(), true
		}
	}
	if past := of(v).past(class); past.own.n >= t.cfg.MinReference {
		return past.own.lower(referenceZ), true
	}
	return 0, false
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
// own verdict is not changed by a word alone: own evidence goes first.
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
	if v.peerBad.After(now) {
		before := v.bad()
		t.join(v)
		v.turned(before)
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

// Share returns the words to tell the peers of now, in the order of the ids: each
// change of a verdict once, each bad one again every ShareEvery while it holds,
// and likewise a suspicion, which makes the peers hold back while this instance
// goes on and finds out. So what a bad version gets in the meantime is one
// instance's part.
func (t *Versions[V, S]) Share(now time.Time) []Word[V] {
	var out []Word[V]
	for _, id := range t.order {
		v := t.rows[id]
		word := Word[V]{Version: id, Bad: true, Until: now.Add(3 * t.cfg.ShareEvery)}
		switch {
		case v.bad():
			if !v.announce && now.Before(v.shareAt) {
				continue
			}
		case t.suspects(v, now):
			if now.Before(v.shareAt) {
				continue
			}
			word.Until = now.Add(t.cfg.ShareEvery)
		case v.announce:
			word.Bad = false
		default:
			continue
		}
		v.announce = false
		v.shareAt = now.Add(t.cfg.ShareEvery)
		out = append(out, word)
	}
	return out
}

// suspects reports whether the peers are to be told of a suspicion. One that
// neither grows nor fades, for want of traffic, is dropped after SuspectFor: it
// must not keep a version barred elsewhere on half the evidence. One that fades
// is taken back.
func (t *Versions[V, S]) suspects(v *version[V, S], now time.Time) bool {
	if !v.errors.suspected(&t.cfg) && !v.ratings.suspected(&t.cfg) {
		if !v.suspectAt.IsZero() {
			v.suspectAt = time.Time{}
			v.announce = true
		}
		return false
	}
	if v.suspectAt.IsZero() {
		v.suspectAt = now
		v.shareAt = now
	}
	return now.Sub(v.suspectAt) < t.cfg.SuspectFor
}
