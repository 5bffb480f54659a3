package admission

import (
	"math"
	"slices"
)

// reserve is the part of the room that less urgent priorities get in any case, so that a long burst of the most
// urgent does not starve them: every eighth slot, as in an instance's queue.
const reserve = 1.0 / 8

// Level is which part of each class's demand is admitted.
type Level struct {
	// Room is in units of work a second, +Inf without a limit. Offered is the work offered.
	Room, Offered float64
	priorities    map[uint8]*priorityLevel
}

// priorityLevel is the level at one priority.
type priorityLevel struct {
	offered, room float64
	// share is the most that a team gets.
	share float64
	teams map[uint32]*teamDemand
}

// teamDemand is the work that a team offers, and the part of it from callers that have come back. members is the
// number of teams that it stands for, 1 except for Team 0.
type teamDemand struct{ offered, returned, members float64 }

// NewLevel returns the level for the demand of one service, by priority first and then by max-min fair shares of the
// teams.
//
// Load: more work than room, of several priorities and teams. Harm prevented: an urgent request refused at one
// instance while another admits one that can wait; a large team's burst that takes the small teams' room.
func NewLevel(demand []Demand, room float64) Level {
	l := Level{Room: room, priorities: map[uint8]*priorityLevel{}}
	var order []uint8
	for _, d := range demand {
		p := l.priorities[d.Class.Priority]
		if p == nil {
			p = &priorityLevel{teams: map[uint32]*teamDemand{}}
			l.priorities[d.Class.Priority] = p
			order = append(order, d.Class.Priority)
		}
		p.add(d)
		l.Offered += d.Offered
	}
	slices.Sort(order)
	l.divide(order)
	for _, p := range l.priorities {
		p.share = p.fairShare()
	}
	return l
}

func (p *priorityLevel) add(d Demand) {
	t := p.teams[d.Class.Team]
	if t == nil {
		t = &teamDemand{members: 1}
		p.teams[d.Class.Team] = t
	}
	t.offered += d.Offered
	if d.Class.Returned {
		t.returned += d.Offered
	}
	p.offered += d.Offered
}

// divide gives the room to the priorities in order. Those below the first get their reserve, but no larger part of
// what they offer than all priorities would get on average: a less urgent one must not be served more often.
func (l *Level) divide(order []uint8) {
	if l.Offered <= l.Room || len(order) == 0 {
		for _, p := range l.priorities {
			p.room = p.offered
		}
		return
	}
	below := l.Offered - l.priorities[order[0]].offered
	part := l.Room / l.Offered
	if below > 0 {
		part = min(part, reserve*l.Room/below)
	}
	left := l.Room - part*below
	for i, priority := range order {
		p := l.priorities[priority]
		reserved := 0.0
		if i > 0 {
			reserved = part * p.offered
		}
		more := min(p.offered-reserved, max(left, 0))
		p.room, left = reserved+more, left-more
	}
}

// fairShare is the max-min fair share of a team: teams that ask for less get all that they ask for.
func (p *priorityLevel) fairShare() float64 {
	if p.offered <= p.room {
		return math.Inf(1)
	}
	p.countMembers()
	teams := make([]*teamDemand, 0, len(p.teams))
	members := 0.0
	for _, t := range p.teams {
		teams = append(teams, t)
		members += t.members
	}
	slices.SortFunc(teams, func(a, b *teamDemand) int {
		switch x, y := a.offered/a.members, b.offered/b.members; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	left := p.room
	for _, t := range teams {
		if share := left / members; t.offered >= share*t.members {
			return share
		}
		left, members = left-t.offered, members-t.members
	}
	return left
}

// countMembers estimates how many teams Team 0 stands for: each of them offers no more than any other in the report.
func (p *priorityLevel) countMembers() {
	rest := p.teams[0]
	if rest == nil {
		return
	}
	least := math.Inf(1)
	for team, t := range p.teams {
		if team != 0 && t.offered > 0 {
			least = min(least, t.offered)
		}
	}
	rest.members = max(math.Ceil(rest.offered/least), 1)
}

// Fraction is the part of the class's work that is admitted. Within what the team gets, callers that have come back
// go first.
func (l Level) Fraction(c Class) float64 {
	p := l.priorities[c.Priority]
	if p == nil || math.IsInf(p.share, 1) {
		return 1
	}
	t := p.teams[c.Team]
	if t == nil {
		if t = p.teams[0]; t == nil {
			return 1 // it has offered nothing yet: less than any share
		}
	}
	room := min(t.offered, p.share*t.members)
	if c.Returned {
		return part(room, t.returned)
	}
	return part(room-t.returned, t.offered-t.returned)
}

// PriorityRoom returns what the priority is given and what it offers, in units of work a second.
func (l Level) PriorityRoom(priority uint8) (room, offered float64) {
	if p := l.priorities[priority]; p != nil {
		return p.room, p.offered
	}
	return l.Room, 0
}

// part is the part of the work for which there is room.
func part(room, work float64) float64 {
	if work <= 0 {
		return 1
	}
	return min(max(room/work, 0), 1)
}
