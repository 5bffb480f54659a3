package admission

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// Class is what is admitted alike: the requests of one team at one priority of a service.
type Class struct {
	// Service and Team are hashes of the names, the same at all instances. Team is 0 for the teams that a report has
	// no room for, together.
	Service uint32
	Team    uint32
	// Priority is the place in the order of urgency, 0 for the most urgent requests.
	Priority uint8
	// Returned is true for callers that were refused before and have come back.
	Returned bool
}

// ServiceOf is the hash of a service's name, TeamOf that of a team's, as in a Class.
func ServiceOf(name string) uint32 { return max(hash(name), 1) }

// TeamOf is never 0, which stands for the teams that a report has no room for.
func TeamOf(name string) uint32 { return max(hash(name), 1) }

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails, by its contract
	return h.Sum32()
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

// Scaled returns a multiple of the demand.
func (d Demand) Scaled(by float64) Demand {
	d.Offered, d.Admitted, d.Waiting = d.Offered*by, d.Admitted*by, d.Waiting*by
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
	return cmp.Or(cmp.Compare(c.Service, o.Service), cmp.Compare(c.Priority, o.Priority), cmp.Compare(c.Team, o.Team),
		cmp.Compare(returnedOrder(c), returnedOrder(o)))
}

// returnedOrder orders returned callers before others of the class.
func returnedOrder(c Class) int {
	if c.Returned {
		return 0
	}
	return 1
}

// Bounded keeps the rows of the most teams teams of each service and priority that ask for the most, and adds up the others
// as Team 0.
//
// Load: thousands of teams. Harm prevented: reports whose size grows with the number of teams, at each of hundreds of
// instances.
func Bounded(rows []Demand, teams int) []Demand {
	type level struct {
		service  uint32
		priority uint8
	}
	byLevel := map[level]map[uint32]float64{}
	for _, d := range rows {
		key := level{d.Class.Service, d.Class.Priority}
		if byLevel[key] == nil {
			byLevel[key] = map[uint32]float64{}
		}
		byLevel[key][d.Class.Team] += d.Offered + d.Waiting
	}
	kept := map[level]map[uint32]bool{}
	for key, offered := range byLevel {
		order := slices.SortedFunc(maps.Keys(offered), func(a, b uint32) int { return cmp.Or(cmp.Compare(offered[b], offered[a]), cmp.Compare(a, b)) })
		kept[key] = map[uint32]bool{}
		for _, team := range order[:min(len(order), teams)] {
			kept[key][team] = true
		}
	}
	out := slices.Clone(rows)
	for i, d := range out {
		if !kept[level{d.Class.Service, d.Class.Priority}][d.Class.Team] {
			out[i].Class.Team = 0
		}
	}
	return Sum(out)
}
