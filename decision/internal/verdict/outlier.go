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
	cfg        OutlierConfig
	servers    map[S]*server[S, G]
	groups     map[G]*group[S, G]
	groupOrder []G
	sweptAt    time.Time
}

type group[S, G cmp.Ordered] struct {
	id        G
	members   []*server[S, G]
	ejected   int
	successes discountedMean
	// median is the members' median log pace; NaN while too few are known.
	medianLogLatency float64
	// scratch saves an allocation per sweep.
	scratch []float64
}

type server[S, G cmp.Ordered] struct {
	id            S
	group         *group[S, G]
	logLatency    discountedMean
	errorDetector detector
	ejected       bool
	ejectedUntil  time.Time
	ejections     int
	goodProbes    int
	probeAt       time.Time
	returnedAt    time.Time
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
	return &Outliers[S, G]{cfg: cfg, servers: make(map[S]*server[S, G])}
}

// Apply takes in the list of servers. What is known of those that stay in their
// group is kept; the rest is forgotten, so memory is bounded by the list.
func (t *Outliers[S, G]) Apply(list []Member[S, G]) {
	rows := make(map[S]*server[S, G], len(list))
	groups := make(map[G]*group[S, G])
	t.groupOrder = t.groupOrder[:0]
	for _, m := range list {
		g := groups[m.Group]
		if g == nil {
			g = &group[S, G]{id: m.Group, medianLogLatency: math.NaN()}
			if old := t.groups[m.Group]; old != nil {
				g.successes, g.medianLogLatency = old.successes, old.medianLogLatency
			}
			groups[m.Group] = g
			t.groupOrder = append(t.groupOrder, m.Group)
		}
		s := t.servers[m.Server]
		if s == nil || s.group.id != m.Group {
			s = &server[S, G]{id: m.Server, errorDetector: detector{fractions: errorBets, restart: true}}
		}
		s.group = g
		rows[m.Server] = s
		g.members = append(g.members, s)
		if s.ejected {
			g.ejected++
		}
	}
	t.servers, t.groups = rows, groups
	slices.Sort(t.groupOrder)
}

// Ended takes in an attempt's end: failed, or whole with its pace. A pace of 0
// or less says nothing of the speed. Leave out attempts that were cancelled and
// refusals by a leaving server. The change is zero unless it ejects or brings
// back; ok says which.
func (t *Outliers[S, G]) ObserveAttempt(id S, failed bool, latency time.Duration, now time.Time) (e Ejection[S], ok bool) {
	s := t.servers[id]
	if s == nil {
		return e, false
	}
	if s.ejected {
		return t.observeProbe(s, failed, latency, now)
	}
	x := 1.0
	if failed {
		x = 0
	}
	s.errorDetector.addBelow(x, t.minSuccessRate(s.group))
	if s.errorDetector.evidence() < suspicionEvidence {
		s.group.successes.add(x, errorMemory)
	}
	if !failed && latency > 0 {
		s.logLatency.add(math.Log(latency.Seconds()), t.cfg.LatencyMemory)
	}
	if s.errorDetector.evidence() >= threshold(t.cfg.FalseAlarmRate) {
		return t.eject(s, false, now)
	}
	return e, false
}

// errorMemory is how many attempts the group's error rate looks back on.
const errorMemory = 1000

// errorLine is the share of good ends below which a server is worse than its
// group; a version that fails everywhere lowers the line for all.
func (t *Outliers[S, G]) minSuccessRate(g *group[S, G]) float64 {
	ok := 1 - minReferenceErrorRate
	if g.successes.n >= 20 {
		ok = min(ok, g.successes.lowerBound(referenceZ))
	}
	return ok - t.cfg.ErrorMargin
}

// eject takes a server out unless the cap forbids it. A group of two or more
// may always lose one, else small pools would have to live with a dead server.
func (t *Outliers[S, G]) eject(s *server[S, G], slow bool, now time.Time) (e Ejection[S], ok bool) {
	g := s.group
	most := int(t.cfg.MaxEjectedShare * float64(len(g.members)))
	if len(g.members) > 1 {
		most = max(most, 1)
	}
	if g.ejected >= most {
		return e, false
	}
	// A server that was well for long is not held to its old ejections.
	if now.Sub(s.returnedAt) > 2*t.cfg.MaxBackoff {
		s.ejections = 0
	}
	backoff := t.cfg.MinBackoff << min(s.ejections, 16)
	backoff = min(backoff, t.cfg.MaxBackoff)
	s.ejected = true
	s.ejections++
	s.ejectedUntil = now.Add(backoff)
	s.goodProbes = 0
	s.probeAt = time.Time{}
	g.ejected++
	return Ejection[S]{Server: s.id, Ejected: true, Slow: slow, Until: s.ejectedUntil}, true
}

// trialEnded counts good trials; a bad one ejects anew for twice as long. Ends
// of attempts from before the ejection count too, for want of a difference:
// they are as good a witness, and the backoff has not begun to be probed.
func (t *Outliers[S, G]) observeProbe(s *server[S, G], failed bool, latency time.Duration, now time.Time) (e Ejection[S], ok bool) {
	if now.Before(s.ejectedUntil) {
		return e, false
	}
	s.probeAt = time.Time{}
	isSlow := latency > 0 && t.isSlow(s.group, math.Log(latency.Seconds()))
	if failed || isSlow {
		backoff := min(t.cfg.MinBackoff<<min(s.ejections, 16), t.cfg.MaxBackoff)
		s.ejections++
		s.goodProbes = 0
		s.ejectedUntil = now.Add(backoff)
		return e, false
	}
	s.goodProbes++
	if s.goodProbes < t.cfg.ProbesToReturn {
		return e, false
	}
	s.ejected = false
	s.returnedAt = now
	s.group.ejected--
	s.logLatency = discountedMean{}
	s.errorDetector.reset()
	return Ejection[S]{Server: s.id}, true
}

// slow reports whether a log pace is an outlier in the group.
func (t *Outliers[S, G]) isSlow(g *group[S, G], logLatency float64) bool {
	// A comparison with NaN is false: without a median nobody is slow.
	return logLatency-g.medianLogLatency > math.Log(t.cfg.SlowFactor)
}

// Sweep compares the paces when SweepEvery has passed, and ejects the slow, the
// slowest first as far as the cap goes. Call it each tick.
func (t *Outliers[S, G]) Sweep(now time.Time) []Ejection[S] {
	if now.Sub(t.sweptAt) < t.cfg.SweepInterval {
		return nil
	}
	t.sweptAt = now
	var out []Ejection[S]
	for _, id := range t.groupOrder {
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
		if !s.ejected && s.logLatency.n >= t.cfg.MinLatencySamples/2 {
			g.scratch = append(g.scratch, s.logLatency.mean)
		}
	}
	if len(g.scratch) < minPeers {
		return out
	}
	slices.Sort(g.scratch)
	g.medianLogLatency = g.scratch[(len(g.scratch)-1)/2]
	var slow []*server[S, G]
	for _, s := range g.members {
		if !s.ejected && s.logLatency.n >= t.cfg.MinLatencySamples && t.isSlow(g, s.logLatency.mean) {
			slow = append(slow, s)
		}
	}
	slices.SortStableFunc(slow, func(a, b *server[S, G]) int {
		return cmp.Compare(b.logLatency.mean, a.logLatency.mean)
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
	s := t.servers[id]
	if s == nil || !s.ejected {
		return Allowed
	}
	if now.Before(s.ejectedUntil) || now.Sub(s.probeAt) < t.cfg.ProbeTimeout {
		return Blocked
	}
	return Probe
}

// Dispatched marks that a request went to the server, so that a trial is the
// only one for now.
func (t *Outliers[S, G]) RecordDispatch(id S, now time.Time) {
	if s := t.servers[id]; s != nil && s.ejected {
		s.probeAt = now
	}
}

// Ejected is the number of servers ejected in the group.
func (t *Outliers[S, G]) Ejected(id G) int {
	if g := t.groups[id]; g != nil {
		return g.ejected
	}
	return 0
}
