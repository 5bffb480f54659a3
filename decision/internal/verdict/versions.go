package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Row is what Versions needs to know of one version in the manifest.
type VersionInfo[V cmp.Ordered] struct {
	ID V
	// Predecessor is the zero value for none.
	Predecessor V
	// Quality is the manifest's expected rating, 0 to 1.
	Quality float64
}

const (
	// Open takes any work.
	Allowed Admission = iota + 1
	// Probe takes this one request, to learn whether it is good again.
	Probe
	// Barred takes nothing now.
	Blocked
)

// Versions judges each version against its predecessor. It is made for a
// version that turns bad in mid-season, when callers notice late and all at
// once; it bounds how many requests the version still gets.
type Versions[V, S cmp.Ordered] struct {
	cfg      VersionConfig
	versions map[V]*version[V, S]
	// order is the ids sorted, for output that does not depend on map order.
	sortedIDs []V
}

// version is one row of the table.
type version[V, S cmp.Ordered] struct {
	info          VersionInfo[V]
	errors        signal
	ratings       signal
	offered       uint64
	peerBadUntil  time.Time
	nextShare     time.Time
	changePending bool
	// suspectAt is when the present suspicion began; zero for none.
	suspectSince time.Time
	// The last failures in a row of one server.
	failServer S
	failSince  time.Time
	failStreak int
}

// bad is the own verdict.
func (v *version[V, S]) bad() bool { return v.errors.bad || v.ratings.bad }

// NewVersions returns an empty table.
func NewVersions[V, S cmp.Ordered](cfg VersionConfig) *Versions[V, S] {
	return &Versions[V, S]{cfg: cfg, versions: make(map[V]*version[V, S])}
}

// Apply takes in a manifest's versions. Verdicts and references stay for
// versions that are still listed or still somebody's predecessor; so memory is
// bounded by the manifest.
func (t *Versions[V, S]) Apply(rows []VersionInfo[V]) {
	var none V
	keep := make(map[V]*version[V, S], len(rows))
	for _, r := range rows {
		v := t.getOrCreate(r.ID)
		v.info = r
		keep[r.ID] = v
	}
	for _, r := range rows {
		if r.Predecessor == none || keep[r.Predecessor] != nil {
			continue
		}
		v := t.getOrCreate(r.Predecessor)
		keep[r.Predecessor] = v
	}
	t.versions = keep
	t.sortedIDs = t.sortedIDs[:0]
	for id := range keep {
		t.sortedIDs = append(t.sortedIDs, id)
	}
	slices.Sort(t.sortedIDs)
}

func (t *Versions[V, S]) getOrCreate(id V) *version[V, S] {
	if v := t.versions[id]; v != nil {
		return v
	}
	v := &version[V, S]{info: VersionInfo[V]{ID: id}}
	v.errors = newSignal(errorBets)
	v.ratings = newSignal(ratingBets)
	t.versions[id] = v
	return v
}

// End is how an attempt that ran has ended.
type AttemptResult[S cmp.Ordered] struct {
	Server S
	// Alone says that no other server has the version loaded.
	OnlyServer bool
	Failed     bool
	// Broken says that the server died or the connection broke, rather than
	// that the server answered with an error.
	ConnectionLost bool
}

// Failures of one server in a row say more of the server than of the version,
// and one that dies fails all that it ran at once. So only the first few within
// streakLife count against the version; Outliers deals with the server.
const (
	maxErrorStreak          = 3
	maxConnectionLossStreak = 1
	streakDuration          = 10 * time.Second
)

// Ended takes in the end of an attempt that ran. Leave out attempts that say
// nothing of the version: cancelled, not run, refused by a full or leaving
// backend server. It reports whether the own verdict changed.
func (t *Versions[V, S]) ObserveAttempt(id V, e AttemptResult[S], now time.Time) (changed bool) {
	v := t.versions[id]
	if v == nil {
		return false
	}
	if !e.Failed {
		return t.observe(v, &v.errors, noClass, 1, t.minSuccessRate(v), now)
	}
	if !v.countsAgainstVersion(e, now) {
		return false
	}
	return t.observe(v, &v.errors, noClass, 0, t.minSuccessRate(v), now)
}

// counts reports whether a failure counts against the version.
func (v *version[V, S]) countsAgainstVersion(e AttemptResult[S], now time.Time) bool {
	if e.Server != v.failServer || now.Sub(v.failSince) > streakDuration {
		v.failServer = e.Server
		v.failSince = now
		v.failStreak = 0
	}
	v.failStreak++
	if e.ConnectionLost {
		return v.failStreak <= maxConnectionLossStreak
	}
	return e.OnlyServer || v.failStreak <= maxErrorStreak
}

// Rated takes in a rating of an answer to a request of a class. Ratings are
// compared within a class only: where two versions serve different mixes of easy
// and hard classes, since plans differ, the one with the hard ones would look
// worse. One out of 0..1, or no number, is the rating
// service's fault and not the version's: it is ignored. It reports whether the
// own verdict changed.
func (t *Versions[V, S]) ObserveRating(id V, class string, score float64, now time.Time) (changed bool) {
	v := t.versions[id]
	if v == nil || math.IsNaN(score) || score < 0 || score > 1 {
		return false
	}
	return t.observe(v, &v.ratings, class, score, t.minRating(v, class), now)
}

// noClass is the class of what has none.
const noClass = ""

// observe feeds one channel and moves its verdict.
func (t *Versions[V, S]) observe(v *version[V, S], c *signal, class string, x, reference float64, now time.Time) bool {
	before := v.bad()
	p := c.history(class)
	p.all.add(x, t.cfg.Memory)
	p.recent.add(x, recentMemory)
	if c.bad {
		c.observeProbe(x, reference, &t.cfg)
	} else {
		c.observeAllowed(p, x, reference, &t.cfg)
	}
	if v.peerBadUntil.After(now) {
		t.confirmSuspicion(v)
	}
	return v.noteChange(before)
}

// turned notes a change of the own verdict since before.
func (v *version[V, S]) noteChange(before bool) bool {
	if v.bad() == before {
		return false
	}
	v.changePending = true
	v.offered = 0
	v.suspectSince = time.Time{}
	return true
}

// join makes a verdict of an own suspicion while a peer holds one as well: the
// instances see different requests, so their evidence multiplies. With eight
// instances this finds a bad version by a fourth of the bad answers that each
// would need by itself.
func (t *Versions[V, S]) confirmSuspicion(v *version[V, S]) {
	for _, c := range []*signal{&v.errors, &v.ratings} {
		if c.suspected(&t.cfg) {
			c.markBad()
		}
	}
}
