package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A server's score is a cumulative sum (CUSUM): each failed attempt adds the logarithm of how much likelier it is at a
// server that fails half of its attempts than at the service's other servers, each response subtracts the like, and
// the score is at least 0, so that a server's good past does not hide that it fails now.
const (
	// failingRatio is the ratio of failed attempts of the servers that are to be found.
	failingRatio = 0.5
	// minUsualRatio is the least ratio of failed attempts that sound servers are taken to have: fewer may be chance.
	minUsualRatio = 0.05
	// maxUsualRatio is the ratio of failed attempts of the service's better half from which on none of its servers is
	// ejected: then the requests, the network or all servers are at fault.
	maxUsualRatio = 0.3
	// ejectionScore ejects a server: four failures in a row, or five in some seconds.
	ejectionScore = 8.5
	// minRisenScore is the score from which on a server is about to become a suspect: less than one failure.
	minRisenScore = 1.0
	// maxScore bounds the score, so that it falls soon once others fail as well.
	maxScore = 2 * ejectionScore
	// scoreMemory is the time constant with which a score falls by itself.
	scoreMemory = 10 * time.Second
	// minFailingInstances is the least number of instances that must have seen failures: what one of them sees alone
	// may be its own network's fault.
	minFailingInstances = 2
	// maxEjectedFraction bounds the servers of a service that are ejected or on trial at a time.
	maxEjectedFraction = 0.4
	// rounding is the part of a count that reports may round away.
	rounding = 0.02
)

// Judge ejects servers by all evidence and takes back those that have recovered. services are the listed servers of
// each service, instances is the number of instances. It is to be called after each Apply.
func (t *Table) Judge(now time.Time, services [][]Server, instances int) []Change {
	elapsed := t.observeCall(now)
	t.instances = instances
	var out []Change
	for _, servers := range services {
		out = append(out, t.judgeService(now, elapsed, servers)...)
	}
	return out
}

// observeCall returns the time since the last call of Judge, and learns the usual one.
func (t *Table) observeCall(now time.Time) time.Duration {
	const weight, longest = 0.2, 2 * time.Second
	elapsed := now.Sub(t.judgedAt)
	if t.judgedAt.IsZero() {
		elapsed = 0
	}
	t.interval += time.Duration(weight * float64(min(elapsed, longest)-t.interval))
	t.judgedAt = now
	return elapsed
}

// judgeService judges the servers of one service.
func (t *Table) judgeService(now time.Time, elapsed time.Duration, servers []Server) []Change {
	usual := t.usualRatio(now, servers)
	scores := make([]float64, len(servers))
	fresh := make(map[Server]counts, len(servers))
	for i, s := range servers {
		if e := t.entries[s]; e != nil {
			fresh[s] = e.takeFresh(now)
			e.addScore(now, fresh[s], usual, elapsed)
			if e.phase == inUse {
				scores[i] = e.score
			}
		}
	}
	common := median(scores)
	if usual >= maxUsualRatio || common >= ejectionScore/2 {
		return t.reinstateAll(now, servers)
	}
	var out []Change
	for _, s := range servers {
		if e := t.entries[s]; e != nil {
			if c, ok := t.advance(s, e, now, fresh[s]); ok {
				out = append(out, c)
			}
		}
	}
	out = append(out, t.reinstateExcess(now, servers)...)
	return append(out, t.ejectSuspects(now, servers, ejectionScore+2*common)...)
}

// mostEjected is how many of count servers may be ejected or on trial.
func mostEjected(count int) int { return int(maxEjectedFraction * float64(count)) }

// reinstateExcess takes back the ejected servers that are too many, those first whose ejection ends first.
//
// Load: a failure domain that is drained while servers elsewhere are ejected. Harm prevented: a service whose remaining
// servers are all ejected, so that each caller is refused.
func (t *Table) reinstateExcess(now time.Time, servers []Server) []Change {
	var left []Server
	for _, s := range servers {
		if t.Ejected(s) {
			left = append(left, s)
		}
	}
	slices.SortFunc(left, func(a, b Server) int {
		return cmp.Or(t.entries[a].until.Compare(t.entries[b].until), cmp.Compare(a, b))
	})
	var out []Change
	for _, s := range left[:max(len(left)-mostEjected(len(servers)), 0)] {
		out = append(out, t.entries[s].reinstate(s, now))
	}
	return out
}

// reinstateAll takes all ejected servers back, as most of the service's servers fail alike.
func (t *Table) reinstateAll(now time.Time, servers []Server) []Change {
	var out []Change
	for _, s := range servers {
		if e := t.entries[s]; e != nil && e.phase != inUse {
			out = append(out, e.reinstate(s, now))
		}
	}
	return out
}

// ejectSuspects ejects the servers whose score reaches the threshold or that enough other instances have ejected, those
// with the highest scores first.
func (t *Table) ejectSuspects(now time.Time, servers []Server, threshold float64) []Change {
	var suspects []Server
	left := 0
	for _, s := range servers {
		e := t.entries[s]
		switch {
		case e == nil:
		case e.phase != inUse:
			left++
		case e.score >= threshold && e.failingInstances(now) >= minFailingInstances && t.othersRespond(e, servers), t.adopts(e, now):
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(a, b Server) int {
		return cmp.Or(cmp.Compare(t.entries[b].score, t.entries[a].score), cmp.Compare(a, b))
	})
	room := max(mostEjected(len(servers))-left, 0)
	var out []Change
	for _, s := range suspects[:min(room, len(suspects))] {
		e, draw := t.entries[s], t.rng.Float64()
		if e.score >= threshold {
			out = append(out, e.eject(s, now, e.pooled(now), 0, draw))
		} else {
			out = append(out, e.eject(s, now, e.pooled(now), e.peersEjectUntil.Sub(now), draw))
		}
	}
	return out
}

// othersRespond reports whether most of the servers that were tried since the suspect's score rose have responded since.
//
// Load: requests that from one moment on break each connection. Harm prevented: servers that get the first of them are
// compared with what the others responded before.
func (t *Table) othersRespond(suspect *entry, servers []Server) bool {
	tried, responded := 0, 0
	for _, s := range servers {
		e := t.entries[s]
		if e == nil || e == suspect || e.phase != inUse || e.attemptedAt.Before(suspect.risenAt) {
			continue
		}
		tried++
		if !e.respondedAt.Before(suspect.risenAt) {
			responded++
		}
	}
	return responded > 0 && 2*responded >= tried
}

// advance moves on the ejection of a server.
func (t *Table) advance(s Server, e *entry, now time.Time, fresh counts) (Change, bool) {
	e.failedAt = later(e.failedAt, e.ownFailedAt)
	switch {
	case e.phase != inUse && t.prolongs(e, now):
		return e.eject(s, now, e.pooled(now), e.peersEjectUntil.Sub(now), t.rng.Float64()), true
	case e.phase == ejected && !now.Before(e.until):
		e.beginTrial()
	case e.phase == onTrial:
		return t.judgeTrial(s, e, now, fresh)
	}
	return Change{}, false
}

// takeFresh returns the evidence that is new since it was called last.
func (e *entry) takeFresh(now time.Time) counts {
	pooled, known := e.pooled(now), e.judged.asOf(now)
	e.judged = pooled
	fresh := counts{pooled.failed - known.failed, pooled.total - known.total, now}
	if fresh.failed < max(minWeight, rounding*known.failed) {
		fresh.failed = 0
	}
	if fresh.total < max(minWeight, rounding*known.total) {
		fresh.total = 0
	}
	return fresh
}

// addScore adds new evidence to the score.
func (e *entry) addScore(now time.Time, fresh counts, usual float64, elapsed time.Duration) {
	const responded = 0.25 // a response that is reported late, with less weight
	if fresh.failed > 0 || fresh.total > 0 {
		e.attemptedAt = now
	}
	if fresh.total-fresh.failed >= responded {
		e.respondedAt = now
	}
	before := e.score
	e.score *= math.Exp(-float64(elapsed) / float64(scoreMemory))
	gain := math.Log(failingRatio / min(usual, failingRatio))
	loss := math.Log((1 - min(usual, failingRatio)) / (1 - failingRatio))
	e.score += fresh.failed*gain - max(fresh.total-fresh.failed, 0)*loss
	e.score = min(max(e.score, 0), maxScore)
	if before < minRisenScore && e.score >= minRisenScore {
		e.risenAt = now
	}
}

// usualRatio is the ratio of failed attempts that the service's sound servers may have: twice that of its better half.
func (t *Table) usualRatio(now time.Time, servers []Server) float64 {
	var known []counts
	for _, s := range servers {
		if e := t.entries[s]; e != nil {
			if c := e.pooled(now); c.total >= 0.5 {
				known = append(known, c)
			}
		}
	}
	slices.SortFunc(known, func(a, b counts) int { return cmp.Compare(a.failed/a.total, b.failed/b.total) })
	failed, total := 0.0, 0.0
	for _, c := range known[:(len(known)+1)/2] {
		failed += c.failed
		total += c.total
	}
	if total == 0 {
		return minUsualRatio
	}
	return max(2*failed/total, minUsualRatio)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
