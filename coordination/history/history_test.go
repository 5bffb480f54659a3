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

// seedCount is how many histories each test runs; long runs use
// -history.seeds=10000. The seeds are consecutive from firstSeed, so a failing
// one can be repeated.
var (
	seedCount = flag.Int("history.seeds", 100, "histories per test")
	firstSeed = flag.Uint64("history.first", 0, "first seed")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eachSeed calls f with each seed and stops at the first one that fails.
func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Logf("seeds %d to %d", *firstSeed, *firstSeed+uint64(*seedCount)-1)
	for i := range uint64(*seedCount) {
		f(t, *firstSeed+i)
		if t.Failed() {
			t.Fatalf("failed with seed %d", *firstSeed+i)
		}
	}
}

// recorder collects operations. Those with an unknown outcome are recorded as
// never returning.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// check checks each register's history separately. If one is not legal, it logs
// the history and the records of the key. At the end no key may be held by a
// caller that was told that its Put lost or is void.
func (r *recorder) check(t *testing.T, c *cluster) {
	model := registerModel.ToModel()
	final := c.replay()
	for _, ops := range registerModel.Partition(r.ops) {
		key := ops[0].Input.(registerOp).key
		holder, _ := final.Lookup(key)
		for _, op := range ops {
			if toldRefused(op) && op.Input.(registerOp).nonce == holder.Nonce {
				t.Errorf("seed %d: %s is held by %x, whose caller was told that its Put lost or is void", c.seed, key, holder.Nonce[:4])
			}
		}
		if !porcupine.CheckOperations(model, append(ops, lateCopies(ops, c.countPuts(key))...)) {
			t.Errorf("seed %d: the history of %s is not linearizable as a register", c.seed, key)
			logHistory(t, c, key, ops)
		}
	}
}

// toldRefused reports whether op is a Put whose caller was told that it lost or is
// void.
func toldRefused(op porcupine.Operation) bool {
	res, ok := op.Output.(node.Result)
	return ok && (res.Outcome == node.OutcomeLost || res.Outcome == node.OutcomeVoid)
}

// lateCopies returns the additional operations that are legal if the log has
// more than one copy of a Put whose caller was told that it lost or is void: a
// copy between the Release of the winner and the Release of the Put itself
// holds the key until the latter. No caller acts on it, and it is over before
// the caller gets its outcome. With a single copy in the log, nothing is added.
func lateCopies(ops []porcupine.Operation, copies map[record.Nonce]int) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range ops {
		in := op.Input.(registerOp)
		if !toldRefused(op) || copies[in.nonce] < 2 {
			continue
		}
		put := porcupine.Operation{Input: in, Call: op.Call, Return: op.Return}
		put.ClientId, put.Output = 2000+op.ClientId, node.Result{Outcome: node.OutcomeUnknown}
		release := porcupine.Operation{ClientId: 3000 + op.ClientId, Call: op.Call, Return: op.Return}
		release.Input = registerOp{in.key, in.nonce, true}
		out = append(out, put, release)
	}
	return out
}

// logHistory logs the operations and the records of key.
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

// nonce returns a nonce that no other operation of the history has.
func nonce(rng *rand.Rand, client, op int) record.Nonce {
	n := record.Nonce{byte(client + 1), byte(op + 1)}
	n[2], n[3] = byte(rng.Uint32()), byte(rng.Uint32())
	return n
}

// propose makes one Put with a deadline of its own and records it. A Put with
// an unknown outcome is released.
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

// release records a Release that may take effect at any time after its call,
// when the log has it, or never if its process is killed before.
func (r *recorder) release(c *cluster, n *node.Node, client int, rec record.Record) {
	call := c.elapsed()
	n.Release(rec.Key, rec.Nonce)
	in := registerOp{rec.Key, rec.Nonce, true}
	r.add(porcupine.Operation{ClientId: 1000 + client, Input: in, Call: call, Return: math.MaxInt64})
}

// Puts and Releases through killed, disconnected and slow nodes must be
// linearizable as one register per key.
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

// Concurrent publishers, each replacing the manifest that its instance has in
// force, must produce one chain of generations that never goes back at any
// instance.
func TestManifests(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		var r recorder
		watch := newGenerationWatch(t)
		work := func(c *cluster, rng *rand.Rand, client int) {
			for op := range opsPerClient {
				n := c.node(rng.IntN(nodeCount))
				watch.observe(n)
				r.publish(c, rng, n, client, op)
				watch.observe(n)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		}
		runHistory(t, seed, work, func(*cluster) {
			if !porcupine.CheckOperations(manifestModel.ToModel(), r.ops) {
				t.Errorf("seed %d: the history is not linearizable as one chain of manifests", seed)
			}
		})
	})
}

// publish proposes the child of the manifest that n has in force and records the
// Put.
func (r *recorder) publish(c *cluster, rng *rand.Rand, n *node.Node, client, op int) {
	in := publishOp{value: fmt.Sprintf("manifest of %d, %d", client, op)}
	if m, ok := n.Manifest(); ok {
		in.parentGeneration, _, _ = record.ParseManifestKey(m.Key)
		in.parentDigest = record.ManifestDigest(m.Value)
	}
	rec := record.Record{
		Key:   record.ManifestKey(in.parentGeneration+1, in.parentDigest),
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

// generationWatch checks that the generation of no node decreases.
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
		g.t.Errorf("generation of a node decreased from %d to %d", g.seen[n], now)
	}
	g.seen[n] = now
}

// billing counts the runs and holds the bills of each request.
type billing struct {
	mu    sync.Mutex
	runs  map[string]int
	bills map[string]record.Record
}

// Requests are sent repeatedly to several instances. Whoever wins the claim runs
// the request and puts its bill, which may fail; after the faults the bills are
// flushed from two buffers that hold all of them. Each request must run at most
// once, each that ran must be billed once, and no other may be billed.
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

// bill counts a run and puts its bill. The Put may fail in any way and its outcome
// is ignored. Sometimes the same bill is put twice.
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

// check flushes two buffers that hold all bills, exports the ledger, and checks
// that each request ran at most once and that exactly those that ran are billed.
func (b *billing) check(t *testing.T, c *cluster) {
	for request, n := range b.runs {
		if n > 1 {
			t.Errorf("seed %d: %s ran %d times, want at most once", c.seed, request, n)
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
			t.Errorf("seed %d: %d bills left after the flush, want none", c.seed, left)
		}
	}
	exported := map[string]int{}
	_, err := ledger.Export(context.Background(), c.fullLog().Client("export"), fold.DefaultConfig(), 0, func(bill ledger.ExportedBill) error {
		exported[bill.RequestID]++
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	for request := range b.runs {
		if exported[request] != 1 {
			t.Errorf("seed %d: %s was billed %d times, want 1", c.seed, request, exported[request])
		}
	}
	if len(exported) != len(b.runs) {
		t.Errorf("seed %d: %d requests were billed, %d ran, want equal numbers", c.seed, len(exported), len(b.runs))
	}
}
