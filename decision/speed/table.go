package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Server identifies a process of a backend server, the same at all instances. A process that starts anew under the
// server's id is another Server.
type Server uint32

// Row is what some instances know of one server.
type Row struct {
	Server Server
	// Usual is how many times as long as at a server of unit speed work usually takes there, by what the server
	// states, and Samples by how many responses to these instances that is known.
	Usual   float64
	Samples int
	// Now is the newest statement of how many times as long work takes there at this moment, Age the time since
	// then. Now is 0 if there is none.
	Now float64
	Age time.Duration
	// Ratio is how many times as long as expected work took there lately, with the statements taken out, as a
	// geometric mean of RatioSamples responses. Ratio is 0 if there are none.
	Ratio        float64
	RatioSamples int
}

const (
	// statementMemory is how many statements the usual factor comes from. All instances together get two to four a
	// second from an engine, so that it follows a change within three seconds, and machines that are busy a seventh
	// of the time do not move it.
	statementMemory = 9
	// enoughStatements is how many statements are better than what the other instances take for usual.
	enoughStatements = 2
	// sameStatement is the difference in time up to which equal statements count as one: they are about the same
	// moment of a busy machine, or the same one in several reports, with an age that is known within the delay of a
	// message.
	sameStatement = 250 * time.Millisecond
	// minStatementGap is the same for statements that differ.
	minStatementGap = 20 * time.Millisecond
	// ownMemory is how long a statement to this instance is reported to others.
	ownMemory = 10 * time.Second
	// statementDecay is the time constant at which a statement gives way to the usual factor: half of the machines
	// that state that they are busy still are a quarter of a second later, and none after 0.6 s.
	statementDecay = 250 * time.Millisecond
	// StatementTTL is how long a statement makes a difference.
	StatementTTL = 600 * time.Millisecond
	// maxOwnRows bounds the rows that one instance reports: as many as it gets responses from servers in ownMemory.
	maxOwnRows = 96
)

// Table is what one instance knows of all servers. It is not safe for concurrent use. The zero Table is empty and
// ready to use.
type Table struct {
	entries map[Server]*entry
	// own are the entries with evidence of this instance itself.
	own map[Server]*entry
	// applied counts the calls of Apply, appliedAt is the time of the last one.
	applied   int
	appliedAt time.Time
}

// entry is what is known of one server.
type entry struct {
	statements statements
	// ownStatements counts the statements to this instance, the last one at ownAt.
	ownStatements int
	ownAt         time.Time
	measured      measurements
	// slow is true while measurements show that the server is slow without stating it.
	slow bool
	// peers is what the other instances know, as of the Apply numbered peersApplied.
	peers        Row
	peersApplied int
}

func (t *Table) entry(s Server) *entry {
	e := t.entries[s]
	if e == nil {
		if t.entries == nil {
			t.entries, t.own = map[Server]*entry{}, map[Server]*entry{}
		}
		e = &entry{}
		t.entries[s] = e
	}
	return e
}

// Stated records what a response states: how many times as long as usual work takes on the server's machine.
func (t *Table) Stated(now time.Time, s Server, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	e := t.entry(s)
	e.statements.add(now, slowdown)
	if now.Sub(e.ownAt) > ownMemory {
		e.ownStatements = 0
	}
	e.ownStatements = min(e.ownStatements+1, statementMemory)
	e.ownAt = now
	t.own[s] = e
}

// Measured records how many times as long as expected work took at the server, with its stated slowdown taken out.
func (t *Table) Measured(now time.Time, s Server, ratio float64) {
	if ratio <= 0 {
		return
	}
	e := t.entry(s)
	e.measured.add(now, ratio)
	t.own[s] = e
	t.judge(now, e)
}

// Apply replaces what the other instances know. A usual factor that is no longer reported still holds: it is the
// machine's.
func (t *Table) Apply(now time.Time, rows []Row) {
	t.applied++
	t.appliedAt = now
	for _, row := range rows {
		e := t.entry(row.Server)
		if row.Samples == 0 {
			row.Usual, row.Samples = e.peers.Usual, e.peers.Samples
		}
		e.peers, e.peersApplied = row, t.applied
		if row.Now > 0 {
			e.statements.add(now.Add(-row.Age), row.Now)
		}
	}
	for _, e := range t.entries {
		t.judge(now, e)
	}
}

// Report returns what this instance has learned itself. It is bounded: servers whose factor differs most from 1 go
// first, as 1 is what a server without a row is taken for.
func (t *Table) Report(now time.Time) []Row {
	var out []Row
	for s, e := range t.own {
		row := Row{Server: s}
		if now.Sub(e.ownAt) <= ownMemory {
			row.Usual, row.Samples = e.stated(), e.ownStatements
			row.Now, row.Age = e.statements.newest, now.Sub(e.statements.newestAt)
		}
		row.Ratio, row.RatioSamples = e.measured.mean(now)
		if row.Samples == 0 && row.RatioSamples == 0 {
			delete(t.own, s)
			continue
		}
		out = append(out, row)
	}
	return Bound(out, maxOwnRows)
}

// Bound returns at most count of the rows, those first whose factor differs most from 1, ordered by server.
func Bound(rows []Row, count int) []Row {
	if len(rows) > count {
		slices.SortFunc(rows, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.difference(), a.difference()), cmp.Compare(a.Server, b.Server))
		})
		rows = rows[:count]
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Server, b.Server) })
	return rows
}

// difference is how far the row is from that of a server of unit speed, on a logarithmic scale.
func (r Row) difference() float64 {
	diff := 0.0
	if r.Samples > 0 && r.Usual > 0 {
		diff = math.Abs(math.Log(r.Usual))
	}
	if r.Ratio > 0 {
		diff = max(diff, math.Abs(math.Log(r.Ratio)))
	}
	return diff
}

// Usual returns how many times as long as at a server of unit speed work usually takes at the server; 1 if unknown.
func (t *Table) Usual(now time.Time, s Server) float64 {
	e := t.entries[s]
	if e == nil {
		return 1
	}
	return e.stated() * t.excess(now, e)
}

// Stating returns what Usual returns by the server's statements alone.
func (t *Table) Stating(s Server) float64 {
	e := t.entries[s]
	if e == nil {
		return 1
	}
	return e.stated()
}

// Now returns how many times as long work takes at the server at this moment: the newest statement as long as it
// holds, and Usual otherwise.
func (t *Table) Now(now time.Time, s Server) float64 {
	e := t.entries[s]
	if e == nil {
		return 1
	}
	usual := e.stated()
	if st := &e.statements; st.newest > 0 {
		usual = Present(usual, st.newest, now.Sub(st.newestAt))
	}
	return usual * t.excess(now, e)
}

// Present returns how many times as long as usual work takes now at a server with a usual factor, by a statement of the
// given age.
func Present(usual, stated float64, age time.Duration) float64 {
	if age >= StatementTTL {
		return usual
	}
	return usual + (stated-usual)*math.Exp(-float64(max(age, 0))/float64(statementDecay))
}

// Newest returns the newest statement of a server and the time since then; 0 if there is none.
func (t *Table) Newest(now time.Time, s Server) (slowdown float64, age time.Duration) {
	e := t.entries[s]
	if e == nil || e.statements.newest == 0 {
		return 0, 0
	}
	return e.statements.newest, now.Sub(e.statements.newestAt)
}

// Retain forgets all servers for which keep returns false.
func (t *Table) Retain(keep func(Server) bool) {
	for s := range t.entries {
		if !keep(s) {
			delete(t.entries, s)
			delete(t.own, s)
		}
	}
}

// stated is the usual factor by the server's statements: what they come to, or while there are few, what the other
// instances know.
func (e *entry) stated() float64 {
	if e.statements.count < enoughStatements && e.peers.Samples > e.statements.count && e.peers.Usual > 0 {
		return e.peers.Usual
	}
	if e.statements.usual == 0 {
		return 1
	}
	return e.statements.usual
}

// Merge returns what two groups of instances know of the same server: the means of Usual and of Ratio by their
// samples, and the newest statement.
func (r Row) Merge(o Row) Row {
	if n := r.Samples + o.Samples; n > 0 {
		r.Usual = (r.Usual*float64(r.Samples) + o.Usual*float64(o.Samples)) / float64(n)
		r.Samples = n
	}
	if r.Now == 0 || o.Now > 0 && o.Age < r.Age {
		r.Now, r.Age = o.Now, o.Age
	}
	r.Ratio, r.RatioSamples = mergeRatios(r.Ratio, r.RatioSamples, o.Ratio, o.RatioSamples)
	return r
}

// mergeRatios returns the geometric mean of two groups of ratios.
func mergeRatios(a float64, an int, b float64, bn int) (mean float64, count int) {
	switch {
	case bn == 0 || b <= 0:
		return a, an
	case an == 0 || a <= 0:
		return b, bn
	}
	return math.Exp((float64(an)*math.Log(a) + float64(bn)*math.Log(b)) / float64(an+bn)), an + bn
}
