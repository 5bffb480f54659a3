package fair

// Group is a set of accounts that share capacity. The zero value is ready to use.
type Group struct {
	// IdleCredit is the work that an account may be served ahead of the others
	// after a time in which it asked for less than its share: rare requests come
	// in small bursts too. However long that time was, the account gains no more
	// than this. 0 gives no credit.
	IdleCredit float64
	// active holds the accounts with queued items.
	active []*Account
	// virtualTime is the virtual time at which an account last became active or
	// idle; it never decreases.
	virtualTime float64
	// seq numbers the items, to order them by age.
	seq uint64
}

func (g *Group) nextSeq() uint64 {
	g.seq++
	return g.seq
}

// Account records the work that one team was served, over all queues.
type Account struct {
	group  *Group
	weight float64
	// tag is the work served divided by the weight, plus what startTag adds after
	// an idle time; it never decreases.
	tag float64
	// refund is the amount overcharged because of wrong cost estimates; it is
	// deducted from the next charges.
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

// SetWeight changes the weight for later charges; a weight under 1 counts as 1.
func (a *Account) SetWeight(weight int) { a.weight = float64(max(weight, 1)) }

// CorrectCharge charges delta, the true cost less the estimated cost that Pop
// charged, so that a team neither gains nor loses by a wrong estimate.
func (a *Account) CorrectCharge(delta float64) {
	if delta > 0 {
		a.charge(delta)
		return
	}
	a.refund -= delta
}

func (a *Account) charge(cost float64) {
	refunded := min(a.refund, cost)
	a.refund -= refunded
	a.tag += (cost - refunded) / a.weight
}

// startTag is the tag that the account would have if an item were queued now. An
// account that was idle starts at the current virtual time less the group's idle
// credit: it gets its share from now on, and no more than the credit for the time
// it was idle.
func (a *Account) startTag() float64 {
	if a.queued > 0 {
		return a.tag
	}
	return max(a.tag, a.group.currentVirtualTime()-a.group.IdleCredit/a.weight)
}

// currentVirtualTime is the least tag of the active accounts, but not less than
// the last known virtual time. Without active accounts it is the last known one.
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

// itemQueued counts a queued item and activates the account with the first.
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

// itemRemoved counts an item that left its queue and deactivates the account with
// the last.
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
