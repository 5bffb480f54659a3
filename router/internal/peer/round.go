package peer

import (
	"context"
	"maps"
	"sync"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/coordination/fold"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/wire"
)

// outageFanout is the most instances that a round queries in addition to the
// chosen ones while this instance cannot read the log. Only the answers of a
// majority distinguish a general outage of the log from a failure of this
// instance's own link. In a fleet of up to 20 instances, one round queries all
// others.
const outageFanout = 16

// answer is one peer's answer in a round.
type answer struct {
	peer   wire.ListedInstance
	report StatusReport
	ok     bool
}

// Round exchanges digests with the chosen peers and acts on the differences. It
// must be called from one goroutine only.
func (n *Node) Round(ctx context.Context) {
	others := n.others()
	chosen := n.Chooser.Choose(others)
	listed := make(map[string]bool, len(others))
	for _, l := range others {
		listed[l.ID] = true
	}
	n.mu.Lock()
	n.roundPeers = chosen
	maps.DeleteFunc(n.answered, func(id string, _ bool) bool { return !listed[id] })
	n.mu.Unlock()
	reachable := n.store.Status().LogReachable
	var wg sync.WaitGroup
	if !reachable {
		extra := n.outagePeers(others, chosen)
		wg.Go(func() { n.queryAll(ctx, extra, MethodVouch) })
	}
	answers := n.queryAll(ctx, chosen, MethodDigest)
	for _, a := range answers {
		if !a.ok {
			n.Chooser.Failed(a.peer.ID)
		}
		wg.Go(func() { n.compare(ctx, a) })
	}
	if !reachable {
		n.runIfIdle(&n.transferring, func() { n.restoreFromPeer(ctx, answers) })
	}
	if n.Bills.Reachable() && n.heldBills.Len() > 0 {
		n.runIfIdle(&n.flushing, func() { n.flushBills(ctx) })
	}
	wg.Wait()
	n.snapshots.expire(n.Now())
}

// others returns the listed instances that have a peer address, without this
// one.
func (n *Node) others() []wire.ListedInstance {
	var out []wire.ListedInstance
	for _, l := range n.Instances() {
		if l.ID != n.self.ID && l.Peer != "" {
			out = append(out, l)
		}
	}
	return out
}

// outagePeers picks up to outageFanout instances that are not chosen anyway. It
// takes them in turn, so that every one is reached after some rounds.
func (n *Node) outagePeers(others, chosen []wire.ListedInstance) []wire.ListedInstance {
	alreadyChosen := map[string]bool{}
	for _, c := range chosen {
		alreadyChosen[c.ID] = true
	}
	var out []wire.ListedInstance
	for range others {
		next := others[n.outageCursor%len(others)]
		n.outageCursor++
		if !alreadyChosen[next.ID] {
			out = append(out, next)
		}
		if len(out) == outageFanout {
			break
		}
	}
	return out
}

// queryAll queries peers concurrently and records who answered.
func (n *Node) queryAll(ctx context.Context, peers []wire.ListedInstance, method string) []answer {
	out := make([]answer, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { out[i] = n.query(ctx, p, method) })
	}
	wg.Wait()
	for _, a := range out {
		n.recordAnswer(ctx, a)
	}
	return out
}

// query calls one peer and passes its report to the freshness tracker. An
// answer under another name than the listed one counts as none.
func (n *Node) query(ctx context.Context, p wire.ListedInstance, method string) answer {
	var params any = VouchParams{From: n.self.ID}
	if method == MethodDigest {
		params = DigestParams{n.ownState()}
	}
	var report StatusReport
	start := n.Now()
	err := n.pool.call(ctx, p.Peer, method, params, &report)
	if err == nil && report.From != p.ID {
		err = trace.BadParameter("answer from %s at the address listed for %s", report.From, p.ID)
		n.recordRejection(err)
	}
	if err != nil {
		return answer{peer: p}
	}
	n.Vouches.Vouched(report.vouch(n.Now().Sub(start)))
	return answer{peer: p, report: report, ok: true}
}

// recordAnswer records whether a peer answered, and logs when it starts or
// stops answering.
func (n *Node) recordAnswer(ctx context.Context, a answer) {
	n.mu.Lock()
	answeredBefore := n.answered[a.peer.ID]
	n.answered[a.peer.ID] = a.ok
	n.mu.Unlock()
	switch {
	case a.ok && !answeredBefore:
		n.Log.Emit(ctx, logging.EventPeerConnected, peerAttr(a.peer.ID))
	case !a.ok && answeredBefore:
		n.Log.Emit(ctx, logging.EventPeerLost, peerAttr(a.peer.ID))
	}
}

// restoreFromPeer fetches the state of the peer whose answer is furthest ahead,
// if it is ahead of this instance. This is done only while this instance cannot
// read the log: otherwise the log delivers the same state, and only the missing
// part.
func (n *Node) restoreFromPeer(ctx context.Context, answers []answer) {
	var furthest answer
	for _, a := range answers {
		if a.ok && a.report.NextOffset > furthest.report.NextOffset {
			furthest = a
		}
	}
	if furthest.report.NextOffset <= n.store.Digest().NextOffset || n.Now().Before(n.nextTransferAt) {
		return
	}
	if err := n.fetchState(ctx, furthest.peer.Peer); err != nil {
		n.recordRejection(trace.Wrap(err, "restoring state from peer %s", furthest.peer.ID))
		return
	}
	n.Log.Emit(ctx, logging.EventStateRestored, peerAttr(furthest.peer.ID))
}

// compare reports a peer's state that diverged from this instance's, and
// exchanges all health items with the peer if the hashes of the items differ.
func (n *Node) compare(ctx context.Context, a answer) {
	if !a.ok {
		return
	}
	own := n.store.Digest()
	if diverged(own, a.report.digest()) {
		n.reportDivergence(ctx, a.peer.ID)
	}
	if a.report.HealthHash != n.healthItems.hash(n.Now()) {
		n.exchangeHealth(ctx, a.peer)
	}
}

// reportDivergence counts and logs two different states at one offset, which
// must never happen. Nothing is repaired automatically, since it is unknown
// which side is right: an operator must decide.
func (n *Node) reportDivergence(ctx context.Context, id string) {
	gometrics.GetOrRegisterCounter("peer.diverged", n.Registry).Inc(1)
	if n.divergenceLogLimit.Allow() {
		n.Log.Emit(ctx, logging.EventStateDiverged, peerAttr(id))
	}
}

// diverged reports whether two folds of the same entries have different states.
func diverged(a, b fold.Digest) bool {
	return a.NextOffset == b.NextOffset && a.Hash != b.Hash
}
