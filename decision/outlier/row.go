package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Server identifies a process of a backend server, the same at all instances. A process that starts anew under the
// server's id is another Server.
type Server uint32

// Row is what some instances have lately seen of one server. Rows of different instances add up. A server without
// failures has rows too, as its attempts at some instances are compared with its failures at others.
type Row struct {
	Server Server
	// Failed and Total count the failed and all attempts; each loses its weight with the time constant evidenceMemory.
	Failed, Total float64
	// Age is the time since the last failed attempt, Instances how many of these instances have lately had one. Both
	// are 0 without failures.
	Age       time.Duration
	Instances int
	// Ejecting is how many of these instances have ejected the server, Remaining the longest time for which they still
	// do.
	Ejecting  int
	Remaining time.Duration
}

// evidenceMemory is the time constant with which attempts lose their weight. It is longer than reports may be late or
// missing, and short enough that an instance that starts anew is told only what holds still.
const evidenceMemory = 3 * time.Second

// decay is the part of its weight that an attempt keeps over a time.
func decay(by time.Duration) float64 { return math.Exp(-float64(max(by, 0)) / float64(evidenceMemory)) }

// Aged returns the row as of a later time.
func (r Row) Aged(by time.Duration) Row {
	if by <= 0 {
		return r
	}
	keep := decay(by)
	r.Failed, r.Total = r.Failed*keep, r.Total*keep
	if r.Instances > 0 {
		r.Age += by
	}
	r.Remaining = max(r.Remaining-by, 0)
	return r
}

// Merge returns what two groups of instances have seen of the same server.
func (r Row) Merge(o Row) Row {
	if r.Instances == 0 || o.Instances > 0 && o.Age < r.Age {
		r.Age = o.Age
	}
	r.Failed, r.Total, r.Instances = r.Failed+o.Failed, r.Total+o.Total, r.Instances+o.Instances
	r.Ejecting, r.Remaining = r.Ejecting+o.Ejecting, max(r.Remaining, o.Remaining)
	return r
}

// Bound returns at most count of the rows, those of ejected servers first, then those with the most failures and with the
// most attempts, ordered by server.
func Bound(rows []Row, count int) []Row {
	if len(rows) > count {
		slices.SortFunc(rows, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.Ejecting, a.Ejecting), cmp.Compare(b.Failed, a.Failed), cmp.Compare(b.Total, a.Total), cmp.Compare(a.Server, b.Server))
		})
		rows = rows[:count]
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Server, b.Server) })
	return rows
}
