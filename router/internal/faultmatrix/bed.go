package faultmatrix

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/platformlog/logtest"
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

// bound is the freshness bound of all instances.
const bound = 5 * time.Second

// bed is a fleet on one in-memory log, with its backend servers.
type bed struct {
	t   *testing.T
	log *logtest.Log
	net *network

	mu        sync.Mutex
	instances map[string]*instance
	// all has also those that a later instance of the same name replaced.
	all []*instance
	// faults holds what happens at a step of the first request or publication
	// at instance a, once.
	faults map[string]func()
	// asked counts the questions to a's gate since the request began.
	asked int
	// leaving are backend servers that leave; nextLeaves marks whichever is
	// called next; behaviour is what the next run does.
	leaving    map[string]time.Time
	nextLeaves bool
	nobodyRuns bool
	behaviour  string
	serving    string
	// kind and key are those of the cell's request.
	kind, key string
	runs      []run
	answers   []answer
	// withdrawn has when a version's withdrawal was in force everywhere.
	withdrawn map[string]time.Time
	// slack is the bound in cells in which an instance may not have heard.
	slack time.Duration
	// startsCut: the next instance starts cut off from the log.
	startsCut bool
	// drained is told how many bills a planned stop left at the instance.
	drained chan int
}

// run is one run at a backend server.
type run struct {
	request, version, server string
	at                       time.Time
}

// fleet is the list of live instances.
var fleet = []wire.ListedInstance{
	{ID: "a", Peer: "a:81", Domain: "salle-rimouski"},
	{ID: "b", Peer: "b:81", Domain: "salle-matane"},
	{ID: "c", Peer: "c:81", Domain: "salle-riviere"},
}

// instance is one entry instance, put together as the daemon does.
type instance struct {
	*node.Node
	b      *bed
	name   string
	gate   *gate.Gate
	holder *manifest.Holder
	driver *driver.Driver
	peers  *peer.Node
	server *http.Server
	// publisher proposes through the hooked store.
	publisher *publish.Publisher
	frozen    atomic.Bool
	// deaf instances append, but do not hear the log.
	deaf   atomic.Bool
	end    context.CancelFunc
	killed sync.Once
	ended  sync.WaitGroup
	// generations are those that came in force here, in order.
	generations []uint64
}

func newBed(t *testing.T) *bed {
	b := &bed{
		t:         t,
		log:       logtest.New(),
		net:       newNetwork(),
		instances: map[string]*instance{},
		faults:    map[string]func(){},
		leaving:   map[string]time.Time{},
		withdrawn: map[string]time.Time{},
		drained:   make(chan int, 1),
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.serve(name)
	}
	t.Cleanup(b.stop)
	return b
}

// begun is a bed with three instances and the first manifest in force.
func begun(t *testing.T) *bed {
	b := newBed(t)
	for _, l := range fleet {
		b.start(l.ID)
	}
	if r := b.instances["b"].publisher.Publish(t.Context(), first(), true); r.Outcome.Code != "accepted" {
		t.Fatalf("the first manifest: %+v", r)
	}
	time.Sleep(time.Second)
	return b
}

func (b *bed) stop() {
	for _, in := range b.all {
		b.kill(in)
	}
	for _, in := range b.all {
		in.ended.Wait()
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.net.lose(name)
	}
	b.net.close()
}

// start starts an instance and waits until it is ready.
func (b *bed) start(name string) *instance {
	in := b.begin(name)
	<-in.Ready()
	return in
}

// begin starts an instance without waiting for it.
func (b *bed) begin(name string) *instance {
	b.t.Helper()
	b.net.revive(name)
	b.log.Cut(name, b.startsCut)
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{b: b, name: name, end: cancel}
	in.gate = gate.New(freshness.New(freshness.Config{Self: name, Bound: bound}), time.Now)
	cfg := decision.DefaultConfig()
	cfg.Seed = uint64(name[0])
	in.driver = driver.New(decision.NewWorld(cfg), noSink{})
	in.holder = manifest.NewHolder(func(x *manifest.Index) {
		in.generations = append(in.generations, x.Manifest.Generation)
		in.driver.Send(x.Tables())
	})
	in.gate.OnChange(func(m freshness.Mode) { in.driver.Send(gate.Event(m)) })
	in.startNode()
	in.peers = peer.New(peer.Config{Self: self(name), Dial: b.net.dialer(name), Interval: 2 * time.Second, Seed: cfg.Seed},
		peer.Deps{Store: in.Node, Instances: func() []wire.ListedInstance { return fleet }, Vouches: in, Events: in.driver})
	in.gate.SetFull(in.peers.Full)
	in.publisher = publish.New(hookStore{in}, in.holder, in.gate)
	b.mu.Lock()
	b.instances[name] = in
	b.all = append(b.all, in)
	b.mu.Unlock()
	in.goes(func() { in.driver.Run(ctx) })
	in.goes(func() { in.look(ctx) })
	others := b.net.listen(self(name).Peer)
	in.goes(func() { _ = in.peers.Run(ctx, others) })
	in.driver.Send(decision.ServersListed{Servers: servers})
	in.serveCallers()
	return in
}

func self(name string) wire.ListedInstance {
	for _, l := range fleet {
		if l.ID == name {
			return l
		}
	}
	panic("no instance " + name)
}

func (in *instance) goes(f func()) { in.ended.Go(f) }

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

// look looks for the lapse that comes by time alone, as the daemon does.
func (in *instance) look(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if !in.frozen.Load() {
			in.gate.Live([]string{"a", "b", "c"})
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
		Driver:    in.driver,
		Manifests: in.holder,
		Gate:      hookGate{in},
		Servers:   addresses{},
		Upstream:  client,
		Store:     store,
		Biller:    billing.New(ledger.StoreLog{Store: store}, hookHolder{in}),
		Tokens:    tokens,
		Names:     session.NewNames(in.Node, time.Hour),
		Rater:     noRater{},
		Recorder:  noRecorder{},
		Limits:    api.Limits{MaxBody: 1 << 16, ReadTimeout: time.Minute, WriteTimeout: time.Minute, DefaultDeadline: 30 * time.Second, MaxDeadline: time.Minute},
	})}
	callers := in.b.net.listen(in.name + ":80")
	in.goes(func() { _ = in.server.Serve(callers) })
	in.b.t.Cleanup(client.Close)
}

// kill ends an instance as the death of its process does: nothing it does from
// now on reaches anybody. Its goroutines are ended later, without a flush.
func (b *bed) kill(in *instance) {
	in.killed.Do(func() {
		b.log.Cut(in.name, true)
		b.net.lose(in.name)
		in.end()
		in.goes(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = in.server.Close()
			_ = in.Stop(ctx)
		})
	})
}

// isolate cuts an instance from its peers.
func (b *bed) isolate(name string) {
	for _, l := range fleet {
		if l.ID != name {
			b.net.sever(name, l.ID)
		}
	}
}

// freeze holds an instance still while f runs: it looks at no clock and hears
// nothing, and is as it was when f has ended.
func (b *bed) freeze(in *instance, f func()) {
	in.frozen.Store(true)
	b.log.Cut(in.name, true)
	b.isolate(in.name)
	f()
	b.net.mend()
	b.log.Cut(in.name, false)
	in.frozen.Store(false)
}

// drain is a planned stop, in the daemon's order.
func (b *bed) drain(in *instance) {
	_ = in.server.Shutdown(context.Background())
	for in.driver.Open() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	b.drained <- in.peers.Drain(context.Background())
	b.kill(in)
}

// heal ends all faults and lets the fleet settle.
func (b *bed) heal() {
	b.log.SetDown(false)
	b.log.SetSlow(0)
	b.net.mend()
	b.mu.Lock()
	b.nobodyRuns = false
	b.mu.Unlock()
	for _, in := range b.instances {
		if !b.net.isDown(in.name) {
			b.log.Cut(in.name, false)
		}
	}
	time.Sleep(4 * time.Second)
	synctest.Wait()
}

// plan sets the fault of a step. met fails the cell where the step did not come,
// and returns once the fault is over.
func (b *bed) plan(step string, fault func()) (met func()) {
	over := make(chan struct{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[step] = func() {
		defer close(over)
		fault()
	}
	return func() {
		b.t.Helper()
		b.mu.Lock()
		_, left := b.faults[step]
		b.mu.Unlock()
		if left {
			b.t.Fatalf("the step %q was not met", step)
		}
		<-over
	}
}

// at is a step of instance in: the fault planned for it happens now.
func (b *bed) at(in *instance, step string) {
	if in != nil && in.name != "a" {
		return
	}
	b.mu.Lock()
	fault := b.faults[step]
	delete(b.faults, step)
	b.mu.Unlock()
	if fault != nil {
		fault()
	}
}

func (b *bed) planned(in *instance, step string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return in.name == "a" && b.faults[step] != nil
}

// The hooks below stand where the daemon has the part itself.

type hookStore struct{ *instance }

// Status is what billing asks first.
func (s hookStore) Status() node.Status {
	s.b.at(s.instance, "bill")
	return s.Node.Status()
}

func (s hookStore) Put(ctx context.Context, r record.Record) node.Result {
	switch r.Key.Class() {
	case record.ClassClaim:
		s.b.at(s.instance, "claim")
	case record.ClassManifest:
		s.b.at(s.instance, "publish")
	}
	res := s.Node.Put(ctx, r)
	if res.Outcome != node.OutcomeWon {
		return res
	}
	switch r.Key.Class() {
	case record.ClassClaim:
		s.b.at(s.instance, "claimed")
	case record.ClassBill:
		s.b.at(s.instance, "final frame")
	case record.ClassManifest:
		s.b.at(s.instance, "push")
	}
	return res
}

type hookHolder struct{ *instance }

func (h hookHolder) Hold(ctx context.Context, r record.Record) error {
	err := h.peers.Hold(ctx, r)
	if err == nil {
		h.b.at(h.instance, "final frame")
	}
	return err
}

type hookGate struct{ *instance }

func (g hookGate) MayRun(idempotent bool) decision.RefusalReason {
	g.b.mu.Lock()
	g.b.asked++
	asked := g.b.asked
	g.b.mu.Unlock()
	switch asked {
	case 1:
		g.b.at(g.instance, "admit")
	case 2:
		g.b.at(g.instance, "dispatch")
	}
	return g.gate.MayRun(idempotent)
}

type hookLog struct {
	*logtest.Client
	in *instance
}

// Append is the step "read back": the record is in the log, and its writer does
// not hear of it before the fault has happened.
func (l hookLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.in.b.planned(l.in, "read back") {
		return l.Client.Append(ctx, data)
	}
	l.in.deaf.Store(true)
	offset, err := l.Client.Append(ctx, data)
	l.in.b.at(l.in, "read back")
	l.in.deaf.Store(false)
	return offset, err
}

func (l hookLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platformlog.Page, error) {
	page, err := l.Client.Read(ctx, from, limit, wait)
	if l.in.deaf.Load() {
		return platformlog.Page{}, platformlog.ErrUnavailable
	}
	return page, err
}

// The observer's methods, and the peers' words, find a frozen instance deaf.

func (in *instance) HeadRead(at time.Time, head uint64) {
	if !in.frozen.Load() {
		in.gate.HeadRead(at, head)
	}
}

func (in *instance) Folded(next uint64) {
	if !in.frozen.Load() {
		in.gate.Folded(next)
	}
}

func (in *instance) ReadFailed(at time.Time) {
	if !in.frozen.Load() {
		in.gate.ReadFailed(at)
	}
}

func (in *instance) Vouched(v freshness.Vouch) {
	if !in.frozen.Load() {
		in.gate.Vouched(v)
	}
}

type noSink struct{}

func (noSink) ShareVerdict(decision.VersionVerdict) {}
func (noSink) ShareLeaving(decision.ServerID)       {}
func (noSink) NoteEjection(decision.NoteEjection)   {}
func (noSink) Quarantine(decision.Quarantine)       {}

type noRecorder struct{}

func (noRecorder) Observe(api.Observation) {}

type noRater struct{}

func (noRater) Rate(context.Context, wire.RateRequest) (float64, error) { return 0, io.EOF }
