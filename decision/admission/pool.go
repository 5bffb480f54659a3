package admission

import "time"

// Peers is the latest report of the other instances.
type Peers struct {
	Demand []Demand
	// Instances is the number of instances in the report, At its arrival; zero for no report.
	Instances int
	At        time.Time
}

const (
	// freshAge is how old a report may be to count in full: it comes every 0.15 to 0.45 s.
	freshAge = 600 * time.Millisecond
	// maxAge is the age at which a report no longer counts. In between it fades.
	maxAge = 1500 * time.Millisecond
)

// freshness is 1 for a report that counts in full, 0 for one that does not count.
func (p Peers) freshness(now time.Time) float64 {
	if p.At.IsZero() || p.Instances <= 0 {
		return 0
	}
	return min(max(float64(maxAge-now.Sub(p.At))/float64(maxAge-freshAge), 0), 1)
}

// Covered is the number of instances that are known, this one included, fading with the report's age.
func (p Peers) Covered(now time.Time) float64 { return 1 + p.freshness(now)*float64(p.Instances) }

// Pooled returns the demand of all instances. fleet is their number, 0 if unknown.
//
// Load: instances that are cut off, paused or added, and reports that are late or lost. Harm prevented: an instance
// that takes what it knows for everything, and admits more than its part. Instances that are not known count like the
// mean of those that are; without any report that is this instance's own demand.
func Pooled(own []Demand, peers Peers, fleet int, now time.Time) []Demand {
	fresh, covered := peers.freshness(now), peers.Covered(now)
	scale := max(float64(fleet), covered) / covered
	list := make([]Demand, 0, len(own)+len(peers.Demand))
	for _, d := range own {
		list = append(list, d.Scaled(scale))
	}
	if fresh > 0 {
		for _, d := range peers.Demand {
			list = append(list, d.Scaled(scale*fresh))
		}
	}
	return Sum(list)
}

// OfService returns the rows of one service; rows are in the order of their classes.
func OfService(rows []Demand, service uint32) []Demand {
	var out []Demand
	for _, d := range rows {
		if d.Class.Service == service {
			out = append(out, d)
		}
	}
	return out
}
