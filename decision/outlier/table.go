package outlier

import (
	"math/rand/v2"
	"time"
)

// maxOwnRows bounds the rows that one instance reports: as many as it gets responses from servers in evidenceMemory.
const maxOwnRows = 96

// minWeight is the weight below which a count says nothing any more.
const minWeight = 0.05

// Change is a server that is ejected, or is used again.
type Change struct {
	Server  Server
	Ejected bool
	// Failed and Total are the pooled counts of its attempts that this was decided by, For is how long it is ejected.
	Failed, Total float64
	For           time.Duration
}

// Table is what one instance knows of all servers. It is not safe for concurrent use.
type Table struct {
	rng     *rand.Rand
	entries map[Server]*entry
	// instances is the number of instances.
	instances int
	// judgedAt is when Judge was called last, interval the usual time between two calls.
	judgedAt time.Time
	interval time.Duration
}

// entry is what is known of one server.
type entry struct {
	// own is what this instance has seen, peers what the others report.
	own, peers counts
	// ownFailedAt and failedAt are the times of the last failed attempts at this instance and at all of them.
	ownFailedAt, failedAt time.Time
	peerInstances         int
	// peersEjecting is how many other instances have ejected the server, peersEjectUntil until when.
	peersEjecting   int
	peersEjectUntil time.Time
	// judged is the pooled evidence that Judge has seen.
	judged counts
	score  float64
	// risenAt is when the score has last risen from 0, attemptedAt and respondedAt are when Judge has last seen an attempt
	// and one that did not fail.
	risenAt, attemptedAt, respondedAt time.Time
	ejection
}

// counts are a Row's counts as of a time.
type counts struct {
	failed, total float64
	at            time.Time
}

// asOf returns the counts as of a later time.
func (c counts) asOf(now time.Time) counts {
	keep := decay(now.Sub(c.at))
	return counts{c.failed * keep, c.total * keep, now}
}

// New returns an empty table. The seed, which is to differ between instances, says which of them tries an ejected server
// again first.
func New(seed uint64) *Table {
	const stream = 0x6f75746c // arbitrary
	return &Table{rng: rand.New(rand.NewPCG(seed, stream)), entries: map[Server]*entry{}}
}

func (t *Table) entry(s Server) *entry {
	e := t.entries[s]
	if e == nil {
		e = &entry{}
		t.entries[s] = e
	}
	return e
}

// Responded records that a response has begun.
func (t *Table) Responded(now time.Time, s Server) {
	e := t.entry(s)
	e.own = e.own.asOf(now)
	e.own.total++
}

// Failed records a failed attempt. Responded says whether it was recorded as a response.
func (t *Table) Failed(now time.Time, s Server, responded bool) {
	e := t.entry(s)
	e.own = e.own.asOf(now)
	e.own.failed++
	if !responded {
		e.own.total++
	}
	e.ownFailedAt = now
}

// Withdraw takes back a failed attempt whose cause may be the request. Responded is as in Failed: an attempt without a
// response says nothing then, rather than that the server is sound.
func (t *Table) Withdraw(now time.Time, s Server, responded bool) {
	if e := t.entries[s]; e != nil {
		e.own = e.own.asOf(now)
		e.own.failed = max(e.own.failed-1, 0)
		if !responded {
			e.own.total = max(e.own.total-1, e.own.failed)
		}
	}
}

// Report returns what this instance has seen itself, bounded to ejected servers and those with the most failures and attempts.
func (t *Table) Report(now time.Time) []Row {
	var out []Row
	for s, e := range t.entries {
		own := e.own.asOf(now)
		if own.total < minWeight && e.phase == inUse {
			continue
		}
		row := Row{Server: s, Failed: own.failed, Total: own.total}
		if own.failed >= minWeight {
			row.Instances, row.Age = 1, now.Sub(e.ownFailedAt)
		}
		switch e.phase {
		case ejected:
			row.Ejecting, row.Remaining = 1, e.until.Sub(now)
		case onTrial:
			row.Ejecting, row.Remaining = 1, t.trialStep()
		}
		out = append(out, row)
	}
	return Bound(out, maxOwnRows)
}

// Apply replaces what the other instances report. Servers without a row keep what was known of them, with less weight:
// a report that was lost takes nothing back.
func (t *Table) Apply(now time.Time, rows []Row) {
	for _, row := range rows {
		e := t.entry(row.Server)
		e.peers = counts{row.Failed, row.Total, now}
		e.peerInstances = row.Instances
		e.peersEjecting, e.peersEjectUntil = row.Ejecting, now.Add(row.Remaining)
		if row.Instances > 0 {
			e.failedAt = later(e.failedAt, now.Add(-row.Age))
		}
	}
}

// Retain forgets all servers for which keep returns false.
func (t *Table) Retain(keep func(Server) bool) {
	for s := range t.entries {
		if !keep(s) {
			delete(t.entries, s)
		}
	}
}

// pooled is the evidence of all instances.
func (e *entry) pooled(now time.Time) counts {
	own, peers := e.own.asOf(now), e.peers.asOf(now)
	return counts{own.failed + peers.failed, own.total + peers.total, now}
}

// failingInstances is the number of instances that have lately seen the server fail.
func (e *entry) failingInstances(now time.Time) int {
	count := 0
	if e.own.asOf(now).failed >= minWeight {
		count++
	}
	if e.peers.asOf(now).failed >= minWeight {
		count += e.peerInstances
	}
	return count
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
