package node

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog"
)

// tail reads the log until ctx ends.
func (n *Node) tail(ctx context.Context) {
	retry := newRetryBackoff(n.seed, 1)
	for ctx.Err() == nil {
		err := n.pollOnce(ctx)
		if err == nil {
			retry.reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		n.logger.Warn("read of the log failed", "err", err)
		sleep(ctx, retry.next())
	}
}

// pollOnce makes one long poll and folds the entries that it returned.
func (n *Node) pollOnce(ctx context.Context) error {
	next := n.Digest().NextOffset
	sent := time.Now()
	page, err := n.read(ctx, next, n.pollWait())
	if errors.Is(err, platformlog.ErrTrimmed) {
		n.updateHead(sent, page)
		return n.catchUp(ctx, page.First)
	}
	if err != nil {
		n.markUnreachable(time.Now())
		return err
	}
	if page.Head < next {
		// A log that ends before an offset already read has lost records or is a
		// different log. Its head does not confirm the folded state.
		n.markUnreachable(time.Now())
		return trace.Wrap(ErrHeadRegressed, "head at offset %d, folded to offset %d", page.Head, next)
	}
	n.updateHead(sent, page)
	for _, e := range page.Entries {
		if err := n.foldEntry(e); err != nil {
			return err
		}
	}
	n.checkReady()
	return n.queueDueCheckpoint()
}

func (n *Node) read(ctx context.Context, from uint64, wait time.Duration) (platformlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+n.cfg.CallTimeout)
	defer cancel()
	page, err := n.log.Read(ctx, from, n.cfg.PageLimit, wait)
	return page, trace.Wrap(err)
}

func (n *Node) updateHead(sent time.Time, page platformlog.Page) {
	n.mu.Lock()
	s := &n.status
	s.head = max(s.head, page.Head)
	s.first = page.First
	s.headReadAt = sent
	s.reachable = true
	if !s.hasTarget {
		s.target, s.hasTarget = page.Head, true
	}
	n.mu.Unlock()
	n.observer.HeadRead(sent, page.Head)
}

// pollWait is how long the next read may wait for entries. After a failure it is
// zero, so that a log that does not answer is tried several times within the
// freshness bound, and both its outage and its return are noticed in time.
func (n *Node) pollWait() time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.status.reachable {
		return 0
	}
	return n.cfg.PollWait
}

func (n *Node) markUnreachable(at time.Time) {
	n.mu.Lock()
	n.status.reachable = false
	n.mu.Unlock()
	n.observer.ReadFailed(at)
}

// checkReady reports the folded offset to the observer and closes n.ready once
// the target is folded. If the target is the head at the node's first read, a
// ready node has in force everything accepted before its start.
func (n *Node) checkReady() {
	n.mu.RLock()
	next := n.state.Digest().NextOffset
	reached := n.status.hasTarget && next >= n.status.target
	n.mu.RUnlock()
	n.observer.Folded(next)
	if reached {
		n.readyOnce.Do(func() { close(n.ready) })
	}
}

// foldEntry folds e, notifies the watchers, then settles this node's proposals.
// An entry before the node's next offset was covered by a Restore meanwhile; one
// after it is a fault of the log service, and the log is read again.
func (n *Node) foldEntry(e platformlog.Entry) error {
	n.folding.Lock()
	defer n.folding.Unlock()
	n.mu.Lock()
	if e.Offset < n.state.Digest().NextOffset {
		n.mu.Unlock()
		return nil
	}
	changes, err := n.state.Apply(e, nil)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.notify(changes)
	return nil
}

// notify calls the watchers before it settles the proposals, so that a Put
// returns only after the watchers of its class were called.
func (n *Node) notify(changes []fold.Change) {
	for i := range changes {
		if changes[i].Verdict != fold.VerdictDuplicate {
			n.watchers.notify(&changes[i])
		}
	}
	for i := range changes {
		n.proposals.readBack(&changes[i])
		if changes[i].Verdict == fold.VerdictCheckpoint {
			n.checkpoints.partRead(time.Now(), &changes[i].Record)
		}
	}
}
