package estimate

import (
	"cmp"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config holds the parameters of a Table.
type Config struct {
	// PriorWeight is the weight of a prior, in ratings. The priors form a chain:
	// the manifest's quality is the prior of a version's estimate over all classes,
	// which is the prior of its estimate for one class over all teams, which is the
	// prior of its estimate for that class of one team.
	PriorWeight float64
	// Memory is the window of the discounted histograms, in ratings: enough for a
	// standard error under 0.01, short enough to follow seasonal changes.
	Memory float64
	// StaleHalfLife is the time in which ratings lose half of their weight while
	// no new ones arrive.
	StaleHalfLife time.Duration
	// Confidence is the number of standard errors by which the expected quality
	// of a plan must exceed the target. At 0 half of the plans that just meet
	// the target miss it; at 1 every plan pays for more quality than was asked
	// for. See docs/MEASUREMENTS.md.
	Confidence float64
	// ExploreShare is the share of requests that run another version first to
	// gain observations, for each such version; ExploreNewShare replaces it for
	// versions with fewer than MinRatings ratings.
	ExploreShare    float64
	ExploreNewShare float64
	MinRatings      float64
	// MaxLateShare is the share of late or invalid ratings above which the rating
	// service counts as down; no answer is held while it is.
	MaxLateShare float64
	// DefaultTokens is the length assumed for answers before any was seen, in
	// tokens.
	DefaultTokens float64
	// MaxTasks bounds the pairs of team and class; the least recently used are
	// dropped first. Callers choose the classes, so nothing else bounds their
	// number.
	MaxTasks int
	// ReplanRatings is the number of new ratings of a task, and ReplanAfter the
	// age, from which a cached plan is computed anew.
	ReplanRatings int
	ReplanAfter   time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		PriorWeight:     12,
		Memory:          500,
		StaleHalfLife:   30 * time.Minute,
		Confidence:      0.5,
		ExploreShare:    0.01,
		ExploreNewShare: 0.1,
		MinRatings:      40,
		MaxLateShare:    0.5,
		DefaultTokens:   256,
		MaxTasks:        2048,
		ReplanRatings:   8,
		ReplanAfter:     10 * time.Second,
	}
}

// Task identifies one class of requests of one team.
type Task[T, C cmp.Ordered] struct {
	Team  T
	Class C
}

// Table holds the observations of the versions: per task, per class over all
// teams, and over all classes. Each level is the prior of the one below it, so
// that ten teams need not each start without data.
type Table[T, C, V cmp.Ordered] struct {
	cfg     Config
	tasks   *simplelru.LRU[Task[T, C], *task[V]]
	classes *simplelru.LRU[C, map[V]*versionStats]
	overall map[V]*versionStats
	// prior holds, for each version of the manifest, stats made from the quality
	// that the manifest states.
	prior map[V]*versionStats
	rater rater
}

// task holds the observations and cached plans of one Task.
type task[V cmp.Ordered] struct {
	stats map[V]*versionStats
	// escalations holds the quality of second steps, by the first step's version;
	// for each, only the latest second version is kept.
	escalations map[V]*escalationStats[V]
	plans       []cachedPlan[V]
	// newRatings counts the ratings since the plans were computed.
	newRatings int
}

// escalationStats holds the number and mean rating of the answers of second that
// replaced those of a first step. Escalated requests are harder, so the mean is
// lower than the second version's mean over all requests.
type escalationStats[V cmp.Ordered] struct {
	second  V
	n, mean float64
}

// New returns an empty table.
func New[T, C, V cmp.Ordered](cfg Config) *Table[T, C, V] {
	return &Table[T, C, V]{
		cfg:     cfg,
		tasks:   newLRU[Task[T, C], *task[V]](cfg.MaxTasks),
		classes: newLRU[C, map[V]*versionStats](cfg.MaxTasks),
		overall: make(map[V]*versionStats),
		prior:   make(map[V]*versionStats),
	}
}

func newLRU[K comparable, X any](size int) *simplelru.LRU[K, X] {
	lru, err := simplelru.NewLRU[K, X](max(size, 1), nil)
	if err != nil {
		// The library fails only for a size below 1.
		panic(err)
	}
	return lru
}

// Apply sets the versions of a manifest and their stated quality, 0 to 1.
// Observations of versions that it no longer lists are dropped.
func (t *Table[T, C, V]) Apply(quality map[V]float64) {
	t.prior = make(map[V]*versionStats, len(quality))
	for v, q := range quality {
		stats := priorStats(clampQuality(q), t.cfg.PriorWeight)
		stats.meanTokens = t.cfg.DefaultTokens
		t.prior[v] = stats
	}
	t.dropUnlisted(t.overall)
	for _, class := range t.classes.Values() {
		t.dropUnlisted(class)
	}
	for _, task := range t.tasks.Values() {
		task.plans = nil
		t.dropUnlisted(task.stats)
		for v := range task.escalations {
			if !t.listed(v) {
				delete(task.escalations, v)
			}
		}
	}
}

// dropUnlisted drops the stats of versions that the manifest does not list.
func (t *Table[T, C, V]) dropUnlisted(stats map[V]*versionStats) {
	for v := range stats {
		if !t.listed(v) {
			delete(stats, v)
		}
	}
}

func clampQuality(q float64) float64 {
	if math.IsNaN(q) {
		return 0
	}
	return min(max(q, 0), 1)
}

func (t *Table[T, C, V]) task(k Task[T, C]) *task[V] {
	if found, ok := t.tasks.Get(k); ok {
		return found
	}
	made := &task[V]{stats: make(map[V]*versionStats), escalations: make(map[V]*escalationStats[V])}
	t.tasks.Add(k, made)
	return made
}

func (t *Table[T, C, V]) class(c C) map[V]*versionStats {
	if found, ok := t.classes.Get(c); ok {
		return found
	}
	made := make(map[V]*versionStats)
	t.classes.Add(c, made)
	return made
}

// statsFor returns the stats of a version, added to the map if missing.
func statsFor[V comparable](stats map[V]*versionStats, v V) *versionStats {
	s := stats[v]
	if s == nil {
		s = &versionStats{}
		stats[v] = s
	}
	return s
}

var emptyStats versionStats

// statsOrEmpty returns the stats of a version, or empty ones that must not be
// changed.
func statsOrEmpty[V comparable](stats map[V]*versionStats, v V) *versionStats {
	if s := stats[v]; s != nil {
		return s
	}
	return &emptyStats
}

// estimate combines a version's observations for the task k, for its class over
// all teams and over all classes, each the prior of the one before, with the
// manifest's quality as the last prior.
func (t *Table[T, C, V]) estimate(k Task[T, C], task *task[V], v V) versionStats {
	prior := t.prior[v]
	if prior == nil {
		prior = priorStats(0, t.cfg.PriorWeight)
	}
	overall := statsOrEmpty(t.overall, v).withPrior(prior, t.cfg.PriorWeight)
	class := statsOrEmpty(t.class(k.Class), v).withPrior(&overall, t.cfg.PriorWeight)
	return statsOrEmpty(task.stats, v).withPrior(&class, t.cfg.PriorWeight)
}

// listed reports whether the manifest lists a version. Observations of versions
// that it no longer lists are ignored: they would only fill the maps.
func (t *Table[T, C, V]) listed(v V) bool {
	_, ok := t.prior[v]
	return ok
}

// ObserveLength records the length of a complete answer, in tokens.
func (t *Table[T, C, V]) ObserveLength(k Task[T, C], v V, tokens int) {
	if !t.listed(v) || tokens < 0 {
		return
	}
	for _, stats := range t.levels(k) {
		statsFor(stats, v).addLength(float64(tokens), t.cfg.Memory)
	}
}

// levels returns the maps that an observation for a task is added to.
func (t *Table[T, C, V]) levels(k Task[T, C]) [3]map[V]*versionStats {
	return [3]map[V]*versionStats{t.task(k).stats, t.class(k.Class), t.overall}
}

// ObserveRating records a rating or, if late is true, that none came in time. It
// reports whether the rating was used: ratings outside 0 to 1, of versions that
// the manifest does not list, and from a rating service that is stuck on one
// value are not.
func (t *Table[T, C, V]) ObserveRating(k Task[T, C], v V, score float64, late bool, now time.Time) bool {
	if late {
		t.rater.missed()
		return false
	}
	if math.IsNaN(score) || score < 0 || score > 1 {
		t.rater.missed()
		return false
	}
	if !t.listed(v) {
		return false
	}
	task := t.task(k)
	if t.rater.stuck(score, func() versionStats { return t.estimate(k, task, v) }) {
		t.rater.missed()
		return false
	}
	t.rater.answered()
	for _, stats := range t.levels(k) {
		statsFor(stats, v).addRating(score, t.cfg.Memory, now)
	}
	task.newRatings++
	return true
}

// ObserveEscalatedRating records the rating of an answer of second that replaced
// an answer of first.
func (t *Table[T, C, V]) ObserveEscalatedRating(k Task[T, C], first, second V, score float64) {
	if math.IsNaN(score) || score < 0 || score > 1 || !t.listed(first) {
		return
	}
	task := t.task(k)
	esc := task.escalations[first]
	if esc == nil || esc.second != second {
		esc = &escalationStats[V]{second: second}
		task.escalations[first] = esc
	}
	esc.n = min(esc.n+1, t.cfg.Memory)
	esc.mean += (score - esc.mean) / esc.n
}

// Quality returns the estimated mean rating of a version for a task and its
// standard error.
func (t *Table[T, C, V]) Quality(k Task[T, C], v V, now time.Time) (mean, stderr float64) {
	stats := t.estimate(k, t.task(k), v)
	return stats.mean(), stats.stderr(now, t.cfg.StaleHalfLife)
}

// RaterDown reports whether the rating service counts as down: the share of its
// ratings that are late or invalid exceeds Config.MaxLateShare.
func (t *Table[T, C, V]) RaterDown() bool { return t.rater.lateShare > t.cfg.MaxLateShare }
