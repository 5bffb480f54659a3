package estimate

import (
	"cmp"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config holds the limits.
type Config struct {
	// PriorWeight is how many ratings the manifest's word counts for against what
	// all saw of a version, that against what all teams saw for a class, and that
	// against what the team itself saw.
	PriorWeight float64
	// Memory is how many ratings a row looks back on: enough for a standard
	// error under 0.01, short enough to follow a season.
	Memory float64
	// StaleHalfLife is when ratings without successors count half.
	StaleHalfLife time.Duration
	// Confidence is how many standard errors below its estimate a plan is
	// credited with. At 0 half of the plans that just meet the target miss it; at
	// 1 every plan pays for more than was asked for. docs/MEASUREMENTS.md.
	Confidence float64
	// Explore is the part of requests that try another version first, to learn;
	// ExploreNew is that part while one is known by fewer than KnownRatings.
	ExploreShare    float64
	ExploreNewShare float64
	MinRatings      float64
	// LateLimit is the part of late ratings from which the rating service counts
	// as down; then nothing is held for it.
	MaxLateShare float64
	// DefaultTokens is an answer's length before any was seen.
	DefaultTokens float64
	// Tasks bounds the pairs of team and class; the least recently used go
	// first. Callers choose the classes, so their number is no one's promise.
	MaxTasks int
	// ReplanRatings and ReplanAfter bound how old a plan may be.
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

// Task is a team's class of requests.
type Task[T, C cmp.Ordered] struct {
	Team  T
	Class C
}

// Table holds what was seen of the versions: per task, per class over all teams,
// and over all classes. Each level stands in for the one below it while that has
// seen little, so that ten teams need not each learn from nothing.
type Table[T, C, V cmp.Ordered] struct {
	cfg     Config
	tasks   *simplelru.LRU[Task[T, C], *task[V]]
	classes *simplelru.LRU[C, map[V]*versionStats]
	overall map[V]*versionStats
	// prior is the manifest's word.
	prior map[V]*versionStats
	rater rater
}

// task is one row of the tasks table.
type task[V cmp.Ordered] struct {
	stats map[V]*versionStats
	// second is the quality of second steps after a first one's escalation.
	escalations map[V]*escalationStats[V]
	plans       []cachedPlan[V]
	// news counts the ratings since the plans were made.
	newRatings int
}

// followUp is the mean rating of answers that replaced those of a first step.
// They are for the harder requests, so it lies below the second's own mean.
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

// Apply takes in a manifest's versions with the quality it states. What was
// learnt of versions that are gone is forgotten.
func (t *Table[T, C, V]) Apply(quality map[V]float64) {
	t.prior = make(map[V]*versionStats, len(quality))
	for v, q := range quality {
		r := priorStats(clampQuality(q), t.cfg.PriorWeight)
		r.meanTokens = t.cfg.DefaultTokens
		t.prior[v] = r
	}
	t.forget(t.overall)
	for _, class := range t.classes.Values() {
		t.forget(class)
	}
	for _, task := range t.tasks.Values() {
		task.plans = nil
		t.forget(task.stats)
		for v := range task.escalations {
			if !t.listed(v) {
				delete(task.escalations, v)
			}
		}
	}
}

// forget drops the rows of versions that the manifest does not list.
func (t *Table[T, C, V]) forget(rows map[V]*versionStats) {
	for v := range rows {
		if !t.listed(v) {
			delete(rows, v)
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

// ensure returns a map's row of a version.
func statsFor[V comparable](rows map[V]*versionStats, v V) *versionStats {
	r := rows[v]
	if r == nil {
		r = &versionStats{}
		rows[v] = r
	}
	return r
}

var emptyStats versionStats

// seen is the row, or an empty one.
func statsOrEmpty[V comparable](rows map[V]*versionStats, v V) *versionStats {
	if r := rows[v]; r != nil {
		return r
	}
	return &emptyStats
}

// estimate is what is known of a version for a task, from all levels.
func (t *Table[T, C, V]) estimate(k Task[T, C], task *task[V], v V) versionStats {
	prior := t.prior[v]
	if prior == nil {
		prior = priorStats(0, t.cfg.PriorWeight)
	}
	overall := statsOrEmpty(t.overall, v).withPrior(prior, t.cfg.PriorWeight)
	class := statsOrEmpty(t.class(k.Class), v).withPrior(&overall, t.cfg.PriorWeight)
	return statsOrEmpty(task.stats, v).withPrior(&class, t.cfg.PriorWeight)
}

// known reports whether the manifest lists a version; words on others are late
// and would only fill the tables.
func (t *Table[T, C, V]) listed(v V) bool {
	_, ok := t.prior[v]
	return ok
}

// Ended takes in the length of a whole answer.
func (t *Table[T, C, V]) ObserveLength(k Task[T, C], v V, tokens int) {
	if !t.listed(v) || tokens < 0 {
		return
	}
	for _, rows := range t.levels(k) {
		statsFor(rows, v).addLength(float64(tokens), t.cfg.Memory)
	}
}

// levels are the rows that an observation for a task goes to.
func (t *Table[T, C, V]) levels(k Task[T, C]) [3]map[V]*versionStats {
	return [3]map[V]*versionStats{t.task(k).stats, t.class(k.Class), t.overall}
}

// Rated takes in a rating, or that none came within the budget. It reports
// whether the rating was used: one out of 0..1, or from a rating service that is
// stuck on one value, is not.
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
	for _, rows := range t.levels(k) {
		statsFor(rows, v).addRating(score, t.cfg.Memory, now)
	}
	task.newRatings++
	return true
}

// RatedSecond takes in the rating of an answer that replaced one of first.
func (t *Table[T, C, V]) ObserveEscalatedRating(k Task[T, C], first, second V, score float64) {
	if math.IsNaN(score) || score < 0 || score > 1 || !t.listed(first) {
		return
	}
	task := t.task(k)
	f := task.escalations[first]
	if f == nil || f.second != second {
		f = &escalationStats[V]{second: second}
		task.escalations[first] = f
	}
	f.n = min(f.n+1, t.cfg.Memory)
	f.mean += (score - f.mean) / f.n
}

// Quality is the estimate for a task and a version with its standard error.
func (t *Table[T, C, V]) Quality(k Task[T, C], v V, now time.Time) (mean, stderr float64) {
	r := t.estimate(k, t.task(k), v)
	return r.mean(), r.stderr(now, t.cfg.StaleHalfLife)
}

// RaterDown reports whether ratings come too late or make no sense.
func (t *Table[T, C, V]) RaterDown() bool { return t.rater.lateShare > t.cfg.MaxLateShare }
