package node

import (
	"context"
	"slices"
	"time"
)

// inDoubtGroup is a group that may or may not be in the log. It is sent again
// only after the tail has passed a head that was read later than the append.
// Sent earlier, the second copy would often follow a first one that is in the log
// but not read back yet; the first could then be read back as a loser and the
// second win. A first copy that arrives even later is handled by the Release that
// readBack queues.
type inDoubtGroup struct {
	group group
	due   time.Time
	// head is the log's head as read after the append; headKnown is true if it
	// was read.
	head      uint64
	headKnown bool
}

// addInDoubt keeps the Puts and Releases of g until they are read back or sent
// again.
func (a *appender) addInDoubt(g group) {
	g.records = nil
	a.inDoubt = append(a.inDoubt, inDoubtGroup{group: g, due: time.Now().Add(a.backoff.next())})
}

// resolveInDoubt drops the groups that were read back meanwhile and reads the
// log's head for those that are due. It queues a group again once the tail has
// passed the head that was read for it.
func (a *appender) resolveInDoubt(ctx context.Context) {
	if skipped := a.node.proposals.takeSkipped(); len(skipped) > 0 {
		a.inDoubt = append(a.inDoubt, inDoubtGroup{group: group{puts: skipped}, due: time.Now()})
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

// recheckDelay is the time until the next check: short while the tail catches
// up with a known head, and the backoff while the log can't be read.
func (a *appender) recheckDelay(headKnown bool) time.Duration {
	if headKnown {
		return a.node.cfg.Linger
	}
	return a.backoff.next()
}

// readHead reads the log's current head.
func (a *appender) readHead(ctx context.Context) (uint64, error) {
	page, err := a.node.read(ctx, a.node.Digest().NextOffset, 0)
	return page.Head, err
}

// nextDue is when the first group in doubt is due; there must be one.
func (a *appender) nextDue() time.Time {
	first := a.inDoubt[0].due
	for _, d := range a.inDoubt {
		if d.due.Before(first) {
			first = d.due
		}
	}
	return first
}
