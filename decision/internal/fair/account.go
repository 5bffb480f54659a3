package fair

// Group is the accounts that share capacity. The zero value is ready.
type Group struct {
	// Credit is the work that an account which asked for less than its share may
	// be behind the others, and so be given ahead of them: seldom requests come in
	// twos and threes too. It bounds what a long silence is worth. 0 is none.
	IdleCredit float64
	// active are the accounts with something queued.
	active []*Account
	// virtual is the largest tag that all active accounts were known to have
	// reached.
	virtualTime float64
	// seq counts the items, for their age.
	seq uint64
}

func (g *Group) nextSeq() uint64 {
	g.seq++
	return g.seq
}

// Account is what one team was given, over all queues.
type Account struct {
	group  *Group
	weight float64
	// tag is the work given divided by the weight; it only grows.
	tag float64
	// credit is what was charged too much, by a wrong estimate of the cost; the
	// next charges are less by it.
	refund      float64
	queued      int
	activeIndex int
}

// NewAccount adds an account. A weight under 1 counts as 1.
func (g *Group) NewAccount(weight int) *Account {
	a := &Account{group: g, activeIndex: -1}
	a.SetWeight(weight)
	return a
}

// SetWeight changes the weight for the work that follows.
func (a *Account) SetWeight(weight int) { a.weight = float64(max(weight, 1)) }

// Correct charges the difference between the true and the estimated cost, so that
// a team neither gains nor loses by a wrong estimate.
func (a *Account) CorrectCharge(delta float64) {
	if delta > 0 {
		a.charge(delta)
		return
	}
	a.refund -= delta
}

func (a *Account) charge(cost float64) {
	back := min(a.refund, cost)
	a.refund -= back
	a.tag += (cost - back) / a.weight
}

// startTag is the tag of an item that is queued now. An account that was idle
// starts where the others are, less the group's credit: it gets its share from now
// on, and no more than the credit for the time in which it asked nothing.
func (a *Account) startTag() float64 {
	if a.queued > 0 {
		return a.tag
	}
	return max(a.tag, a.group.currentVirtualTime()-a.group.IdleCredit/a.weight)
}

// reached is the least tag of the active accounts; with none, the last one known.
func (g *Group) currentVirtualTime() float64 {
	if len(g.active) == 0 {
		return g.virtualTime
	}
	least := g.active[0].tag
	for _, a := range g.active[1:] {
		least = min(least, a.tag)
	}
	return max(g.virtualTime, least)
}

// join counts a queued item.
func (a *Account) itemQueued() {
	a.tag = a.startTag()
	a.queued++
	if a.activeIndex >= 0 {
		return
	}
	g := a.group
	g.virtualTime = g.currentVirtualTime()
	a.activeIndex = len(g.active)
	g.active = append(g.active, a)
}

// leave counts an item that is queued no more.
func (a *Account) itemRemoved() {
	a.queued--
	if a.queued > 0 {
		return
	}
	g := a.group
	g.virtualTime = g.currentVirtualTime()
	last := len(g.active) - 1
	moved := g.active[last]
	g.active[a.activeIndex] = moved
	moved.activeIndex = a.activeIndex
	g.active[last] = nil
	g.active = g.active[:last]
	a.activeIndex = -1
}
