package place

import "testing"

// Guards against requests sent to a server that a filter should drop, and against
// a wrong balance of load, cached prefix and failure domain in the total score.
func TestPick(t *testing.T) {
	good := Candidate{Slots: 4, VersionLoaded: true}
	with := func(change func(*Candidate)) Candidate {
		c := good
		change(&c)
		return c
	}
	tests := []struct {
		name string
		list []Candidate
		want int
	}{
		{name: "none", want: None},
		{name: "first of equal", list: []Candidate{good, good}, want: 0},
		{name: "leaving", list: []Candidate{with(func(c *Candidate) { c.Leaving = true })}, want: None},
		{name: "ejected", list: []Candidate{with(func(c *Candidate) { c.Ejected = true })}, want: None},
		{name: "full", list: []Candidate{with(func(c *Candidate) { c.Running = 4 })}, want: None},
		{name: "not loaded", list: []Candidate{with(func(c *Candidate) { c.VersionLoaded = false })}, want: None},
		{name: "tried", list: []Candidate{with(func(c *Candidate) { c.Avoid = true }), good}, want: 1},
		{name: "less load", list: []Candidate{with(func(c *Candidate) { c.Load = 0.5 }), good}, want: 1},
		{name: "same domain", list: []Candidate{good, with(func(c *Candidate) { c.SameDomain = true })}, want: 1},
		{
			name: "same domain does not outweigh load",
			list: []Candidate{good, with(func(c *Candidate) { c.SameDomain, c.Load = true, 0.3 })}, want: 0,
		},
		{
			name: "prefix outweighs some load",
			list: []Candidate{good, with(func(c *Candidate) { c.CacheSavings, c.Load = 0.6, 0.4 })}, want: 1,
		},
		{
			name: "prefix counts for nothing above the maximum load",
			list: []Candidate{good, with(func(c *Candidate) { c.CacheSavings, c.Load = 1, 0.9 })}, want: 0,
		},
	}
	p := Picker{
		Filters: []Filter{NotLeaving{}, NotEjected{}, HasFreeSlot{}, HasVersion{}, NotAvoided{}},
		Scorers: []Scorer{LeastLoad{}, PrefixAffinity{Weight: 1, MaxLoad: 0.8}, DomainAffinity{Weight: 0.05}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := p.Pick(tt.list); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
