package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Outliers ejects backend servers that are slow or failing compared with their
// peers. It guards against one faulty server among many: choosing the less loaded
// of two random servers would keep sending to it, since requests that fail at
// once leave it looking idle. A group consists of comparable servers (the same
// versions, or the same plain service).
//
// Servers are compared by unit latency, the time per unit of work, so that long
// and short work is comparable: for a model the time from the first token to the
// end divided by the number of tokens, for a plain service the time of the whole
// call. The time to the first token is left out: it includes the wait in the
// server's own queue, and would eject busy servers instead of slow ones.
type Outliers[S, G cmp.Ordered] struct {
	cfg        OutlierConfig
	servers    map[S]*server[S, G]
	groups     map[G]*group[S, G]
	groupOrder []G
	sweptAt    time.Time
}

type group[S, G cmp.Ordered] struct {
	id      G
	members []*server[S, G]
	ejected int
	// successes is the mean over the members' attempts, 1 for a success and 0 for
	// a failure. Attempts at a server with suspicionEvidence against it are left
	// out.
	successes discountedMean
	// medianLogLatency is the median of the members' mean log unit latencies, the
	// natural logs of seconds; NaN while too few are known.
	medianLogLatency float64
	// scratch is reused by the sweeps.
	scratch []float64
}

type server[S, G cmp.Ordered] struct {
	id    S
	group *group[S, G]
	// logLatency is the mean of the natural logs of the unit latencies in seconds.
	logLatency    discountedMean
	errorDetector detector
	ejected       bool
	// ejectedUntil is when the first probe may be sent.
	ejectedUntil time.Time
	// ejections counts the ejections and their renewals, which double the backoff.
	ejections int
	// goodProbes counts the good probes since the last bad one.
	goodProbes int
	// probeAt is when the probe that has no result yet was sent; zero for none.
	probeAt time.Time
	// returnedAt is when the last ejection ended.
	returnedAt time.Time
}

// Member is one backend server and its group.
type Member[S, G cmp.Ordered] struct {
	Server S
	Group  G
}

// Ejection is the ejection of one server, or its return if Ejected is false.
type Ejection[S cmp.Ordered] struct {
	Server  S
	Ejected bool
	// Slow is true if the cause is the unit latency and not errors.
	Slow bool
	// Until is when the first probe may be sent.
	Until time.Time
}

// NewOutliers returns an empty table.
func NewOutliers[S, G cmp.Ordered](cfg OutlierConfig) *Outliers[S, G] {
	return &Outliers[S, G]{cfg: cfg, servers: make(map[S]*server[S, G])}
}

// Apply sets the list of servers. The observations of servers that stay in their
// group are kept; all others are dropped, so memory is bounded by the list.
func (t *Outliers[S, G]) Apply(list []Member[S, G]) {
	servers := make(map[S]*server[S, G], len(list))
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
		servers[m.Server] = s
		g.members = append(g.members, s)
		if s.ejected {
			g.ejected++
		}
	}
	t.servers, t.groups = servers, groups
	slices.Sort(t.groupOrder)
}

// ObserveAttempt records the end of an attempt: failed, or complete with its
// unit latency. A unit latency of 0 or less means that it is unknown. Leave out
// attempts that were cancelled and refusals by a leaving server. If the attempt
// ejects the server or brings it back, ok is true and e describes the change.
func (t *Outliers[S, G]) ObserveAttempt(id S, failed bool, unitLatency time.Duration, now time.Time) (e Ejection[S], ok bool) {
	s := t.servers[id]
	if s == nil {
		return e, false
	}
	if s.ejected {
		return t.observeProbe(s, failed, unitLatency, now)
	}
	x := 1.0
	if failed {
		x = 0
	}
	s.errorDetector.addBelow(x, t.minSuccessRate(s.group))
	if s.errorDetector.evidence() < suspicionEvidence {
		s.group.successes.add(x, errorMemory)
	}
	if !failed && unitLatency > 0 {
		s.logLatency.add(math.Log(unitLatency.Seconds()), t.cfg.LatencyMemory)
	}
	if s.errorDetector.evidence() >= threshold(t.cfg.FalseAlarmRate) {
		return t.eject(s, false, now)
	}
	return e, false
}

// errorMemory is the window of a group's error rate, in attempts.
const errorMemory = 1000

// minSuccessRate is the share of successful attempts below which a server counts
// as worse than its group. If a version fails on all servers, this limit is lower
// for all of them. The group's own success rate is used once it covers a
// discounted number of 20 attempts.
func (t *Outliers[S, G]) minSuccessRate(g *group[S, G]) float64 {
	rate := 1 - minReferenceErrorRate
	if g.successes.n >= 20 {
		rate = min(rate, g.successes.lowerBound(referenceZ))
	}
	return rate - t.cfg.ErrorMargin
}

// eject ejects a server unless MaxEjectedShare is reached. One server of a group
// of two or more may always be ejected: otherwise small pools would keep sending
// to a dead server.
func (t *Outliers[S, G]) eject(s *server[S, G], slow bool, now time.Time) (e Ejection[S], ok bool) {
	g := s.group
	maxEjected := int(t.cfg.MaxEjectedShare * float64(len(g.members)))
	if len(g.members) > 1 {
		maxEjected = max(maxEjected, 1)
	}
	if g.ejected >= maxEjected {
		return e, false
	}
	// If the server was not ejected for twice MaxBackoff, the backoff starts over.
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

// observeProbe records an attempt at an ejected server. Enough good ones in a row
// bring the server back; a bad one renews the ejection for twice as long. Attempts
// that end during the backoff are ignored. Those that started before the ejection
// and end after the backoff are not distinguished from probes: they are just as
// good evidence.
func (t *Outliers[S, G]) observeProbe(s *server[S, G], failed bool, unitLatency time.Duration, now time.Time) (e Ejection[S], ok bool) {
	if now.Before(s.ejectedUntil) {
		return e, false
	}
	s.probeAt = time.Time{}
	slow := unitLatency > 0 && t.isSlow(s.group, math.Log(unitLatency.Seconds()))
	if failed || slow {
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

// isSlow reports whether a log unit latency is an outlier in the group: more than
// SlowFactor times the median.
func (t *Outliers[S, G]) isSlow(g *group[S, G], logLatency float64) bool {
	// A comparison with NaN is false: without a median no server is slow.
	return logLatency-g.medianLogLatency > math.Log(t.cfg.SlowFactor)
}

// Sweep compares the unit latencies if SweepInterval has passed since the last
// comparison, and ejects slow servers, the slowest first, up to MaxEjectedShare.
// Call it each tick.
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

// minPeers is how many servers must have a unit latency before any can count as
// slow: with two, a slow server beside a normal one cannot be told from a normal one
// beside a fast one.
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

// Admit reports whether a server may take a request now: Allowed, Probe for a
// single request after the backoff, or Blocked. It changes nothing.
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

// RecordDispatch records that a request was dispatched to the server, so that no
// second probe is sent beside it.
func (t *Outliers[S, G]) RecordDispatch(id S, now time.Time) {
	if s := t.servers[id]; s != nil && s.ejected {
		s.probeAt = now
	}
}

// Ejected is the number of servers of the group that are ejected now.
func (t *Outliers[S, G]) Ejected(id G) int {
	if g := t.groups[id]; g != nil {
		return g.ejected
	}
	return 0
}
