package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

type (
	table = Table[string, string, string]
	query = Query[string, string, string]
	key   = Task[string, string]
)

var draftTask = key{"weavers", "draft"}

const (
	small = "small@1"
	large = "large@1"
)

var bothOptions = []Option[string]{{small, 1}, {large, 10}}

// trueQuality is the mean quality of a version's answers to easy and to hard
// requests.
type trueQuality struct{ easy, hard float64 }

// simulation serves requests by the plans of a table and records quality and
// cost.
type simulation struct {
	t         *table
	rng       *rand.Rand
	qualities map[string]trueQuality
	hardShare float64
	now       time.Time
	served    int
	quality   float64
	cost      float64
	calls     map[string]int
	rater     func(score float64) (rated float64, late bool)
	onPlan    func(p Plan[string])
}

func newSimulation(seed uint64, prior map[string]float64) *simulation {
	t := New[string, string, string](DefaultConfig())
	t.Apply(prior)
	return &simulation{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		hardShare: 0.3,
		now:       startTime,
		calls:     make(map[string]int),
		rater:     func(score float64) (float64, bool) { return score, false },
	}
}

var usualPrior = map[string]float64{small: 0.7, large: 0.88}

// answer runs one attempt, reports it to the table, and returns the true quality
// of its answer and its rating.
func (sim *simulation) answer(v string, hard bool) (score, rated float64, late bool) {
	q := sim.qualities[v]
	score = q.easy
	if hard {
		score = q.hard
	}
	score = min(max(score+0.06*sim.rng.NormFloat64(), 0), 1)
	rated, late = sim.rater(score)
	sim.calls[v]++
	cost := map[string]float64{small: 1, large: 10}[v]
	sim.cost += cost * 256 / 1000
	sim.t.ObserveLength(draftTask, v, 256)
	sim.t.ObserveRating(draftTask, v, rated, late, sim.now)
	return score, rated, late
}

// serve resets the records and runs n requests by the table's plans.
func (sim *simulation) serve(n int, target float64, mayHold bool) {
	sim.served, sim.quality, sim.cost = 0, 0, 0
	sim.calls = make(map[string]int)
	for range n {
		sim.now = sim.now.Add(100 * time.Millisecond)
		hard := sim.rng.Float64() < sim.hardShare
		p := sim.t.Plan(query{Task: draftTask, Target: target, Options: bothOptions,
			MayHold: mayHold, Draw: sim.rng.Float64(), Now: sim.now})
		score, rated, late := sim.answer(p.First, hard)
		if !late && p.Escalate(rated, time.Minute, time.Second) {
			score, rated, late = sim.answer(p.Second, hard)
			if !late {
				sim.t.ObserveEscalatedRating(draftTask, p.First, p.Second, rated)
			}
		}
		sim.served++
		sim.quality += score
		if sim.onPlan != nil {
			sim.onPlan(p)
		}
	}
}

// Guards against plans that miss the quality target, or that pay for the
// expensive version although the cheap one or a cascade of both meets it.
func TestPlansMeetTheTargetAtLowCost(t *testing.T) {
	usual := map[string]trueQuality{small: {0.85, 0.45}, large: {0.92, 0.85}}
	equal := map[string]trueQuality{small: {0.9, 0.9}, large: {0.92, 0.85}}
	poor := map[string]trueQuality{small: {0.3, 0.2}, large: {0.92, 0.85}}
	cases := []struct {
		name      string
		qualities map[string]trueQuality
		target    float64
		mayHold   bool
		// maxCost is the highest mean cost, as a share of that of always using
		// large.
		maxCost float64
	}{
		{"cheap alone meets a low target", usual, 0.70, true, 0.3},
		{"cascade", usual, 0.82, true, 0.55},
		{"high target", usual, 0.86, true, 0.75},
		{"cheap as good as expensive, unlike the manifest", equal, 0.86, true, 0.2},
		{"cheap step does not pay for itself", poor, 0.86, true, 1.05},
		{"no hold", usual, 0.82, false, 1.05},
		{"unreachable target", usual, 0.99, true, 1.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				sim := newSimulation(seed, usualPrior)
				sim.qualities = c.qualities
				sim.serve(1000, c.target, c.mayHold)
				sim.serve(2000, c.target, c.mayHold)
				// An answer of large costs 2.56: 256 tokens at 10 per 1000. The mean
				// quality of large is about 0.9, so for a higher target the bound is 0.89.
				quality, cost := sim.quality/2000, sim.cost/2000/2.56
				want := min(c.target, 0.89) - 0.01
				if quality < want || cost > c.maxCost {
					t.Errorf("seed %d: quality %.3f, want at least the target or 0.89, whichever is lower, less 0.01; cost %.2f of that of always using large, want at most the case's maxCost", seed, quality, cost)
				}
			}
		})
	}
}

// Guards against a faulty rating service: its ratings must not change the
// estimates, no answer may be held for it, and it must be used again after it
// has recovered.
func TestRatingServiceFaults(t *testing.T) {
	never := func(float64) (float64, bool) { return 0, true }
	nonsense := func(float64) (float64, bool) { return math.NaN(), false }
	outOfRange := func(float64) (float64, bool) { return 85, false }
	stuck := func(float64) (float64, bool) { return 0, false }
	cases := []struct {
		name  string
		fault func(float64) (float64, bool)
	}{{"late", never}, {"not a number", nonsense}, {"out of range", outOfRange}, {"stuck at 0", stuck}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, usualPrior)
			sim.qualities = map[string]trueQuality{small: {0.85, 0.45}, large: {0.92, 0.85}}
			sim.serve(2000, 0.82, true)
			before, stderrBefore := sim.t.Quality(draftTask, large, sim.now)
			healthy := sim.rater
			sim.rater = c.fault
			sim.serve(60, 0.82, true)
			if !sim.t.RaterDown() {
				t.Fatal("the fault was not detected within 60 requests")
			}
			sim.onPlan = func(p Plan[string]) {
				if p.Cascade {
					t.Fatal("an answer is held while the rating service is down")
				}
			}
			sim.serve(2000, 0.82, true)
			sim.onPlan = nil
			after, stderrAfter := sim.t.Quality(draftTask, large, sim.now.Add(time.Hour))
			if math.Abs(before-after) > 0.05 || stderrAfter < 1.5*stderrBefore {
				t.Errorf("estimate of large went from %.3f±%.4f to %.3f±%.4f an hour after the fault, want a mean within 0.05 and at least 1.5 times the standard error",
					before, stderrBefore, after, stderrAfter)
			}
			if q := sim.quality / 2000; q < 0.81 {
				t.Errorf("quality %.3f while the rating service is down, want at least 0.81", q)
			}
			sim.rater = healthy
			sim.serve(60, 0.82, true)
			if sim.t.RaterDown() {
				t.Error("the rating service still counts as down 60 requests after its recovery")
			}
		})
	}
}

// Guards against escalations of answers that meet the rating threshold, of plans
// that are no cascade, and without time for the second step.
func TestEscalateNeedsTime(t *testing.T) {
	p := Plan[string]{First: small, Cascade: true, Second: large, Threshold: 0.6}
	single := Plan[string]{First: small}
	cases := []struct {
		plan  Plan[string]
		score float64
		left  time.Duration
		want  bool
	}{
		{p, 0.5, time.Minute, true},
		{p, 0.6, time.Minute, false},
		{p, 0.5, time.Second, false},
		{p, 0.5, -time.Second, false},
		{single, 0, time.Minute, false},
	}
	for _, c := range cases {
		if got := c.plan.Escalate(c.score, c.left, 2*time.Second); got != c.want {
			t.Errorf("%+v, rating %v, %v left: escalate is %v, want the opposite", c.plan, c.score, c.left, got)
		}
	}
}

// Guards against an estimate for a new class that starts from the manifest's
// quality although the version has ratings from other classes.
func TestNewClassStartsFromOtherClasses(t *testing.T) {
	sim := newSimulation(1, map[string]float64{small: 0.2, large: 0.88})
	for range 500 {
		sim.t.ObserveRating(draftTask, small, 0.9, false, startTime)
		sim.t.ObserveRating(draftTask, small, 0.85, false, startTime)
	}
	if q, _ := sim.t.Quality(key{"shops", "lookup"}, small, startTime); q < 0.8 {
		t.Errorf("quality of the new class is %.2f, want at least 0.8", q)
	}
}

// Guards, for random inputs, against plans with versions that are no option,
// cascades although holding is not allowed, invalid estimates, and plans that
// differ for equal inputs.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New[string, string, string](DefaultConfig()), New[string, string, string](DefaultConfig())
		prior := map[string]float64{}
		var options []Option[string]
		for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
			id := fmt.Sprintf("m%d@1", i)
			prior[id] = rapid.Float64Range(-0.5, 1.5).Draw(t, "quality")
			options = append(options, Option[string]{id, rapid.Float64Range(0, 20).Draw(t, "cost")})
		}
		a.Apply(prior)
		b.Apply(prior)
		now := startTime
		for _, s := range rapid.SliceOfN(rapid.Uint32(), 1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(s>>22) * time.Millisecond)
			o := options[int(s%16)%len(options)]
			score := float64(s>>8%1024)/1000 - 0.01
			q := query{Task: key{"t", fmt.Sprint(s >> 4 % 3)}, Target: float64(s>>12%100) / 100,
				Options: options[:1+int(s>>6)%len(options)], MayHold: s&32 != 0,
				Draw: float64(s) / math.MaxUint32, Now: now}
			for _, x := range []*table{a, b} {
				x.ObserveLength(q.Task, o.Version, int(s%2000))
				x.ObserveRating(q.Task, o.Version, score, s&1024 == 0, now)
				x.ObserveEscalatedRating(q.Task, options[0].Version, o.Version, score)
			}
			p, other := a.Plan(q), b.Plan(q)
			if p != other {
				t.Fatalf("equal inputs give the plans %+v and %+v", p, other)
			}
			checkPlan(t, p, q)
		}
	})
}

func checkPlan(t *rapid.T, p Plan[string], q query) {
	t.Helper()
	offered := map[string]bool{}
	for _, o := range q.Options {
		offered[o.Version] = true
	}
	if !offered[p.First] || p.Cascade && (!offered[p.Second] || p.First == p.Second) {
		t.Fatalf("plan %+v uses a version twice or one that is not among the options %v", p, q.Options)
	}
	if p.Cascade && !q.MayHold {
		t.Fatalf("plan %+v where holding is not allowed", p)
	}
	if math.IsNaN(p.Quality) || math.IsNaN(p.Cost) || p.Cost < 0 {
		t.Fatalf("invalid estimates in plan %+v", p)
	}
}

// Guards against tables that grow without bound: with the classes that callers
// choose, or with versions that the manifest does not list.
func TestTasksAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxTasks = 10
	x := New[string, string, string](cfg)
	x.Apply(usualPrior)
	for i := range 1000 {
		x.ObserveRating(key{"t", fmt.Sprint(i)}, small, 0.5, false, startTime)
		x.ObserveRating(draftTask, "gone@1", 0.5, false, startTime)
	}
	x.Apply(map[string]float64{small: 0.7})
	if x.tasks.Len() > 10 || len(x.overall) > 1 {
		t.Errorf("%d tasks and %d versions kept, want at most 10 and 1", x.tasks.Len(), len(x.overall))
	}
}

func BenchmarkPlan(b *testing.B) {
	x := New[string, string, string](DefaultConfig())
	x.Apply(usualPrior)
	q := query{Task: draftTask, Target: 0.8, Options: bothOptions, MayHold: true, Draw: 0.9, Now: startTime}
	b.ReportAllocs()
	for i := range b.N {
		x.ObserveRating(draftTask, small, float64(i%10)/10, false, startTime)
		x.Plan(q)
	}
}

func ExampleTable() {
	t := New[string, string, string](DefaultConfig())
	t.Apply(map[string]float64{small: 0.7, large: 0.9})
	for i := range 300 {
		score := 0.9
		if i%4 == 0 {
			score = 0.3
		}
		t.ObserveLength(draftTask, small, 100)
		t.ObserveRating(draftTask, small, score, false, startTime)
		t.ObserveRating(draftTask, large, 0.93-0.01*float64(i%3), false, startTime)
	}
	p := t.Plan(query{Task: draftTask, Target: 0.85, Options: bothOptions, MayHold: true, Draw: 0.99, Now: startTime})
	fmt.Println(p.First, p.Cascade, p.Second)
	fmt.Println(p.Escalate(0.3, time.Minute, 5*time.Second), p.Escalate(0.9, time.Minute, 5*time.Second))
	// Output:
	// small@1 true large@1
	// true false
}
