package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// cluster is a few nodes on one log with injected faults, in a synctest bubble.
type cluster struct {
	t         *testing.T
	log       *logtest.Log
	seed      uint64
	startTime time.Time

	// mu guards nodes and names. Both are by slot: the node that replaces another
	// gets its slot and a new name. started counts the nodes.
	mu      sync.Mutex
	nodes   []*node.Node
	names   []string
	started int
	// archive holds the entries that were trimmed from the log, in log order.
	archive []platformlog.Entry
}

const (
	nodeCount    = 3
	clientCount  = 5
	opsPerClient = 8
)

// runHistory runs one seeded history: work runs in clientCount goroutines while
// faults are injected. Afterwards the log is healthy again, all nodes must
// agree, and check is called.
func runHistory(t *testing.T, seed uint64, work func(c *cluster, rng *rand.Rand, client int), check func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: logtest.New(), seed: seed, startTime: time.Now()}
		// In every other history the log does not timestamp its entries.
		c.log.SetOmitTimes(seed%2 == 1)
		c.nodes, c.names = make([]*node.Node, nodeCount), make([]string, nodeCount)
		for i := range nodeCount {
			c.replace(i)
		}
		var wg sync.WaitGroup
		for client := range clientCount {
			wg.Go(func() { work(c, rand.New(rand.NewPCG(seed, uint64(client))), client) })
		}
		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() { c.injectFaults(rand.New(rand.NewPCG(seed, 99)), stop) })
		wg.Wait()
		close(stop)
		faults.Wait()
		c.heal()
		check(c)
		for _, n := range c.nodes {
			c.kill(n)
		}
	})
}

// replace kills the node of a slot without flushing it and starts a new one.
func (c *cluster) replace(slot int) {
	c.mu.Lock()
	old := c.nodes[slot]
	c.started++
	name := fmt.Sprintf("n%d", c.started)
	c.mu.Unlock()
	if old != nil {
		c.kill(old)
	}
	n, err := node.New(c.log.Client(name), node.Config{Name: name}, node.WithSeed(c.seed+uint64(c.started)))
	if err == nil {
		err = n.Start(c.t.Context())
	}
	if err != nil {
		c.t.Error(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[slot], c.names[slot] = n, name
}

func (c *cluster) kill(n *node.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Stop(ctx)
}

func (c *cluster) node(slot int) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[slot%nodeCount]
}

// injectFaults injects random faults until stop is closed.
func (c *cluster) injectFaults(rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		slot := rng.IntN(nodeCount)
		switch rng.IntN(15) {
		case 0:
			c.log.LoseReplies(1 + rng.IntN(3))
		case 1:
			c.log.LoseAppends(1 + rng.IntN(3))
		case 2:
			c.log.RefuseAppends(1 + rng.IntN(2))
		case 3:
			c.log.SetDown(true)
		case 4:
			c.log.SetSlow(time.Duration(rng.IntN(500)) * time.Millisecond)
		case 5:
			c.mu.Lock()
			name := c.names[slot]
			c.mu.Unlock()
			c.log.SetDisconnected(name, rng.IntN(2) == 0)
		case 6:
			c.replace(slot)
		case 7:
			c.log.FailAppends(logtest.AppendDelayed)
		case 8:
			c.log.FailAppends(logtest.AppendDelayed, logtest.AppendRefused, logtest.AppendReplyLost)
		case 9:
			if err := c.node(slot).Checkpoint(); err != nil {
				c.t.Error(err)
			}
		case 10:
			c.trim()
		case 11:
			c.transfer(slot, slot+1)
		default:
			c.log.SetDown(false)
			c.log.SetSlow(0)
		}
	}
}

// trim drops the entries that the latest complete checkpoint in the log covers.
func (c *cluster) trim() {
	entries := c.log.Entries()
	var assembler fold.CheckpointAssembler
	for _, e := range entries {
		b, err := record.Decode(e.Data)
		if err != nil {
			c.t.Error(err)
		}
		for i := range b.Records {
			assembler.Add(&b.Records[i])
		}
	}
	_, next, ok := assembler.Latest()
	if !ok || next <= entries[0].Offset {
		return
	}
	c.archive = append(c.archive, entries[:next-entries[0].Offset]...)
	c.log.Trim(next)
}

// transfer restores one node's snapshot at another, as peers do.
func (c *cluster) transfer(from, to int) {
	snapshot, err := c.node(from).Snapshot()
	if err != nil {
		c.t.Error(err)
	}
	if err := c.node(to).Restore(snapshot); err != nil && !errors.Is(err, node.ErrNotAhead) {
		c.t.Error(err)
	}
}

// fullLog returns a log with all entries, including those that were trimmed.
func (c *cluster) fullLog() *logtest.Log {
	log := logtest.New()
	for _, e := range append(c.archive, c.log.Entries()...) {
		log.Inject(e.Data)
	}
	return log
}

// heal ends all faults, waits until everything is appended and folded, and
// checks that the nodes agree with a replay.
func (c *cluster) heal() {
	c.log.SetDown(false)
	c.log.SetSlow(0)
	c.log.FailAppends()
	for _, name := range c.names {
		c.log.SetDisconnected(name, false)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	want := c.replay().Digest()
	for i, n := range c.nodes {
		if got := n.Digest(); got != want {
			c.t.Errorf("seed %d: node %s has the digest %+v, a replay has %+v", c.seed, c.names[i], got, want)
		}
	}
}

// replay folds the log from its beginning.
func (c *cluster) replay() *fold.State {
	s := fold.New(fold.DefaultConfig(), fold.Options{})
	for _, e := range append(c.archive, c.log.Entries()...) {
		if _, err := s.Apply(e, nil); err != nil {
			c.t.Error(err)
		}
	}
	return s
}

// eachRecord calls f for each record of key in the log, including trimmed ones.
func (c *cluster) eachRecord(key record.Key, f func(e platformlog.Entry, writer string, r record.Record)) {
	for _, e := range append(c.archive, c.log.Entries()...) {
		b, err := record.Decode(e.Data)
		if err != nil {
			c.t.Error(err)
		}
		for _, r := range b.Records {
			if r.Key == key {
				f(e, b.Writer, r)
			}
		}
	}
}

// describeRecords lists the records of key in the log.
func (c *cluster) describeRecords(key record.Key) []string {
	var out []string
	c.eachRecord(key, func(e platformlog.Entry, writer string, r record.Record) {
		at := e.Time.Sub(c.startTime)
		out = append(out, fmt.Sprintf("log %d at %v by %s: kind=%d nonce=%x", e.Offset, at, writer, r.Kind, r.Nonce[:4]))
	})
	return out
}

// countPuts counts the Puts of key in the log by nonce.
func (c *cluster) countPuts(key record.Key) map[record.Nonce]int {
	out := map[record.Nonce]int{}
	c.eachRecord(key, func(_ platformlog.Entry, _ string, r record.Record) {
		if r.Kind == record.KindPut {
			out[r.Nonce]++
		}
	})
	return out
}

func (c *cluster) elapsed() int64 { return int64(time.Since(c.startTime)) }
