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
type doubt struct {
	group group
	due   time.Time
	// head is the log's head as read after the append; asked says that it was.
	head  uint64
	asked bool
}

// doubt keeps what the group settles until it is read back or sent again.
func (a *appender) doubt(g group) {
	g.records = nil
	a.doubts = append(a.doubts, doubt{group: g, due: time.Now().Add(a.backoff.next())})
}

// settleDoubts takes the doubts that are due a step further.
func (a *appender) settleDoubts(ctx context.Context) {
	if orphans := a.node.proposals.takeOrphans(); len(orphans) > 0 {
		a.doubts = append(a.doubts, doubt{group: group{puts: orphans}, due: time.Now()})
	}
	now := time.Now()
	a.doubts = slices.DeleteFunc(a.doubts, func(d doubt) bool { return !a.node.proposals.open(&d.group) })
	if !slices.ContainsFunc(a.doubts, func(d doubt) bool { return !d.due.After(now) }) {
		return
	}
	head, err := a.readHead(ctx)
	next := a.node.Digest().NextOffset
	kept := a.doubts[:0]
	for _, d := range a.doubts {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		if !d.asked && err == nil {
			d.head, d.asked = head, true
		}
		if d.asked && next >= d.head {
			a.node.proposals.resend(&d.group)
			continue
		}
		d.due = now.Add(a.recheck(d.asked))
		kept = append(kept, d)
	}
	a.doubts = kept
}

// recheck is when to look again: soon while the tail catches up with a head
// that is known, and by the backoff while the log can't be read.
func (a *appender) recheck(asked bool) time.Duration {
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
	first := a.doubts[0].due
	for _, d := range a.doubts {
		if d.due.Before(first) {
			first = d.due
		}
	}
	return first
}
