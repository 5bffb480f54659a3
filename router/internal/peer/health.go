package peer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

const (
	// leavingLifetime is how long the statement that a backend server is
	// leaving is passed on: longer than the lag of the list of backend servers
	// and than any server takes to leave.
	leavingLifetime = 10 * time.Minute
	// defaultVerdictLifetime is used for a verdict that states no end.
	defaultVerdictLifetime = 5 * time.Minute
)

// ShareVerdict sends this instance's verdict to the peers. It does not block.
func (n *Node) ShareVerdict(v decision.VersionVerdict) {
	now := n.Now()
	until := v.Until
	if until.IsZero() {
		until = now.Add(defaultVerdictLifetime)
	}
	n.publish(HealthItem{Kind: HealthVerdict, ID: string(v.Version), Bad: v.Bad}, now, until)
}

// ShareLeaving tells the peers that a backend server is leaving. It does not
// block. If an unexpired statement is known, it does nothing: one that came
// from a peer must not be replaced by a newer one of this instance.
func (n *Node) ShareLeaving(id decision.ServerID) {
	now := n.Now()
	if n.healthItems.has(HealthLeaving, string(id), now) {
		return
	}
	n.publish(HealthItem{Kind: HealthLeaving, ID: string(id)}, now, now.Add(leavingLifetime))
}

// ShareQuarantine sends the fingerprint of a crashing request to the peers. It
// does not block. The fingerprint is in the log too; the peers deliver it also
// during an outage of the log.
func (n *Node) ShareQuarantine(q decision.Quarantine) {
	id := strconv.FormatUint(uint64(q.Fingerprint), 10)
	n.publish(HealthItem{Kind: HealthQuarantine, ID: id}, n.Now(), q.Until)
}

// publish adds a statement of this instance to its items and queues it for the
// next push. It shortens a lifetime that exceeds maxItemLifetime.
func (n *Node) publish(it HealthItem, now, until time.Time) {
	it.Timestamp = now.UnixMilli()
	it.Until = min(until.UnixMilli(), it.Timestamp+maxItemLifetime.Milliseconds())
	it.Origin = n.self.ID
	added, err := n.healthItems.merge([]HealthItem{it}, now)
	if err != nil {
		n.recordRejection(trace.Wrap(err, "own health item is invalid"))
		return
	}
	n.enqueue(added)
}

// enqueue queues new items for the next push. Each instance passes an item on
// once, when it is new to it, so that an item reaches all instances in a few
// pushes and is not sent again after that.
func (n *Node) enqueue(items []HealthItem) {
	if len(items) == 0 {
		return
	}
	n.mu.Lock()
	// Items beyond the bound are exchanged in the next round, since the hashes
	// of the items then differ.
	free := max(maxHealthItems-len(n.pendingItems), 0)
	n.pendingItems = append(n.pendingItems, items[:min(len(items), free)]...)
	n.mu.Unlock()
	n.requestPush()
}

// mergeFromPeer merges a peer's items and sends the new ones to package
// decision.
func (n *Node) mergeFromPeer(items []HealthItem) error {
	added, err := n.healthItems.merge(items, n.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	for _, it := range added {
		n.Events.Send(it.event())
	}
	n.enqueue(added)
	return nil
}

// exchangeHealth exchanges all items with a peer whose HealthHash differs.
func (n *Node) exchangeHealth(ctx context.Context, p wire.ListedInstance) {
	params := HealthParams{From: n.self.ID, Items: n.healthItems.all(n.Now()), WantItems: true}
	var result HealthResult
	if err := n.pool.call(ctx, p.Peer, MethodHealth, params, &result); err != nil {
		return // the next round finds the difference again
	}
	if err := n.mergeFromPeer(result.Items); err != nil {
		n.recordRejection(trace.Wrap(err, "health items from %s", p.ID))
	}
}

// Push tells the peers of the last round what is new: health items, and that a
// manifest is in the log. Errors are ignored: the next round compares digests.
func (n *Node) Push(ctx context.Context) {
	n.mu.Lock()
	items, peers := n.pendingItems, n.roundPeers
	n.pendingItems = nil
	pushManifest := n.manifestPending
	n.manifestPending = false
	n.mu.Unlock()
	generation := n.store.Digest().Generation
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			if len(items) > 0 {
				_ = n.pool.call(ctx, p.Peer, MethodHealth, HealthParams{From: n.self.ID, Items: items}, nil)
			}
			if pushManifest {
				_ = n.pool.call(ctx, p.Peer, MethodManifest, ManifestParams{From: n.self.ID, Generation: generation}, nil)
			}
		})
	}
	wg.Wait()
}
