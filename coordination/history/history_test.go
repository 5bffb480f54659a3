package history

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// seeds is how many histories each test makes: -history.seeds=10000 for the
// long run. They are the numbers from 0 on, so a failing one can be repeated.
var (
	seeds = flag.Int("history.seeds", 100, "histories per test")
	first = flag.Uint64("history.first", 0, "first seed")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Logf("seeds %d to %d", *first, *first+uint64(*seeds)-1)
	for i := range uint64(*seeds) {
		f(t, *first+i)
		if t.Failed() {
			t.Fatalf("seed %d", *first+i)
		}
	}
}

// recorder collects operations; those with unknown outcome never return.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// check looks at each register's history by itself, and prints the one that is
// wrong with the log's records of its key. At the end nobody may hold a key who
// was told that it lost or is void.
func (r *recorder) check(t *testing.T, c *cluster) {
	model := registerModel.ToModel()
	final := c.replay()
	for _, ops := range registerModel.Partition(r.ops) {
		key := ops[0].Input.(registerOp).key
		holder, _ := final.Lookup(key)
		for _, op := range ops {
			if toldRefused(op) && op.Input.(registerOp).nonce == holder.Nonce {
				t.Errorf("seed %d: %s is held by %x, who was told no", c.seed, key, holder.Nonce[:4])
			}
		}
		if !porcupine.CheckOperations(model, append(ops, lateCopies(ops, c.countPuts(key))...)) {
			t.Errorf("seed %d: the history of %s is not that of a register", c.seed, key)
			logHistory(t, c, key, ops)
		}
	}
}

// saidNo: the caller was told that its Put lost or is void.
func toldRefused(op porcupine.Operation) bool {
	res, ok := op.Output.(node.Result)
	return ok && (res.Outcome == node.OutcomeLost || res.Outcome == node.OutcomeVoid)
}

// lateCopies allows for what a Put that was told no may do where the log has
// more than one copy of it: a copy that lands between the Release of the winner
// and the own Release holds the key until the latter. Nobody acts on it, and all
// of it is over before the caller is told. Without a second copy in the log
// nothing is allowed for.
func lateCopies(ops []porcupine.Operation, copies map[record.Nonce]int) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range ops {
		in := op.Input.(registerOp)
		if !toldRefused(op) || copies[in.nonce] < 2 {
			continue
		}
		late := porcupine.Operation{Input: in, Call: op.Call, Return: op.Return}
		late.ClientId, late.Output = 2000+op.ClientId, node.Result{Outcome: node.OutcomeUnknown}
		gone := porcupine.Operation{ClientId: 3000 + op.ClientId, Call: op.Call, Return: op.Return}
		gone.Input = registerOp{in.key, in.nonce, true}
		out = append(out, late, gone)
	}
	return out
}

func logHistory(t *testing.T, c *cluster, key record.Key, ops []porcupine.Operation) {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for _, op := range ops {
		in := op.Input.(registerOp)
		res, _ := op.Output.(node.Result)
		t.Logf("%v to %v: release=%v nonce=%x outcome=%d of %x", time.Duration(op.Call),
			time.Duration(op.Return), in.release, in.nonce[:4], res.Outcome, res.Register.Nonce[:4])
	}
	for _, line := range c.describeRecords(key) {
		t.Log(line)
	}
}

func nonce(rng *rand.Rand, client, op int) record.Nonce {
	n := record.Nonce{byte(client + 1), byte(op + 1)}
	n[2], n[3] = byte(rng.Uint32()), byte(rng.Uint32())
	return n
}

// propose makes one Put with a deadline of its own and records it. A Put of
// unknown outcome is released.
func (r *recorder) propose(c *cluster, rng *rand.Rand, client int, rec record.Record) node.Result {
	n := c.node(rng.IntN(nodeCount))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(2000))*time.Millisecond)
	defer cancel()
	call := c.elapsed()
	res := n.Put(ctx, rec)
	returned := c.elapsed()
	if res.Outcome == node.OutcomeUnknown {
		returned = math.MaxInt64
	}
	in := registerOp{key: rec.Key, nonce: rec.Nonce}
	r.add(porcupine.Operation{ClientId: client, Input: in, Call: call, Output: res, Return: returned})
	if res.Outcome == node.OutcomeUnknown {
		r.release(c, n, client, rec)
	}
	return res
}

// release counts from its call until any later time: it takes effect when the
// log has it, or never if its process is killed first.
func (r *recorder) release(c *cluster, n *node.Node, client int, rec record.Record) {
	call := c.elapsed()
	n.Release(rec.Key, rec.Nonce)
	in := registerOp{rec.Key, rec.Nonce, true}
	r.add(porcupine.Operation{ClientId: 1000 + client, Input: in, Call: call, Return: math.MaxInt64})
}

// TestRegisters: Puts and releases through killed, cut and slow nodes are those
// of one register per key.
func TestRegisters(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		var r recorder
		work := func(c *cluster, rng *rand.Rand, client int) {
			for op := range opsPerClient {
				key := record.Key(fmt.Sprintf("session/%d", rng.IntN(4)))
				n := nonce(rng, client, op)
				res := r.propose(c, rng, client, record.Record{Key: key, Nonce: n})
				if res.Outcome == node.OutcomeWon && rng.IntN(2) == 0 {
					r.release(c, c.node(rng.IntN(nodeCount)), client, record.Record{Key: key, Nonce: n})
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
		}
		runHistory(t, seed, work, func(c *cluster) { r.check(t, c) })
	})
}

// TestManifests: racing publishers, each on the manifest that its instance has
// in force, make one chain that never goes back at any instance.
func TestManifests(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		var r recorder
		seen := newGenerationWatch(t)
		work := func(c *cluster, rng *rand.Rand, client int) {
			for op := range opsPerClient {
				n := c.node(rng.IntN(nodeCount))
				seen.observe(n)
				r.publish(c, rng, n, client, op)
				seen.observe(n)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		}
		runHistory(t, seed, work, func(*cluster) {
			if !porcupine.CheckOperations(manifestModel.ToModel(), r.ops) {
				t.Errorf("seed %d: the history is not one chain of manifests", seed)
			}
		})
	})
}

func (r *recorder) publish(c *cluster, rng *rand.Rand, n *node.Node, client, op int) {
	in := publishOp{value: fmt.Sprintf("manifest of %d, %d", client, op)}
	if m, ok := n.Manifest(); ok {
		in.parent, _, _ = record.ParseManifestKey(m.Key)
		in.digest = record.ManifestDigest(m.Value)
	}
	rec := record.Record{
		Key:   record.ManifestKey(in.parent+1, in.digest),
		Nonce: nonce(rng, client, op),
		Value: []byte(in.value),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call := c.elapsed()
	res := n.Put(ctx, rec)
	returned := c.elapsed()
	if res.Outcome == node.OutcomeUnknown {
		returned = math.MaxInt64
	}
	r.add(porcupine.Operation{ClientId: client, Input: in, Call: call, Output: res, Return: returned})
}

// generations checks that no node's generation ever goes back.
type generationWatch struct {
	t    *testing.T
	mu   sync.Mutex
	seen map[*node.Node]uint64
}

func newGenerationWatch(t *testing.T) *generationWatch {
	return &generationWatch{t: t, seen: map[*node.Node]uint64{}}
}

func (g *generationWatch) observe(n *node.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := n.Digest().Generation
	if now < g.seen[n] {
		g.t.Errorf("generation went back from %d to %d", g.seen[n], now)
	}
	g.seen[n] = now
}

// books counts, per request, what callers would see: runs and bills.
type billing struct {
	mu    sync.Mutex
	runs  map[string]int
	bills map[string]record.Record
}

// TestClaimsAndBills: requests are sent again and again to several instances;
// whoever wins the claim runs the request and bills it through a buffer, which
// outlives the outage. Each request runs at most once; each that ran is billed
// once, and no other.
func TestClaimsAndBills(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		var r recorder
		b := &billing{runs: map[string]int{}, bills: map[string]record.Record{}}
		work := func(c *cluster, rng *rand.Rand, client int) {
			for op := range opsPerClient {
				request := fmt.Sprintf("r%d", rng.IntN(8))
				rec := record.Record{
					Key:     record.Key("claim/t/" + request),
					Nonce:   nonce(rng, client, op),
					KeyTime: time.Now(),
				}
				if r.propose(c, rng, client, rec).Outcome == node.OutcomeWon {
					b.bill(t, c, rng, request)
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
		}
		runHistory(t, seed, work, func(c *cluster) {
			r.check(t, c)
			b.check(t, c)
		})
	})
}

// ran bills a run: the first try may fail in any way, and is not waited for.
// Sometimes a copy with other content is billed too, as by a second run.
func (b *billing) bill(t *testing.T, c *cluster, rng *rand.Rand, request string) {
	bill := ledger.Bill{Team: "t", RequestID: request, CostMicros: 7, Attempts: 1}
	rec, err := bill.Record()
	if err != nil {
		t.Error(err)
	}
	b.mu.Lock()
	b.runs[request]++
	b.bills[request] = rec
	b.mu.Unlock()
	for range 1 + rng.IntN(2) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(500))*time.Millisecond)
		c.node(rng.IntN(nodeCount)).Put(ctx, rec)
		cancel()
	}
}

// check flushes what two buffers hold of all bills, then reads the ledger.
func (b *billing) check(t *testing.T, c *cluster) {
	for request, n := range b.runs {
		if n > 1 {
			t.Errorf("seed %d: %s ran %d times", c.seed, request, n)
		}
	}
	for slot := range 2 {
		buffer := ledger.NewBuffer(ledger.BufferLimits{}, c.node(slot).Put, nil)
		for _, rec := range b.bills {
			if err := buffer.AcceptCopy(rec); err != nil {
				t.Error(err)
			}
		}
		if left := buffer.Flush(context.Background()); left != 0 {
			t.Errorf("seed %d: %d bills left", c.seed, left)
		}
	}
	exported := map[string]int{}
	_, err := ledger.Export(context.Background(), c.fullLog().Client("export"), fold.DefaultConfig(), 0, func(l ledger.ExportedBill) error {
		exported[l.RequestID]++
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	for request := range b.runs {
		if exported[request] != 1 {
			t.Errorf("seed %d: %s is billed %d times", c.seed, request, exported[request])
		}
	}
	if len(exported) != len(b.runs) {
		t.Errorf("seed %d: %d requests billed, %d ran", c.seed, len(exported), len(b.runs))
	}
}
