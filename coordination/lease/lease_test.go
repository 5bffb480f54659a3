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

// managers starts n instances on one log, each with a Manager of one lease.
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

func wantCheck(t *testing.T, m *Manager, e FencingSupport, want CheckResult) uint64 {
	t.Helper()
	fence, got := m.Check(e)
	if got != want {
		t.Fatalf("%s, engine %d: refusal %d, want %d", m.cfg.Holder, e, got, want)
	}
	return fence
}

func wantTake(t *testing.T, m *Manager, want bool) {
	t.Helper()
	if got := m.Acquire(t.Context()); got != want {
		t.Fatalf("%s took the lease: %v, want %v", m.cfg.Holder, got, want)
	}
	synctest.Wait() // for the others to read it
}

func TestTakeRenewAndTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, _ := managers(t, 2)
		a, b := ms[0], ms[1]
		wantCheck(t, a, FencingEnforced, NotHolder)
		wantTake(t, a, true)
		wantTake(t, b, false)
		first := wantCheck(t, a, FencingEnforced, Allowed)
		wantCheck(t, a, FencingIgnored, WaitingForPredecessor)
		time.Sleep(5 * time.Second)
		wantTake(t, a, true)
		if second := wantCheck(t, a, FencingEnforced, Allowed); second <= first {
			t.Errorf("fencing numbers %d, then %d", first, second)
		}
		// A renewal does not begin the wait anew: 12.1 s after the first term.
		time.Sleep(7099 * time.Millisecond)
		wantCheck(t, a, FencingIgnored, WaitingForPredecessor)
		time.Sleep(2 * time.Millisecond)
		wantCheck(t, a, FencingIgnored, Allowed)
		// The holder stops ClockBound and PauseGuard before its end.
		time.Sleep(799 * time.Millisecond)
		wantCheck(t, a, FencingEnforced, Expired)
		wantTake(t, b, false)
		time.Sleep(2100 * time.Millisecond)
		wantTake(t, b, true)
		wantCheck(t, a, FencingEnforced, NotHolder)
		wantCheck(t, b, FencingEnforced, Allowed)
		wantCheck(t, b, FencingIgnored, WaitingForPredecessor)
	})
}

func TestHandOverNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, _ := managers(t, 2)
		a, b := ms[0], ms[1]
		wantTake(t, a, true)
		if b.HandOver(t.Context()) {
			t.Error("handed over by who does not hold it")
		}
		if !a.HandOver(t.Context()) {
			t.Fatal("not handed over")
		}
		wantCheck(t, a, FencingEnforced, NotHolder)
		time.Sleep(time.Second)
		wantTake(t, b, true)
		wantCheck(t, b, FencingIgnored, Allowed)
	})
}

// TestTwoTakeAtOnce: in a hundred rounds, since what goes wrong here depends on
// the order of goroutines.
func TestTwoTakeAtOnce(t *testing.T) {
	for range 100 {
		synctest.Test(t, takeAtOnce)
	}
}

func takeAtOnce(t *testing.T) {
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
		t.Errorf("%d holders", n)
	}
}

// TestLogDownLapses: who can't renew stops in time.
func TestLogDownLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, ms, _ := managers(t, 1)
		wantTake(t, ms[0], true)
		log.SetDown(true)
		time.Sleep(5 * time.Second)
		wantTake(t, ms[0], false)
		wantCheck(t, ms[0], FencingEnforced, Allowed)
		time.Sleep(3 * time.Second)
		wantCheck(t, ms[0], FencingEnforced, Expired)
	})
}

// TestTermCountsFromBeforeItsPut: the holder can't know when the log took it.
func TestTermCountsFromBeforeItsPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, ms, _ := managers(t, 1)
		log.SetSlow(time.Second)
		sent := time.Now()
		wantTake(t, ms[0], true)
		time.Sleep(time.Until(sent.Add(7899 * time.Millisecond)))
		wantCheck(t, ms[0], FencingEnforced, Allowed)
		time.Sleep(time.Millisecond)
		wantCheck(t, ms[0], FencingEnforced, Expired)
	})
}

// TestUnreadableTermBlocks: it takes its number and a whole duration.
func TestUnreadableTermBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ms, nodes := managers(t, 2)
		r := record.Record{Key: "lease/orders-a/1", Nonce: record.NewNonce(), Value: []byte("?")}
		if res := nodes[0].Put(t.Context(), r); res.Outcome != node.OutcomeWon {
			t.Fatal(res)
		}
		time.Sleep(time.Second)
		wantTake(t, ms[1], false)
		time.Sleep(10 * time.Second)
		wantTake(t, ms[1], true)
	})
}

func TestNewRefuses(t *testing.T) {
	for _, cfg := range []Config{{Holder: "a"}, {Name: "a/b", Holder: "a"}, {Name: "a"}} {
		if _, err := New(nil, cfg, nil); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%+v: %v", cfg, err)
		}
	}
}

// world is a log of terms read by contenders with lags and pauses of their own.
type simulation struct {
	rng        *rand.Rand
	now        time.Time
	terms      []term
	contenders []*contender
}

type contender struct {
	state   state
	read    int
	pending *pendingPut
	// lastOrder is when an order sent under the last check may arrive.
	lastOrder time.Time
}

// proposed is a Put that lands in the log at the time lands.
type pendingPut struct {
	sentAt  time.Time
	landsAt time.Time
	term    term
}

// step lets one contender act: read some of the log, take or renew, or send an
// order that arrives up to PauseGuard after its check.
func (w *simulation) step(t *testing.T) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	i := w.rng.IntN(len(w.contenders))
	c := w.contenders[i]
	for _, p := range w.contenders {
		w.land(p)
	}
	for c.read < len(w.terms) && w.rng.IntN(4) > 0 {
		c.readNext(w)
	}
	if c.pending == nil && c.state.mayAcquire(w.now) && w.rng.IntN(2) == 0 {
		late := time.Duration(w.rng.IntN(3000)) * time.Millisecond
		next := term{number: c.state.current.number + 1, holder: c.state.cfg.Holder, duration: c.state.cfg.Duration}
		c.pending = &pendingPut{sentAt: w.now, landsAt: w.now.Add(late), term: next}
	}
	if _, refusal := c.state.check(w.now, FencingIgnored); refusal != Allowed {
		return
	}
	for j, other := range w.contenders {
		if j != i && !w.now.After(other.lastOrder) {
			t.Fatalf("%d may order at %v while an order of %d may arrive until %v", i, w.now, j, other.lastOrder)
		}
	}
	c.lastOrder = w.now.Add(c.state.cfg.MaxPause)
}

// land appends a pending Put once its time has come, if its term is free.
func (w *simulation) land(c *contender) {
	p := c.pending
	if p == nil || p.term.offset != 0 || w.now.Before(p.landsAt) {
		return
	}
	for _, have := range w.terms {
		if have.number == p.term.number {
			c.pending = nil
			return
		}
	}
	p.term.offset = uint64(len(w.terms) + 1)
	w.terms = append(w.terms, p.term)
}

func (c *contender) readNext(w *simulation) {
	next := w.terms[c.read]
	c.read++
	var sent time.Time
	if p := c.pending; p != nil && p.term.offset == next.offset {
		sent = p.sentAt
		c.pending = nil
	}
	c.state.observeTerm(w.now, next, sent)
}

// TestOneOrderAtATime: over seeded runs of lagging readers, late appends and
// pauses up to PauseGuard, an engine that ignores fencing numbers never gets
// orders of two holders crossed.
func TestOneOrderAtATime(t *testing.T) {
	orders := 0
	for seed := range uint64(300) {
		w := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_800_000_000, 0)}
		for i := range 3 {
			cfg := Config{Name: "x", Holder: fmt.Sprint(i)}.withDefaults()
			w.contenders = append(w.contenders, &contender{state: state{cfg: cfg}})
		}
		for range 400 {
			w.step(t)
		}
		for _, c := range w.contenders {
			if !c.lastOrder.IsZero() {
				orders++
			}
		}
	}
	if orders < 300 {
		t.Errorf("only %d contenders ever sent an order", orders)
	}
}

func FuzzParse(f *testing.F) {
	m := &Manager{cfg: Config{Name: "x", Holder: "a"}.withDefaults()}
	f.Add("lease/x/1", []byte{0x82, 0x61, 0x61, 0x01})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		got, ok := m.parseTerm(fold.Register{Key: record.Key(key), Value: value})
		if ok && got.duration < 0 {
			t.Errorf("a term of %v", got.duration)
		}
	})
}
