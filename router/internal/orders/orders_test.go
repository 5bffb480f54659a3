package orders

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"masticplank.example/coordination/lease"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/wire"
)

// TestPlan checks single plans. Above all, an engine must not unload a version before
// it has those placed on it, else it would serve nothing in between.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name       string
		engines    []Engine
		placements []Placement
		maxLoads   int
		want       []Order
	}{
		{"nothing to do", []Engine{{ID: "a", Versions: []string{"m@1"}}}, []Placement{{"m@1", 1}}, 4, nil},
		{"load before unload", []Engine{{ID: "a", Versions: []string{"m@1"}}}, []Placement{{"m@2", 1}}, 4,
			[]Order{{Engine: "a", Versions: []string{"m@1", "m@2"}, LoadCount: 1}}},
		{"unload what is not placed", []Engine{{ID: "a", Versions: []string{"m@1", "m@2"}}}, []Placement{{"m@2", 1}}, 4,
			[]Order{{Engine: "a", Versions: []string{"m@2"}}}},
		{"no loads allowed, nothing unloaded", []Engine{{ID: "a", Versions: []string{"m@1"}}}, []Placement{{"m@2", 1}}, 0, nil},
		{"leaving engines get no orders", []Engine{{ID: "a", Leaving: true}, {ID: "b"}}, []Placement{{"m@1", 2}}, 4,
			[]Order{{Engine: "b", Versions: []string{"m@1"}, LoadCount: 1}}},
		{"spread", []Engine{{ID: "a", Versions: []string{"m@1"}}, {ID: "b"}}, []Placement{{"m@1", 1}, {"n@1", 1}}, 4,
			[]Order{{Engine: "b", Versions: []string{"n@1"}, LoadCount: 1}}},
	} {
		if got := Plan(c.engines, c.placements, c.maxLoads); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestPlansConverge applies plan after plan to random fleets. Each plan must keep
// to its limit of loads, and the plans must reach the placements and then be empty;
// else engines would go on loading weights without end.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []string{"a@1", "a@2", "b@1", "c@1"}
		engines := make([]Engine, rapid.IntRange(1, 6).Draw(t, "engines"))
		for i := range engines {
			engines[i].ID = fmt.Sprintf("e%d", i)
			engines[i].Versions = rapid.SliceOfNDistinct(rapid.SampledFrom(versions), 0, 4, rapid.ID[string]).Draw(t, "loaded")
		}
		var placements []Placement
		for _, v := range versions {
			if n := rapid.IntRange(0, 4).Draw(t, v); n > 0 {
				placements = append(placements, Placement{v, n})
			}
		}
		maxLoads := rapid.IntRange(1, 3).Draw(t, "loads")
		const rounds = 40
		for round := range rounds {
			orders := Plan(engines, placements, maxLoads)
			if len(orders) == 0 {
				break
			}
			if round == rounds-1 {
				t.Fatalf("the last round still has orders: %+v", orders)
			}
			added := 0
			for _, o := range orders {
				added += o.LoadCount
				i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == o.Engine })
				engines[i].Versions = o.Versions
			}
			if added > maxLoads {
				t.Fatalf("%d loads in one plan, want at most %d", added, maxLoads)
			}
		}
		for _, placement := range placements {
			have := 0
			for _, e := range engines {
				if hasVersion(e, placement.Version) {
					have++
				}
			}
			if have != min(placement.Servers, len(engines)) {
				t.Errorf("%s on %d engines, want %d or, in a smaller fleet, all", placement.Version, have, placement.Servers)
			}
		}
	})
}

// fakeFleet implements Manifests and EngineReports with fixed values.
type fakeFleet struct {
	index   *manifest.Index
	servers []wire.ListedServer
}

func (f fakeFleet) Current() *manifest.Index           { return f.index }
func (f fakeFleet) Engines(string) []wire.ListedServer { return f.servers }

func newFakeFleet(addr string) fakeFleet {
	m := manifest.Manifest{Orders: &manifest.Orders{
		Placements:    []manifest.Placement{{Version: "large@1", Servers: 1}},
		FencedDomains: []string{"gasabo"},
	}}
	return fakeFleet{
		index:   manifest.NewIndex(m, ""),
		servers: []wire.ListedServer{{ID: "e1", Addr: addr, Domain: "gasabo", Versions: []string{"small@1", "large@1"}}},
	}
}

// fakeLease returns preset results; asked is the last argument of Check.
type fakeLease struct {
	acquires bool
	fence    uint64
	result   lease.CheckResult
	asked    lease.FencingSupport
}

func (l *fakeLease) Acquire(context.Context) bool  { return l.acquires }
func (l *fakeLease) HandOver(context.Context) bool { return true }
func (l *fakeLease) Check(e lease.FencingSupport) (uint64, lease.CheckResult) {
	l.asked = e
	return l.fence, l.result
}

// TestSenderChecksTheLease checks that an order is sent only if the lease allows it
// right before, with the lease's fencing number. Engines of a domain that the
// manifest does not list as fenced must be taken to ignore the number; else two
// holders could order them at the same time.
func TestSenderChecksTheLease(t *testing.T) {
	for _, c := range []struct {
		name   string
		domain string
		lease  fakeLease
		sent   string
		asked  lease.FencingSupport
	}{
		{"holder", "gasabo", fakeLease{acquires: true, fence: 7}, "7", lease.FencingEnforced},
		{"engines ignore fencing", "kicukiro", fakeLease{acquires: true, fence: 7}, "7", lease.FencingIgnored},
		{"not the holder", "gasabo", fakeLease{}, "", 0},
		{"expired after the plan", "gasabo", fakeLease{acquires: true, result: lease.Expired}, "", lease.FencingEnforced},
		{"waits after taking over", "kicukiro", fakeLease{acquires: true, result: lease.WaitingForPredecessor}, "", lease.FencingIgnored},
	} {
		sent := ""
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			sent = r.Header.Get(wire.HeaderFencing)
		}))
		fleet := newFakeFleet(strings.TrimPrefix(srv.URL, "http://"))
		NewSender(c.domain, &c.lease, fleet, fleet, nil).Reconcile(context.Background())
		if sent != c.sent || c.lease.asked != c.asked {
			t.Errorf("%s: sent fencing number %q, lease checked for %v", c.name, sent, c.lease.asked)
		}
		srv.Close()
	}
}

// TestOrderOfOldLeaseHolderIsRefused pauses a holder between its check and its order
// until its lease has expired. Another instance takes over and sends an order; the old
// holder's order then reaches an engine that checks fencing numbers, which must
// refuse it.
func TestOrderOfOldLeaseHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		first, second := newLeaseManager(t, log, "entry-1"), newLeaseManager(t, log, "entry-2")
		if !first.Acquire(t.Context()) {
			t.Fatal("the first instance did not get the lease")
		}
		oldFence, result := first.Check(lease.FencingEnforced)
		if result != lease.Allowed {
			t.Fatalf("check by the first instance: %v, want Allowed", result)
		}
		// first pauses here, between its check and its order.
		for !second.Acquire(t.Context()) {
			time.Sleep(time.Second)
		}
		newFence, _ := second.Check(lease.FencingEnforced)
		if newFence <= oldFence {
			t.Fatalf("fencing number %d after %d, want a higher one", newFence, oldFence)
		}
		e := engine.New(engine.Config{CheckFencing: true})
		if code := putTo(e, newFence, "large@1"); code != http.StatusOK {
			t.Errorf("order of the new holder: status %d, want 200", code)
		}
		if code := putTo(e, oldFence, "small@1"); code != http.StatusConflict {
			t.Errorf("order of the old holder: status %d, want 409", code)
		}
		if _, result := first.Check(lease.FencingEnforced); result == lease.Allowed {
			t.Error("the old holder's check still allows an order")
		}
	})
}

// newLeaseManager returns the lease manager of an instance that follows log.
func newLeaseManager(t *testing.T, log *logtest.Log, name string) *lease.Manager {
	t.Helper()
	n, err := node.New(log.Client(name), node.Config{Name: name})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-n.Ready()
	m, err := lease.New(n, lease.Config{Name: "orders-gasabo", Holder: name}, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		m.Close()
		_ = n.Stop(context.Background())
	})
	return m
}

// putTo sends an engine an order and returns the status of its answer.
func putTo(e *engine.Server, fence uint64, version string) int {
	body := strings.NewReader(fmt.Sprintf(`{"versions":[%q]}`, version))
	r := httptest.NewRequest(http.MethodPut, "/orders", body)
	r.Header.Set(wire.HeaderFencing, fmt.Sprint(fence))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Code
}
