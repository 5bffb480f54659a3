package speed

import (
	"math"
	"time"
)

const (
	// measuredMemory is how long a measured time counts: a server that is slow for six seconds must be found in
	// half of that, and be tried again soon after it has got less.
	measuredMemory = 3 * time.Second
	// measuredCount is how many of its own measured times of a server an instance keeps.
	measuredCount = 4
	// minMeasured is the least number of responses, over all instances, that show that a server is slow: measured
	// times vary by their prompts and their neighbours in the batch.
	minMeasured = 6
	// slowRatio is the mean ratio from which a server is slow without stating it, normalRatio the one from which
	// it no longer is.
	slowRatio   = 2.5
	normalRatio = 1.6
	// maxRatio bounds a single ratio, so that a few long prompts do not outweigh the other responses.
	maxRatio = 3.0
	// peersTTL is how long the other instances' measured times count without a new report.
	peersTTL = time.Second
)

// measurements are this instance's latest measured times of a server.
type measurements struct {
	logs        [measuredCount]float64
	at          [measuredCount]time.Time
	next, count int
}

func (m *measurements) add(now time.Time, ratio float64) {
	m.logs[m.next] = math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	m.at[m.next] = now
	m.next = (m.next + 1) % measuredCount
	m.count = min(m.count+1, measuredCount)
}

// mean returns the geometric mean of the ratios that still count, and their number.
func (m *measurements) mean(now time.Time) (ratio float64, count int) {
	sum := 0.0
	for i := range m.count {
		if now.Sub(m.at[i]) <= measuredMemory {
			sum += m.logs[i]
			count++
		}
	}
	if count == 0 {
		return 0, 0
	}
	return math.Exp(sum / float64(count)), count
}

// ratio is the mean ratio over all instances.
func (t *Table) ratio(now time.Time, e *entry) (mean float64, count int) {
	mean, count = e.measured.mean(now)
	if e.peersApplied == t.applied && now.Sub(t.appliedAt) <= peersTTL {
		return mergeRatios(mean, count, e.peers.Ratio, e.peers.RatioSamples)
	}
	return mean, count
}

// judge finds whether a server is slow without stating it. Hysteresis keeps a server that is found slow, and so gets
// fewer requests, from being taken for a normal one at once.
func (t *Table) judge(now time.Time, e *entry) {
	mean, count := t.ratio(now, e)
	if e.slow {
		e.slow = count > 0 && mean >= normalRatio
		return
	}
	e.slow = count >= minMeasured && mean >= slowRatio
}

// excess is how many times longer work takes at the server than it states; 1 unless it is found slow.
func (t *Table) excess(now time.Time, e *entry) float64 {
	if !e.slow {
		return 1
	}
	mean, _ := t.ratio(now, e)
	return min(max(mean, 1), maxRatio)
}

// Slow reports whether measured times show that the server is slow without stating it.
func (t *Table) Slow(s Server) bool {
	e := t.entries[s]
	return e != nil && e.slow
}
