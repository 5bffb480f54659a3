package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// waitTimeout bounds waits for conditions that normally hold within milliseconds.
const waitTimeout = 30 * time.Second

const (
	teamKey = "loom"
	prompt  = `{"model":"draft","messages":[{"role":"user","content":"a twill"}],"max_tokens":4}`
)

// fixture is a Server with a real decision.World and node over an in-memory log,
// and one backend server whose handler each test sets.
type fixture struct {
	t       testing.TB
	log     *logtest.Log
	node    *node.Node
	gate    *fakeGate
	holder  *fakeHolder
	driver  *driver.Driver
	server  *httptest.Server
	backend *httptest.Server
	// executions counts the requests that reached the backend server and were
	// not refused by it.
	executions atomic.Int64
	// connections counts the connections opened to the backend server.
	connections  atomic.Int64
	handler      atomic.Value
	index        atomic.Pointer[manifest.Index]
	writeTimeout time.Duration
}

// Current implements Manifests.
func (f *fixture) Current() *manifest.Index { return f.index.Load() }

// Addr implements Servers.
func (f *fixture) Addr(decision.ServerID) (string, bool) {
	return strings.TrimPrefix(f.backend.URL, "http://"), true
}

// ObserveLoad implements Servers.
func (f *fixture) ObserveLoad(decision.ServerID, string) {}

// fakeGate allows the first calls of MayRun and refuses the others for a set reason.
type fakeGate struct {
	mu     sync.Mutex
	reason decision.RefusalReason
	// calls counts the calls of MayRun; allowed is how many of them are allowed.
	calls, allowed int
}

func (g *fakeGate) MayRun(bool) decision.RefusalReason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	if g.calls > g.allowed {
		return g.reason
	}
	return ""
}

// refuse makes the gate allow the given number of calls and then refuse for reason.
func (g *fakeGate) refuse(reason decision.RefusalReason, allowed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reason, g.calls, g.allowed = reason, 0, allowed
}

// fakeHolder counts the bills that it holds, or fails as if no peer were reachable.
type fakeHolder struct {
	held  atomic.Int64
	fails atomic.Bool
}

func (h *fakeHolder) Hold(context.Context, record.Record) error {
	if h.fails.Load() {
		return errors.New("no peer")
	}
	h.held.Add(1)
	return nil
}

type noRecorder struct{}

func (noRecorder) Observe(Observation) {}

type noRater struct{}

func (noRater) Rate(context.Context, wire.RateRequest) (float64, error) {
	return 0, context.DeadlineExceeded
}

type noSink struct{}

func (noSink) ShareVerdict(decision.VersionVerdict)   {}
func (noSink) ShareLeaving(decision.ServerID)         {}
func (noSink) ReportEjection(decision.ReportEjection) {}
func (noSink) Quarantine(decision.Quarantine)         {}

func testManifest() manifest.Manifest {
	return manifest.Manifest{
		Generation: 1, Publication: "p",
		Teams: []manifest.Team{{ID: "weavers", KeyHashes: []string{manifest.HashKey(teamKey)}, Weight: 1,
			Allowed: []string{"draft@1"}, Services: []string{"shop"}}},
		Versions: []manifest.Version{{ID: "draft@1", Model: "draft", State: manifest.StateServing, Share: 1, Cost: 2, Quality: 0.9}},
		Services: []manifest.Service{{ID: "shop", Price: 1, Routes: []manifest.Route{
			{Method: "GET", Path: "/stock/*", Idempotent: true}, {Method: "POST", Path: "/reservations"}}}},
	}
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	return newFixtureWith(t, time.Minute)
}

func newFixtureWith(t testing.TB, writeTimeout time.Duration) *fixture {
	t.Helper()
	f := &fixture{t: t, log: logtest.New(), gate: &fakeGate{}, holder: &fakeHolder{}, writeTimeout: writeTimeout}
	f.setBackend(answerChat)
	f.backend = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.executions.Add(1)
		f.handler.Load().(http.HandlerFunc)(w, r)
		if w.Header().Get(wire.HeaderNotRun) != "" {
			f.executions.Add(-1)
		}
	}))
	f.backend.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.connections.Add(1)
		}
	}
	f.backend.Start()
	t.Cleanup(f.backend.Close)
	f.startNode()
	f.startServer()
	return f
}

// clearFaults ends all faults and sets the backend server's handler.
func (f *fixture) clearFaults(h http.HandlerFunc) {
	f.log.SetDown(false)
	f.gate.refuse("", 0)
	f.setBackend(h)
	f.eventually("the log to be read again", func() bool { return f.node.Status().LogReachable })
}

// eventually polls until ok returns true; the test fails after waitTimeout.
func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		<-tick.C
	}
}

// setBackend sets the backend server's handler.
func (f *fixture) setBackend(h http.HandlerFunc) { f.handler.Store(h) }

func (f *fixture) startNode() {
	n, err := node.New(f.log.Client("entry-1"), node.Config{Name: "entry-1", Linger: time.Millisecond})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = n.Stop(context.Background()) })
	<-n.Ready()
	f.node = n
}

func (f *fixture) startServer() {
	f.index.Store(manifest.NewIndex(testManifest(), "d"))
	f.driver = driver.New(decision.NewWorld(decision.DefaultConfig()), noSink{})
	ctx, cancel := context.WithCancel(context.Background())
	go f.driver.Run(ctx)
	f.driver.Send(f.index.Load().DecisionEvent())
	f.driver.Send(decision.ServersListed{Servers: []decision.Server{
		{ID: "e1", Versions: []decision.VersionID{"draft@1"}, Slots: 4},
		{ID: "s1", Service: "shop", Slots: 4},
	}})
	f.driver.Send(decision.FreshnessChanged{Fresh: true})
	client := upstream.NewClient(0)
	tokens, err := session.NewTokens(settings.Session{TTLSeconds: 60}, time.Now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.server = httptest.NewServer(New(Deps{
		Driver:        f.driver,
		Manifests:     f,
		Gate:          f.gate,
		Servers:       f,
		Upstream:      client,
		Store:         f.node,
		Biller:        billing.New(ledger.StoreLog{Store: f.node}, f.holder),
		SessionTokens: tokens,
		SessionNames:  session.NewNamedSessions(f.node, time.Hour),
		Rater:         noRater{},
		Recorder:      noRecorder{},
		Log:           logging.New(io.Discard, settings.Default().Log),
		Limits:        Limits{MaxBodyBytes: 1 << 16, ReadTimeout: time.Minute, WriteTimeout: f.writeTimeout, DefaultDeadline: 20 * time.Second, MaxDeadline: time.Minute},
	}))
	f.t.Cleanup(func() { f.server.Close(); client.Close(); cancel() })
}

// callerResponse is what a caller received; err is set if the answer broke off.
type callerResponse struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error
}

// call sends a request and reads the whole response.
func (f *fixture) call(ctx context.Context, method, path, body, idempotencyKey string) callerResponse {
	f.t.Helper()
	resp := f.open(ctx, method, path, body, idempotencyKey)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{
		status:  resp.StatusCode,
		outcome: resp.Header.Get(wire.HeaderOutcome),
		header:  resp.Header,
		body:    string(data),
		err:     err,
	}
}

// open sends a request and returns the response with its body unread.
func (f *fixture) open(ctx context.Context, method, path, body, idempotencyKey string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if idempotencyKey != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, idempotencyKey)
	}
	// Not http.DefaultTransport, whose connections any server of a parallel test closes when it stops.
	resp, err := f.server.Client().Transport.RoundTrip(req)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// bills returns the bill registers in the log. A billed request has exactly one.
func (f *fixture) bills() []fold.Register {
	f.t.Helper()
	return f.registers(record.ClassBill)
}

const completionBody = `{"choices":[{"message":{"role":"assistant","content":"over under"}}],"usage":{"completion_tokens":4}}`

// answerChat answers a chat with a single JSON body.
func answerChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	_, _ = io.WriteString(w, completionBody)
}

// chatStream answers with a stream of the given server-sent events.
func chatStream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, ev := range events {
			_, _ = io.WriteString(w, "data: "+ev+"\n\n")
			w.(http.Flusher).Flush()
		}
	}
}

func (f *fixture) registers(class record.Class) []fold.Register {
	return f.node.Registers(class)
}
