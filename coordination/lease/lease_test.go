package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// managers starts n instances on one log, each with a Manager of the same
// lease.
func managers(t *testing.T, n int) (*logtest.Log, []*Manager, []*node.Node) {
	log := logtest.New()
	var ms []*Manager
	var nodes []*node.Node
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		nd, err := node.New(log.Client(name), node.Config{Name: name}, node.WithSeed(uint64(i)))
		if err != nil {
			t.Fatal(err)
		}
		if err := nd.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-nd.Ready()
		m, err := New(nd, Config{Name: "orders-a", Holder: name}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			m.Close()
			_ = nd.Stop(t.Context())
		})
		ms, nodes = append(ms, m), append(nodes, nd)
	}
	return log, ms, nodes
}

func wantCheck(t *testing.T, m *Manager, fencing FencingSupport, want CheckResult) uint64 {
	t.Helper()
	fence, got := m.Check(fencing)
	if got != want {
		t.Fatalf("%s, fencing support %d: check result %d, want %d", m.cfg.Holder, fencing, got, want)
	}
	return fence
}

func wantAcquire(t *testing.T, m *Manager, want bool) {
	t.Helper()
	if got := m.Acquire(t.Context()); got != want {
		t.Fatalf("%s acquired the lease: %v, want %v", m.cfg.Holder, got, want)
	}
	synctest.Wait() // for the other instances to read the term
}

// A renewal must get a higher fencing number, the holder must stop before its term
// ends, and another instance must wait for that end. Otherwise two instances could
// send orders at the same time.
func TestAcquireRenewAndTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, _ := managers(t, 2)
		a, b := ms[0], ms[1]
		wantCheck(t, a, FencingEnforced, NotHolder)
		wantAcquire(t, a, true)
		wantAcquire(t, b, false)
		first := wantCheck(t, a, FencingEnforced, Allowed)
		wantCheck(t, a, FencingIgnored, WaitingForPredecessor)
		time.Sleep(5 * time.Second)
		wantAcquire(t, a, true)
		if second := wantCheck(t, a, FencingEnforced, Allowed); second <= first {
			t.Errorf("fencing number is %d, then %d after a renewal, want a higher one", first, second)
		}
		// A renewal does not restart the wait: it ends 12.1 s after the first term.
		time.Sleep(7099 * time.Millisecond)
		wantCheck(t, a, FencingIgnored, WaitingForPredecessor)
		time.Sleep(2 * time.Millisecond)
		wantCheck(t, a, FencingIgnored, Allowed)
		// The holder stops MaxClockDrift and MaxPause before the end of its term.
		time.Sleep(799 * time.Millisecond)
		wantCheck(t, a, FencingEnforced, Expired)
		wantAcquire(t, b, false)
		time.Sleep(2100 * time.Millisecond)
		wantAcquire(t, b, true)
		wantCheck(t, a, FencingEnforced, NotHolder)
		wantCheck(t, b, FencingEnforced, Allowed)
		wantCheck(t, b, FencingIgnored, WaitingForPredecessor)
	})
}

// After a hand-over no order of the previous holder is in flight, so the next holder
// must not have to wait, not even for servers that ignore fencing numbers.
func TestHandOverNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, _ := managers(t, 2)
		a, b := ms[0], ms[1]
		wantAcquire(t, a, true)
		if b.HandOver(t.Context()) {
			t.Error("an instance that does not hold the lease handed it over")
		}
		if !a.HandOver(t.Context()) {
			t.Fatal("the holder could not hand the lease over")
		}
		wantCheck(t, a, FencingEnforced, NotHolder)
		time.Sleep(time.Second)
		wantAcquire(t, b, true)
		wantCheck(t, b, FencingIgnored, Allowed)
	})
}

// Several instances acquire a free lease at the same time; exactly one must
// hold it. A hundred rounds, since a fault here would depend on the scheduling
// of goroutines.
func TestConcurrentAcquireHasOneWinner(t *testing.T) {
	for range 100 {
		synctest.Test(t, acquireAtOnce)
	}
}

func acquireAtOnce(t *testing.T) {
	_, ms, _ := managers(t, 3)
	won := make(chan bool, len(ms))
	for _, m := range ms {
		go func() { won <- m.Acquire(t.Context()) }()
	}
	n := 0
	for range ms {
		if <-won {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d instances hold the lease, want 1", n)
	}
}

// A holder that cannot renew since the log is down must stop before its term ends.
func TestLeaseExpiresWhileLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, ms, _ := managers(t, 1)
		wantAcquire(t, ms[0], true)
		log.SetDown(true)
		time.Sleep(5 * time.Second)
		wantAcquire(t, ms[0], false)
		wantCheck(t, ms[0], FencingEnforced, Allowed)
		time.Sleep(3 * time.Second)
		wantCheck(t, ms[0], FencingEnforced, Expired)
	})
}

// The holder counts its term from before the Put, since it cannot know when the
// log appended it: counted from the reply, a slow append would prolong the
// term.
func TestTermCountsFromBeforeItsPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, ms, _ := managers(t, 1)
		log.SetSlow(time.Second)
		sent := time.Now()
		wantAcquire(t, ms[0], true)
		time.Sleep(time.Until(sent.Add(7899 * time.Millisecond)))
		wantCheck(t, ms[0], FencingEnforced, Allowed)
		time.Sleep(time.Millisecond)
		wantCheck(t, ms[0], FencingEnforced, Expired)
	})
}

// A term that cannot be decoded has an unknown holder. It must take its number and
// block the lease for one Duration.
func TestUnreadableTermBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, nodes := managers(t, 2)
		r := record.Record{Key: "lease/orders-a/1", Nonce: record.NewNonce(), Value: []byte("?")}
		if res := nodes[0].Put(t.Context(), r); res.Outcome != node.OutcomeWon {
			t.Fatal(res)
		}
		time.Sleep(time.Second)
		wantAcquire(t, ms[1], false)
		time.Sleep(10 * time.Second)
		wantAcquire(t, ms[1], true)
	})
}

func TestNewRefuses(t *testing.T) {
	for _, cfg := range []Config{{Holder: "a"}, {Name: "a/b", Holder: "a"}, {Name: "a"}} {
		if _, err := New(nil, cfg, nil); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("New with %+v: error %v, want ErrInvalidConfig", cfg, err)
		}
	}
}

// simulation is a log of terms and contenders that read it with lags and
// pauses.
type simulation struct {
	rng        *rand.Rand
	now        time.Time
	terms      []term
	contenders []*contender
}

type contender struct {
	state state
	// nextTerm is the index in simulation.terms of the next term to read.
	nextTerm int
	pending  *pendingPut
	// lastOrder is the latest time at which an order of the last check may arrive.
	lastOrder time.Time
}

// pendingPut is a Put that is appended to the log at appendsAt.
type pendingPut struct {
	sentAt    time.Time
	appendsAt time.Time
	term      term
}

// step lets one contender act: read part of the log, acquire or renew, or send
// an order that arrives up to MaxPause after its check.
func (sim *simulation) step(t *testing.T) {
	sim.now = sim.now.Add(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
	i := sim.rng.IntN(len(sim.contenders))
	c := sim.contenders[i]
	for _, each := range sim.contenders {
		sim.appendDue(each)
	}
	for c.nextTerm < len(sim.terms) && sim.rng.IntN(4) > 0 {
		c.readNext(sim)
	}
	if c.pending == nil && c.state.mayAcquire(sim.now) && sim.rng.IntN(2) == 0 {
		late := time.Duration(sim.rng.IntN(3000)) * time.Millisecond
		next := term{number: c.state.current.number + 1, holder: c.state.cfg.Holder, duration: c.state.cfg.Duration}
		c.pending = &pendingPut{sentAt: sim.now, appendsAt: sim.now.Add(late), term: next}
	}
	if _, result := c.state.check(sim.now, FencingIgnored); result != Allowed {
		return
	}
	for j, other := range sim.contenders {
		if j != i && !sim.now.After(other.lastOrder) {
			t.Fatalf("contender %d may send an order at %v, while an order of %d may arrive until %v", i, sim.now, j, other.lastOrder)
		}
	}
	c.lastOrder = sim.now.Add(c.state.cfg.MaxPause)
}

// appendDue appends c's pending Put once its time has come, unless its term is
// taken.
func (sim *simulation) appendDue(c *contender) {
	p := c.pending
	if p == nil || p.term.offset != 0 || sim.now.Before(p.appendsAt) {
		return
	}
	for _, have := range sim.terms {
		if have.number == p.term.number {
			c.pending = nil
			return
		}
	}
	p.term.offset = uint64(len(sim.terms) + 1)
	sim.terms = append(sim.terms, p.term)
}

func (c *contender) readNext(sim *simulation) {
	next := sim.terms[c.nextTerm]
	c.nextTerm++
	var sent time.Time
	if p := c.pending; p != nil && p.term.offset == next.offset {
		sent = p.sentAt
		c.pending = nil
	}
	c.state.observeTerm(sim.now, next, sent)
}

// A backend server that ignores fencing numbers must never get interleaved
// orders of two holders. Seeded runs of lagging readers, late appends and
// pauses up to MaxPause try to bring that about.
func TestOneOrderAtATime(t *testing.T) {
	orders := 0
	for seed := range uint64(300) {
		sim := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_800_000_000, 0)}
		for i := range 3 {
			cfg := Config{Name: "x", Holder: fmt.Sprint(i)}.withDefaults()
			sim.contenders = append(sim.contenders, &contender{state: state{cfg: cfg}})
		}
		for range 400 {
			sim.step(t)
		}
		for _, c := range sim.contenders {
			if !c.lastOrder.IsZero() {
				orders++
			}
		}
	}
	if orders < 300 {
		t.Errorf("%d contenders sent an order, want at least 300", orders)
	}
}

// Guards against a panic on any register, and against a negative duration.
func FuzzParse(f *testing.F) {
	m := &Manager{cfg: Config{Name: "x", Holder: "a"}.withDefaults()}
	f.Add("lease/x/1", []byte{0x82, 0x61, 0x61, 0x01})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		got, ok := m.parseTerm(fold.Register{Key: record.Key(key), Value: value})
		if ok && got.duration < 0 {
			t.Errorf("term has the negative duration %v", got.duration)
		}
	})
}
