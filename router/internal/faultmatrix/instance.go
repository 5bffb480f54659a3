package faultmatrix

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/api"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/publish"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// instance is one entry instance, assembled as in package daemon, but with
// hooks, with stubs for the rating service and the Recorder, and without the
// listing of backend servers and the sending of orders.
type instance struct {
	*node.Node
	b      *testbed
	name   string
	gate   *gate.Gate
	holder *manifest.Holder
	driver *driver.Driver
	peers  *peer.Node
	server *http.Server
	// publisher writes through hookStore.
	publisher *publish.Publisher
	// frozen simulates a paused process; see testbed.freeze.
	frozen atomic.Bool
	// readsFail makes reads of the log fail while appends succeed.
	readsFail  atomic.Bool
	cancel     context.CancelFunc
	killed     sync.Once
	goroutines sync.WaitGroup
	// generations holds the generations that came into force at this instance, in
	// order.
	generations []uint64
}

// start starts an instance and waits until it is ready.
func (b *testbed) start(name string) *instance {
	in := b.launch(name)
	<-in.Ready()
	return in
}

// launch starts an instance without waiting until it is ready.
func (b *testbed) launch(name string) *instance {
	b.t.Helper()
	b.net.bringUp(name)
	b.log.SetDisconnected(name, b.startDisconnected)
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{b: b, name: name, cancel: cancel}
	in.gate = gate.New(freshness.New(freshness.Config{Self: name, Bound: freshnessBound}), time.Now)
	cfg := decision.DefaultConfig()
	cfg.Seed = uint64(name[0])
	in.driver = driver.New(decision.NewWorld(cfg), noSink{})
	in.holder = manifest.NewHolder(func(x *manifest.Index) {
		in.generations = append(in.generations, x.Manifest.Generation)
		in.driver.Send(x.DecisionEvent())
	})
	in.gate.OnChange(func(m freshness.Mode) { in.driver.Send(gate.FreshnessEvent(m)) })
	in.startNode()
	in.peers = peer.New(peer.Config{Self: listedInstance(name), Dial: b.net.dialer(name), Interval: 2 * time.Second, Seed: cfg.Seed},
		peer.Deps{Store: in.Node, Instances: func() []wire.ListedInstance { return fleet }, Vouches: in, Events: in.driver})
	in.gate.SetHeldBillsFull(func() bool { return in.peers.HeldBillsFull(in.driver.OpenRequests()) })
	in.publisher = publish.New(hookStore{in}, in.holder, in.gate)
	b.mu.Lock()
	b.instances[name] = in
	b.allInstances = append(b.allInstances, in)
	b.mu.Unlock()
	in.spawn(func() { in.driver.Run(ctx) })
	in.spawn(func() { in.pollGate(ctx) })
	peerListener := b.net.listen(listedInstance(name).Peer)
	in.spawn(func() { _ = in.peers.Run(ctx, peerListener) })
	in.driver.Send(decision.ServersListed{Servers: servers})
	in.serveCallers()
	return in
}

func listedInstance(name string) wire.ListedInstance {
	for _, l := range fleet {
		if l.ID == name {
			return l
		}
	}
	panic("no instance " + name)
}

func (in *instance) spawn(f func()) { in.goroutines.Go(f) }

func (in *instance) startNode() {
	check := func(r record.Record, _ *fold.State) error { return manifest.CheckRecord(r) }
	n, err := node.New(hookLog{in.b.log.Client(in.name), in}, node.Config{Name: in.name},
		node.WithObserver(in), node.WithSeed(uint64(in.name[0])), node.WithValidator(record.ClassManifest, check))
	if err == nil {
		n.Watch(record.ClassManifest, func(c fold.Change) { _ = in.holder.Fold(c) })
		err = n.Start(context.Background())
	}
	if err != nil {
		in.b.t.Fatal(err)
	}
	in.Node = n
}

// pollGate calls the gate periodically, as the daemon does, so that its mode also
// changes by the passing of time alone.
func (in *instance) pollGate(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if !in.frozen.Load() {
			in.gate.SetLiveInstances([]string{"a", "b", "c"})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (in *instance) serveCallers() {
	client := upstream.NewClientWith(in.b.net.dialer(in.name))
	tokens, err := session.NewTokens(settings.Session{TTLSeconds: 60}, time.Now)
	if err != nil {
		in.b.t.Fatal(err)
	}
	store := hookStore{in}
	in.server = &http.Server{Handler: api.New(api.Deps{
		Driver:        in.driver,
		Manifests:     in.holder,
		Gate:          hookGate{in},
		Servers:       backendAddrs{},
		Upstream:      client,
		Store:         store,
		Biller:        billing.New(ledger.StoreLog{Store: store}, hookHolder{in}),
		SessionTokens: tokens,
		SessionNames:  session.NewNamedSessions(in.Node, time.Hour),
		Rater:         noRater{},
		Recorder:      noRecorder{},
		Limits:        api.Limits{MaxBodyBytes: 1 << 16, ReadTimeout: time.Minute, WriteTimeout: time.Minute, DefaultDeadline: 30 * time.Second, MaxDeadline: time.Minute},
	})}
	apiListener := in.b.net.listen(in.name + ":80")
	in.spawn(func() { _ = in.server.Serve(apiListener) })
	in.b.t.Cleanup(client.Close)
}
