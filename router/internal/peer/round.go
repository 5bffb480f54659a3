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

// wideFanout is how many more instances are asked in a round while the own log
// does not answer. Only the word of a majority tells an outage for everybody
// from a cut of the own line; at 8 instances one round asks them all.
const wideFanout = 16

// answer is one peer's word in a round.
type answer struct {
	peer wire.ListedInstance
	word Word
	ok   bool
}

// Round exchanges digests with the chosen peers, and acts on what differs.
// One goroutine calls it.
func (n *Node) Round(ctx context.Context) {
	live := n.others()
	chosen := n.Chooser.Choose(live)
	listed := make(map[string]bool, len(live))
	for _, l := range live {
		listed[l.ID] = true
	}
	n.mu.Lock()
	n.chosen = chosen
	maps.DeleteFunc(n.answered, func(id string, _ bool) bool { return !listed[id] })
	n.mu.Unlock()
	reachable := n.store.Status().LogReachable
	var wg sync.WaitGroup
	if !reachable {
		wide := n.wide(live, chosen)
		wg.Go(func() { n.askAll(ctx, wide, MethodVouch) })
	}
	answers := n.askAll(ctx, chosen, MethodDigest)
	for _, a := range answers {
		if !a.ok {
			n.Chooser.Failed(a.peer.ID)
		}
		wg.Go(func() { n.compare(ctx, a) })
	}
	if !reachable {
		n.unlessBusy(&n.transferring, func() { n.takeOver(ctx, answers) })
	}
	if n.Bills.Reachable() && n.held.Len() > 0 {
		n.unlessBusy(&n.flushing, func() { n.flush(ctx) })
	}
	wg.Wait()
	n.snaps.drop(n.Now())
}

// others is the list without this instance.
func (n *Node) others() []wire.ListedInstance {
	var out []wire.ListedInstance
	for _, l := range n.Instances() {
		if l.ID != n.self.ID && l.Peer != "" {
			out = append(out, l)
		}
	}
	return out
}

// wide picks instances in turn, so that some rounds reach every one.
func (n *Node) wide(live, chosen []wire.ListedInstance) []wire.ListedInstance {
	skip := map[string]bool{}
	for _, c := range chosen {
		skip[c.ID] = true
	}
	var out []wire.ListedInstance
	for range live {
		next := live[n.asked%len(live)]
		n.asked++
		if !skip[next.ID] {
			out = append(out, next)
		}
		if len(out) == wideFanout {
			break
		}
	}
	return out
}

// askAll asks peers at the same time and gives their words to the tracker.
func (n *Node) askAll(ctx context.Context, peers []wire.ListedInstance, method string) []answer {
	out := make([]answer, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { out[i] = n.ask(ctx, p, method) })
	}
	wg.Wait()
	for _, a := range out {
		n.noteAnswer(ctx, a)
	}
	return out
}

func (n *Node) ask(ctx context.Context, p wire.ListedInstance, method string) answer {
	var params any = VouchParams{From: n.self.ID}
	if method == MethodDigest {
		params = DigestParams{n.state()}
	}
	var word Word
	begin := n.Now()
	err := n.pool.call(ctx, p.Peer, method, params, &word)
	if err == nil && word.From != p.ID {
		err = trace.BadParameter("%s answers where the list has %s", word.From, p.ID)
		n.reject(err)
	}
	if err != nil {
		return answer{peer: p}
	}
	n.Vouches.Vouched(word.vouch(n.Now().Sub(begin)))
	return answer{peer: p, word: word, ok: true}
}

// noteAnswer logs peers that come and go.
func (n *Node) noteAnswer(ctx context.Context, a answer) {
	n.mu.Lock()
	before := n.answered[a.peer.ID]
	n.answered[a.peer.ID] = a.ok
	n.mu.Unlock()
	switch {
	case a.ok && !before:
		n.Log.Emit(ctx, logging.EventPeerConnected, peerAttr(a.peer.ID))
	case !a.ok && before:
		n.Log.Emit(ctx, logging.EventPeerLost, peerAttr(a.peer.ID))
	}
}

// takeOver fetches the state of the peer that is furthest ahead. It is done
// only while the own log does not answer: otherwise the log itself brings the
// same, and only what is missing.
func (n *Node) takeOver(ctx context.Context, answers []answer) {
	var best answer
	for _, a := range answers {
		if a.ok && a.word.Next > best.word.Next {
			best = a
		}
	}
	if best.word.Next <= n.store.Digest().NextOffset || n.Now().Before(n.noTransferBefore) {
		return
	}
	if err := n.fetchState(ctx, best.peer.Peer); err != nil {
		n.reject(trace.Wrap(err, "state of %s", best.peer.ID))
		return
	}
	n.Log.Emit(ctx, logging.EventStateRestored, peerAttr(best.peer.ID))
}

// compare acts on what a peer's word shows to differ from the own state.
func (n *Node) compare(ctx context.Context, a answer) {
	if !a.ok {
		return
	}
	own := n.store.Digest()
	if diverged(own, a.word.digest()) {
		n.alarm(ctx, a.peer.ID)
	}
	if a.word.Board != n.board.hash(n.Now()) {
		n.swapHealth(ctx, a.peer)
	}
}

// alarm notes a state that must not be. Nothing is mended by a guess at which
// side is right: people have to look.
func (n *Node) alarm(ctx context.Context, id string) {
	gometrics.GetOrRegisterCounter("peer.diverged", n.Registry).Inc(1)
	if n.alarms.Allow() {
		n.Log.Emit(ctx, logging.EventStateDiverged, peerAttr(id))
	}
}

// diverged says that two folds of the same entries came to unlike states.
func diverged(a, b fold.Digest) bool {
	return a.NextOffset == b.NextOffset && a.Hash != b.Hash
}
