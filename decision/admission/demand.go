package admission

import (
	"cmp"
	"slices"
)

// Class is what is admitted alike: the requests of one team at one priority of a service.
type Class struct {
	// Service and Team are hashes of the names, the same at all instances. Team is 0 for the teams that a report has
	// no room for, together.
	Service uint32
	Team    uint32
	// Priority is 0 for the most urgent requests.
	Priority uint8
}

// Demand is the demand of a class at one or several instances. All values are sums, so that reports can be added up.
type Demand struct {
	Class Class
	// Offered is the work that arrives, Admitted the part of it that was sent to servers, both in units of the
	// service's work a second.
	Offered  float64
	Admitted float64
	// Waiting is the work that is queued.
	Waiting float64
}

// Plus returns the sum of two demands of the same class.
func (d Demand) Plus(o Demand) Demand {
	d.Offered, d.Admitted, d.Waiting = d.Offered+o.Offered, d.Admitted+o.Admitted, d.Waiting+o.Waiting
	return d
}

// Sum adds up demands by class, in the order of the classes.
func Sum(lists ...[]Demand) []Demand {
	byClass := map[Class]Demand{}
	for _, list := range lists {
		for _, d := range list {
			if known, ok := byClass[d.Class]; ok {
				d = d.Plus(known)
			}
			byClass[d.Class] = d
		}
	}
	out := make([]Demand, 0, len(byClass))
	for _, d := range byClass {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Demand) int { return a.Class.compare(b.Class) })
	return out
}

// compare orders classes by service, priority and team.
func (c Class) compare(o Class) int {
	return cmp.Or(cmp.Compare(c.Service, o.Service), cmp.Compare(c.Priority, o.Priority), cmp.Compare(c.Team, o.Team))
}
