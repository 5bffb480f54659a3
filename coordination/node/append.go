package node

import (
	"context"
	"errors"
	"time"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// appender is the state of the appending goroutine.
type appender struct {
	node       *Node
	lastAppend time.Time
	inDoubt    []inDoubtGroup
	backoff    *retryBackoff
}

// appendLoop appends groups until ctx ends. During a stop, it ends once the queues
// are empty or an append is not confirmed.
func (n *Node) appendLoop(ctx context.Context) {
	a := &appender{node: n, backoff: newRetryBackoff(n.seed, 2)}
	for ctx.Err() == nil {
		stopping := a.wait(ctx)
		a.resolveInDoubt(ctx)
		a.waitForInterval(ctx)
		sent := a.appendNext(ctx)
		if stopping && !sent {
			n.awaitReadBack(ctx)
			n.cancel()
			return
		}
	}
}

// awaitReadBack waits, up to CallTimeout, for the tail to read back what a
// planned stop has just appended.
func (n *Node) awaitReadBack(ctx context.Context) {
	end := time.Now().Add(n.cfg.CallTimeout)
	for n.proposals.anySent() && ctx.Err() == nil && time.Now().Before(end) {
		sleep(ctx, n.cfg.Linger)
	}
}

// wait returns when there is something to append, a group in doubt is due, ctx
// ends, or a stop has begun.
func (a *appender) wait(ctx context.Context) (stopping bool) {
	var due <-chan time.Time
	if len(a.inDoubt) > 0 {
		timer := time.NewTimer(time.Until(a.nextDue()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-a.node.proposals.wake:
	case <-due:
	case <-ctx.Done():
	case <-a.node.stopping:
		return true
	}
	return false
}

// appendInterval is the shortest time between two appends of one instance. It
// keeps all instances together within AppendBudget, whatever the load on each;
// the log takes several hundred appends per second and also serves operators.
func (n *Node) appendInterval() time.Duration {
	interval := time.Duration(n.instanceCount()) * time.Second / time.Duration(n.cfg.AppendBudget)
	return max(n.cfg.Linger, interval)
}

// waitForInterval waits until appendInterval has passed since the last append.
// The first record after an idle interval is sent at once: the budget is kept by
// the interval between appends, not by delaying each one.
func (a *appender) waitForInterval(ctx context.Context) {
	sleep(ctx, time.Until(a.lastAppend.Add(a.node.appendInterval())))
}

// appendNext appends one group and handles the outcome. It returns false if
// there was nothing to append or the append was not confirmed.
func (a *appender) appendNext(ctx context.Context) bool {
	n := a.node
	g := n.proposals.next()
	if len(g.records) == 0 {
		return false
	}
	a.lastAppend = time.Now()
	switch err := n.appendRecords(ctx, g.records); {
	case err == nil:
		a.backoff.reset()
		return true
	case errors.Is(err, platformlog.ErrNotAppended):
		n.logger.Warn("append to the log refused", "records", len(g.records), "err", err)
		n.proposals.markRefused(&g)
		a.addInDoubt(g)
		a.backOff(ctx)
	default:
		n.logger.Warn("outcome of append to the log unknown", "records", len(g.records), "err", err)
		n.proposals.markUnknown(&g)
		a.addInDoubt(g)
	}
	return false
}

func (n *Node) appendRecords(ctx context.Context, records []record.Record) error {
	data, err := record.Encode(record.Batch{Writer: n.cfg.Name, WriterTime: time.Now(), Records: records})
	if err != nil {
		// Put has validated each record, so the group as a whole is too large;
		// none of it was handed to the log.
		return errors.Join(platformlog.ErrNotAppended, err)
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	_, err = n.log.Append(ctx, data)
	return err
}

// backOff waits after a refused append. Meanwhile new Puts are void at once:
// while the log is down, waiting for it would hold each caller until its
// deadline.
func (a *appender) backOff(ctx context.Context) {
	a.node.proposals.setRefusing(true)
	defer a.node.proposals.setRefusing(false)
	sleep(ctx, a.backoff.next())
}
