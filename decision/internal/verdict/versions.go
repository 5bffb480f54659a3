package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// VersionInfo is the manifest's data on one version that Versions needs.
type VersionInfo[V cmp.Ordered] struct {
	ID V
	// Predecessor is the zero value if there is none.
	Predecessor V
	// Quality is the mean rating that the manifest states, 0 to 1.
	Quality float64
}

// The values of Admission.
const (
	// Allowed: any request may be sent.
	Allowed Admission = iota + 1
	// Probe: this one request may be sent, to find out whether the version or the
	// server is good again.
	Probe
	// Blocked: no request may be sent now.
	Blocked
)

// Versions judges each version against its predecessor. It guards against a
// version that turns bad while it is in use, which callers would notice late and
// all at once: it bounds the number of requests that the version still gets.
type Versions[V, S cmp.Ordered] struct {
	cfg      VersionConfig
	versions map[V]*version[V, S]
	// sortedIDs makes the output independent of the map order.
	sortedIDs []V
}

// version holds the observations and verdicts of one version.
type version[V, S cmp.Ordered] struct {
	info    VersionInfo[V]
	errors  signal
	ratings signal
	// offered counts the requests for which Admit was called while the version was
	// blocked, since the last change of this instance's own verdict.
	offered uint64
	// peerBadUntil is when the last bad verdict of a peer expires.
	peerBadUntil time.Time
	// nextShare is when a bad verdict or a suspicion is shared again.
	nextShare time.Time
	// changePending is true if a change of this instance's own verdict or the end
	// of a suspicion has not been shared yet.
	changePending bool
	// suspectSince is when the current suspicion began; zero for none.
	suspectSince time.Time
	// failStreak counts the failures of failServer within streakDuration of the
	// first one, at failSince. A failure of another server starts a new streak; a
	// success does not end one.
	failServer S
	failSince  time.Time
	failStreak int
}

// bad reports whether this instance's own verdict is bad, whatever the peers say.
func (v *version[V, S]) bad() bool { return v.errors.bad || v.ratings.bad }

// NewVersions returns an empty table.
func NewVersions[V, S cmp.Ordered](cfg VersionConfig) *Versions[V, S] {
	return &Versions[V, S]{cfg: cfg, versions: make(map[V]*version[V, S])}
}

// Apply sets the versions of a manifest. Verdicts and references are kept for
// versions that are still listed or the predecessor of a listed one, so memory is
// bounded by the manifest.
func (t *Versions[V, S]) Apply(list []VersionInfo[V]) {
	var none V
	keep := make(map[V]*version[V, S], len(list))
	for _, info := range list {
		v := t.getOrCreate(info.ID)
		v.info = info
		keep[info.ID] = v
	}
	for _, info := range list {
		if info.Predecessor == none || keep[info.Predecessor] != nil {
			continue
		}
		v := t.getOrCreate(info.Predecessor)
		keep[info.Predecessor] = v
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

// AttemptResult is the result of an attempt that ran.
type AttemptResult[S cmp.Ordered] struct {
	Server S
	// OnlyServer is true if no other server has the version loaded.
	OnlyServer bool
	Failed     bool
	// ConnectionLost is true if the server crashed or the connection broke, and
	// not if the server answered with an error.
	ConnectionLost bool
}

// Successive failures of one server say more about the server than about the
// version, and when a server crashes, all attempts that it runs fail at once. So
// only the first few within streakDuration count against the version; Outliers
// handles the server.
const (
	maxErrorStreak          = 3
	maxConnectionLossStreak = 1
	streakDuration          = 10 * time.Second
)

// ObserveAttempt records the result of an attempt that ran. Leave out attempts
// that say nothing about the version: cancelled, not run, refused by a full or
// leaving backend server. It reports whether this instance's own verdict changed.
func (t *Versions[V, S]) ObserveAttempt(id V, r AttemptResult[S], now time.Time) (changed bool) {
	v := t.versions[id]
	if v == nil {
		return false
	}
	if !r.Failed {
		return t.observe(v, &v.errors, noClass, 1, t.minSuccessRate(v), now)
	}
	if !v.countsAgainstVersion(r, now) {
		return false
	}
	return t.observe(v, &v.errors, noClass, 0, t.minSuccessRate(v), now)
}

// countsAgainstVersion reports whether a failure counts against the version. If no
// other server has the version loaded, every error counts; a lost connection still
// counts only as the first failure of a streak.
func (v *version[V, S]) countsAgainstVersion(r AttemptResult[S], now time.Time) bool {
	if r.Server != v.failServer || now.Sub(v.failSince) > streakDuration {
		v.failServer = r.Server
		v.failSince = now
		v.failStreak = 0
	}
	v.failStreak++
	if r.ConnectionLost {
		return v.failStreak <= maxConnectionLossStreak
	}
	return r.OnlyServer || v.failStreak <= maxErrorStreak
}

// ObserveRating records the rating of an answer to a request of a class. Ratings
// are compared within a class only: cascades can send different mixes of easy
// and hard classes to two versions, and the one with more hard ones would look
// worse. A rating that is outside 0 to 1 or not a number is a fault of the
// rating service and not of the version, and is ignored. ObserveRating reports
// whether this instance's own verdict changed.
func (t *Versions[V, S]) ObserveRating(id V, class string, score float64, now time.Time) (changed bool) {
	v := t.versions[id]
	if v == nil || math.IsNaN(score) || score < 0 || score > 1 {
		return false
	}
	return t.observe(v, &v.ratings, class, score, t.minRating(v, class), now)
}

// noClass is the class of observations that have none.
const noClass = ""

// observe adds an observation x of a class to a signal, to be compared with the
// reference, and updates the verdict.
func (t *Versions[V, S]) observe(v *version[V, S], s *signal, class string, x, reference float64, now time.Time) bool {
	wasBad := v.bad()
	h := s.history(class)
	h.all.add(x, t.cfg.Memory)
	h.recent.add(x, recentMemory)
	if s.bad {
		s.observeProbe(x, reference, &t.cfg)
	} else {
		s.observeAllowed(h, x, reference, &t.cfg)
	}
	if v.peerBadUntil.After(now) {
		t.confirmSuspicion(v)
	}
	return v.noteChange(wasBad)
}

// noteChange marks a change of this instance's own verdict for sharing and
// reports whether there was one. wasBad tells whether that verdict was bad before.
func (v *version[V, S]) noteChange(wasBad bool) bool {
	if v.bad() == wasBad {
		return false
	}
	v.changePending = true
	v.offered = 0
	v.suspectSince = time.Time{}
	return true
}

// confirmSuspicion turns this instance's own suspicion into a verdict. It is
// called while a suspicion or verdict of a peer is in force: the instances
// observe different requests, so their evidence multiplies. With eight instances
// this detects a bad version with a quarter of the bad answers that each instance
// would need by itself.
func (t *Versions[V, S]) confirmSuspicion(v *version[V, S]) {
	for _, s := range []*signal{&v.errors, &v.ratings} {
		if s.suspected(&t.cfg) {
			s.markBad()
		}
	}
}
