package node

import (
	"context"
	"slices"
	"time"
)

// doubt is a group that may or may not stand in the log. It is sent again only
// after the tail has passed a head that was read later than the append: sent
// before, a second copy would often follow a first one that is merely unread,
// and the second might win where the first was read back as the loser. A first
// copy that comes later still is what the release in readBack is for.
type inDoubtGroup struct {
	group group
	due   time.Time
	// head is the log's head as read after the append; asked says that it was.
	head      uint64
	headKnown bool
}

// doubt keeps what the group settles until it is read back or sent again.
func (a *appender) addInDoubt(g group) {
	g.records = nil
	a.inDoubt = append(a.inDoubt, inDoubtGroup{group: g, due: time.Now().Add(a.backoff.next())})
}

// settleDoubts takes the doubts that are due a step further.
func (a *appender) resolveInDoubt(ctx context.Context) {
	if orphans := a.node.proposals.takeSkipped(); len(orphans) > 0 {
		a.inDoubt = append(a.inDoubt, inDoubtGroup{group: group{puts: orphans}, due: time.Now()})
	}
	now := time.Now()
	a.inDoubt = slices.DeleteFunc(a.inDoubt, func(d inDoubtGroup) bool { return !a.node.proposals.unresolved(&d.group) })
	if !slices.ContainsFunc(a.inDoubt, func(d inDoubtGroup) bool { return !d.due.After(now) }) {
		return
	}
	head, err := a.readHead(ctx)
	next := a.node.Digest().NextOffset
	kept := a.inDoubt[:0]
	for _, d := range a.inDoubt {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		if !d.headKnown && err == nil {
			d.head, d.headKnown = head, true
		}
		if d.headKnown && next >= d.head {
			a.node.proposals.resend(&d.group)
			continue
		}
		d.due = now.Add(a.recheckDelay(d.headKnown))
		kept = append(kept, d)
	}
	a.inDoubt = kept
}

// recheck is when to look again: soon while the tail catches up with a head
// that is known, and by the backoff while the log can't be read.
func (a *appender) recheckDelay(asked bool) time.Duration {
	if asked {
		return a.node.cfg.Linger
	}
	return a.backoff.next()
}

// readHead asks the log for its head.
func (a *appender) readHead(ctx context.Context) (uint64, error) {
	page, err := a.node.read(ctx, a.node.Digest().NextOffset, 0)
	return page.Head, err
}

// nextDue is when the first doubt is due; there must be one.
func (a *appender) nextDue() time.Time {
	first := a.inDoubt[0].due
	for _, d := range a.inDoubt {
		if d.due.Before(first) {
			first = d.due
		}
	}
	return first
}
