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

// appendLoop writes groups until ctx ends or a stop has drained the queues.
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

// awaitReadBack lets the tail settle what a planned stop has just appended.
func (n *Node) awaitReadBack(ctx context.Context) {
	end := time.Now().Add(n.cfg.CallTimeout)
	for n.proposals.anySent() && ctx.Err() == nil && time.Now().Before(end) {
		sleep(ctx, n.cfg.Linger)
	}
}

// wait returns when there is something to append, or a stop has begun.
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

// linger is the time between two appends of one instance. All instances
// together then stay within the budget, whatever the load on each; the log
// takes several hundred appends a second and serves operators besides.
func (n *Node) appendInterval() time.Duration {
	share := time.Duration(n.instanceCount()) * time.Second / time.Duration(n.cfg.AppendBudget)
	return max(n.cfg.Linger, share)
}

// pace waits until a linger has passed since the last append. After an idle
// linger the first record goes out at once: the interval between appends, not
// the delay of each, keeps the budget.
func (a *appender) waitForInterval(ctx context.Context) {
	sleep(ctx, time.Until(a.lastAppend.Add(a.node.appendInterval())))
}

// appendNext writes one group and settles what its outcome settles. It returns
// false if there was nothing to write or the log did not take it.
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
		n.logger.Warn("append refused", "records", len(g.records), "err", err)
		n.proposals.markRefused(&g)
		a.addInDoubt(g)
		a.backOff(ctx)
	default:
		n.logger.Warn("outcome of append unknown", "records", len(g.records), "err", err)
		n.proposals.markUnknown(&g)
		a.addInDoubt(g)
	}
	return false
}

func (n *Node) appendRecords(ctx context.Context, records []record.Record) error {
	data, err := record.Encode(record.Batch{Writer: n.cfg.Name, WriterTime: time.Now(), Records: records})
	if err != nil {
		// Put has checked each record, so this is a group that grew too large;
		// nothing of it was handed over.
		return errors.Join(platformlog.ErrNotAppended, err)
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	_, err = n.log.Append(ctx, data)
	return err
}

// rest waits after a refusal. New Puts are void at once meanwhile: with the log
// down, waiting for it would hold each caller to its deadline.
func (a *appender) backOff(ctx context.Context) {
	a.node.proposals.setRefusing(true)
	defer a.node.proposals.setRefusing(false)
	sleep(ctx, a.backoff.next())
}
