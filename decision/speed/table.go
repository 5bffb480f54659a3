package speed

import "time"

// Server identifies a process of a backend server, the same at all instances. A process that starts anew under the
// server's id is another Server.
type Server uint32

// Row is what some instances know of one server.
type Row struct {
	Server Server
	// Usual is how many times as long as at a server of unit speed work usually takes there, and Samples by how many
	// responses that is known.
	Usual   float64
	Samples int
	// Now is the newest statement of how many times as long work takes there at this moment, Age the time since
	// then. Now is 0 if there is none.
	Now float64
	Age time.Duration
}

// Table is what one instance knows of all servers. It is not safe for concurrent use. The zero Table is empty and
// ready to use.
type Table struct{}

// Stated records what a response states: how many times as long as usual work takes on the server's machine.
func (t *Table) Stated(now time.Time, s Server, slowdown float64) {}

// Measured records how many times as long as expected work took at the server, with its stated slowdown taken out.
func (t *Table) Measured(now time.Time, s Server, ratio float64) {}

// Apply replaces what the other instances know.
func (t *Table) Apply(now time.Time, rows []Row) {}

// Report returns what this instance has learned itself.
func (t *Table) Report(now time.Time) []Row { return nil }

// Usual returns how many times as long as at a server of unit speed work usually takes at the server; 1 if unknown.
func (t *Table) Usual(now time.Time, s Server) float64 { return 1 }

// Now returns how many times as long work takes at the server at this moment: the newest statement as long as it
// holds, and Usual otherwise.
func (t *Table) Now(now time.Time, s Server) float64 { return 1 }

// Retain forgets all servers for which keep returns false.
func (t *Table) Retain(keep func(Server) bool) {}

// Merge returns what two groups of instances know of the same server: the mean of Usual by the samples, and the newest
// statement.
func (r Row) Merge(o Row) Row {
	if n := r.Samples + o.Samples; n > 0 {
		r.Usual = (r.Usual*float64(r.Samples) + o.Usual*float64(o.Samples)) / float64(n)
		r.Samples = n
	}
	if r.Now == 0 || o.Now > 0 && o.Age < r.Age {
		r.Now, r.Age = o.Now, o.Age
	}
	return r
}
