package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Outliers ejects backend servers that are slow or failing beside their peers.
// It is made for the one sick server among many: two choices alone keep sending
// to it, since requests that fail at once leave it looking idle. A group is the
// servers that are alike (the same versions, or the same plain service).
//
// Pace is time per unit of work, so that long and short work compare: for a
// model the time from the first token to the end by tokens, for a plain service
// the whole time. The time to the first token holds the wait in the server's
// own queue and would eject the busy and not the slow.
type Outliers[S, G cmp.Ordered] struct {
	cfg    OutlierConfig
	rows   map[S]*server[S, G]
	groups map[G]*group[S, G]
	order  []G
	swept  time.Time
}

type group[S, G cmp.Ordered] struct {
	id      G
	members []*server[S, G]
	ejected int
	errors  mean
	// median is the members' median log pace; NaN while too few are known.
	median float64
	// scratch saves an allocation per sweep.
	scratch []float64
}

type server[S, G cmp.Ordered] struct {
	id       S
	group    *group[S, G]
	logPace  mean
	faults   detector
	ejected  bool
	until    time.Time
	times    int
	trials   int
	trialAt  time.Time
	returned time.Time
}

// Member is one backend server and its group.
type Member[S, G cmp.Ordered] struct {
	Server S
	Group  G
}

// Ejection is a change to one server.
type Ejection[S cmp.Ordered] struct {
	Server  S
	Ejected bool
	// Slow tells pace from errors as the cause.
	Slow bool
	// Until is when the first trial may go.
	Until time.Time
}

// NewOutliers returns an empty table.
func NewOutliers[S, G cmp.Ordered](cfg OutlierConfig) *Outliers[S, G] {
	return &Outliers[S, G]{cfg: cfg, rows: make(map[S]*server[S, G])}
}

// Apply takes in the list of servers. What is known of those that stay in their
// group is kept; the rest is forgotten, so memory is bounded by the list.
func (t *Outliers[S, G]) Apply(list []Member[S, G]) {
	rows := make(map[S]*server[S, G], len(list))
	groups := make(map[G]*group[S, G])
	t.order = t.order[:0]
	for _, m := range list {
		g := groups[m.Group]
		if g == nil {
			g = &group[S, G]{id: m.Group, median: math.NaN()}
			if old := t.groups[m.Group]; old != nil {
				g.errors, g.median = old.errors, old.median
			}
			groups[m.Group] = g
			t.order = append(t.order, m.Group)
		}
		s := t.rows[m.Server]
		if s == nil || s.group.id != m.Group {
			s = &server[S, G]{id: m.Server, faults: detector{stakes: errorStakes, restart: true}}
		}
		s.group = g
		rows[m.Server] = s
		g.members = append(g.members, s)
		if s.ejected {
			g.ejected++
		}
	}
	t.rows, t.groups = rows, groups
	slices.Sort(t.order)
}

// Ended takes in an attempt's end: failed, or whole with its pace. A pace of 0
// or less says nothing of the speed. Leave out attempts that were cancelled and
// refusals by a leaving server. The change is zero unless it ejects or brings
// back; ok says which.
func (t *Outliers[S, G]) Ended(id S, failed bool, pace time.Duration, now time.Time) (e Ejection[S], ok bool) {
	s := t.rows[id]
	if s == nil {
		return e, false
	}
	if s.ejected {
		return t.trialEnded(s, failed, pace, now)
	}
	x := 1.0
	if failed {
		x = 0
	}
	s.faults.addBelow(x, t.errorLine(s.group))
	if s.faults.evidence() < suspicion {
		s.group.errors.add(x, errorMemory)
	}
	if !failed && pace > 0 {
		s.logPace.add(math.Log(pace.Seconds()), t.cfg.PaceMemory)
	}
	if s.faults.evidence() >= threshold(t.cfg.FalseAlarm) {
		return t.eject(s, false, now)
	}
	return e, false
}

// errorMemory is how many attempts the group's error rate looks back on.
const errorMemory = 1000

// errorLine is the share of good ends below which a server is worse than its
// group; a version that fails everywhere lowers the line for all.
func (t *Outliers[S, G]) errorLine(g *group[S, G]) float64 {
	ok := 1 - referenceErrors
	if g.errors.n >= 20 {
		ok = min(ok, g.errors.lower(referenceZ))
	}
	return ok - t.cfg.WorseErrors
}

// eject takes a server out unless the cap forbids it. A group of two or more
// may always lose one, else small pools would have to live with a dead server.
func (t *Outliers[S, G]) eject(s *server[S, G], slow bool, now time.Time) (e Ejection[S], ok bool) {
	g := s.group
	most := int(t.cfg.MaxShare * float64(len(g.members)))
	if len(g.members) > 1 {
		most = max(most, 1)
	}
	if g.ejected >= most {
		return e, false
	}
	// A server that was well for long is not held to its old ejections.
	if now.Sub(s.returned) > 2*t.cfg.MaxBackoff {
		s.times = 0
	}
	backoff := t.cfg.Backoff << min(s.times, 16)
	backoff = min(backoff, t.cfg.MaxBackoff)
	s.ejected = true
	s.times++
	s.until = now.Add(backoff)
	s.trials = 0
	s.trialAt = time.Time{}
	g.ejected++
	return Ejection[S]{Server: s.id, Ejected: true, Slow: slow, Until: s.until}, true
}

// trialEnded counts good trials; a bad one ejects anew for twice as long. Ends
// of attempts from before the ejection count too, for want of a difference:
// they are as good a witness, and the backoff has not begun to be probed.
func (t *Outliers[S, G]) trialEnded(s *server[S, G], failed bool, pace time.Duration, now time.Time) (e Ejection[S], ok bool) {
	if now.Before(s.until) {
		return e, false
	}
	s.trialAt = time.Time{}
	slow := pace > 0 && t.slow(s.group, math.Log(pace.Seconds()))
	if failed || slow {
		backoff := min(t.cfg.Backoff<<min(s.times, 16), t.cfg.MaxBackoff)
		s.times++
		s.trials = 0
		s.until = now.Add(backoff)
		return e, false
	}
	s.trials++
	if s.trials < t.cfg.Trials {
		return e, false
	}
	s.ejected = false
	s.returned = now
	s.group.ejected--
	s.logPace = mean{}
	s.faults.reset()
	return Ejection[S]{Server: s.id}, true
}

// slow reports whether a log pace is an outlier in the group.
func (t *Outliers[S, G]) slow(g *group[S, G], logPace float64) bool {
	// A comparison with NaN is false: without a median nobody is slow.
	return logPace-g.median > math.Log(t.cfg.SlowFactor)
}

// Sweep compares the paces when SweepEvery has passed, and ejects the slow, the
// slowest first as far as the cap goes. Call it each tick.
func (t *Outliers[S, G]) Sweep(now time.Time) []Ejection[S] {
	if now.Sub(t.swept) < t.cfg.SweepEvery {
		return nil
	}
	t.swept = now
	var out []Ejection[S]
	for _, id := range t.order {
		out = t.sweepGroup(t.groups[id], now, out)
	}
	return out
}

// minPeers is how many servers must have a pace before any is called slow: with
// two, nobody can tell the slow from the fast one.
const minPeers = 3

func (t *Outliers[S, G]) sweepGroup(g *group[S, G], now time.Time, out []Ejection[S]) []Ejection[S] {
	g.scratch = g.scratch[:0]
	for _, s := range g.members {
		if !s.ejected && s.logPace.n >= t.cfg.SlowSample/2 {
			g.scratch = append(g.scratch, s.logPace.mu)
		}
	}
	if len(g.scratch) < minPeers {
		return out
	}
	slices.Sort(g.scratch)
	g.median = g.scratch[(len(g.scratch)-1)/2]
	var slow []*server[S, G]
	for _, s := range g.members {
		if !s.ejected && s.logPace.n >= t.cfg.SlowSample && t.slow(g, s.logPace.mu) {
			slow = append(slow, s)
		}
	}
	slices.SortStableFunc(slow, func(a, b *server[S, G]) int {
		return cmp.Compare(b.logPace.mu, a.logPace.mu)
	})
	for _, s := range slow {
		if e, ok := t.eject(s, true, now); ok {
			out = append(out, e)
		}
	}
	return out
}

// Admit says whether a server may take a request now: Open, Probe for one trial
// after the backoff, or Barred. It changes nothing.
func (t *Outliers[S, G]) Admit(id S, now time.Time) Admission {
	s := t.rows[id]
	if s == nil || !s.ejected {
		return Open
	}
	if now.Before(s.until) || now.Sub(s.trialAt) < t.cfg.TrialTimeout {
		return Barred
	}
	return Probe
}

// Dispatched marks that a request went to the server, so that a trial is the
// only one for now.
func (t *Outliers[S, G]) Dispatched(id S, now time.Time) {
	if s := t.rows[id]; s != nil && s.ejected {
		s.trialAt = now
	}
}

// Ejected is the number of servers ejected in the group.
func (t *Outliers[S, G]) Ejected(id G) int {
	if g := t.groups[id]; g != nil {
		return g.ejected
	}
	return 0
}
