package passthrough

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/tunnel"
)

// streamHeaders accepts any response as signed, and states to a server where a stream goes on.
type streamHeaders struct {
	signedHeaders
	expectedTokens int
}

func (h streamHeaders) ReadCaller(http.Header) seam.Caller {
	return seam.Caller{RequestID: "a", LastEventID: -1, PromptTokens: 500, ExpectedTokens: h.expectedTokens}
}

func (streamHeaders) WriteAttempt(h http.Header, a seam.Attempt) http.Header {
	h = h.Clone()
	if a.LastEventID >= 0 {
		h.Set("Last-Event-Id", strconv.FormatInt(a.LastEventID, 10))
	}
	return h
}

const streamTestTokens = 10 // of an event

// engineFakes are two engines that stream events. One of them, the first that gets a request after fault is set, behaves
// as fault says.
type engineFakes struct {
	mu     sync.Mutex
	fault  func(w http.ResponseWriter, r *http.Request, from int)
	faulty int
	// received counts the requests of each engine, closed those at the faulty one whose connection was closed.
	received [2]atomic.Int64
	closed   atomic.Int64
	events   int
}

func (e *engineFakes) serve(i int, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after that
	e.received[i].Add(1)
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		from = n + 1
	}
	e.mu.Lock()
	if e.fault != nil && e.faulty < 0 {
		e.faulty = i
	}
	fault := e.fault
	if e.faulty != i {
		fault = nil
	}
	e.mu.Unlock()
	if fault != nil {
		fault(w, r, from)
		if r.Context().Err() != nil {
			e.closed.Add(1)
		}
		return
	}
	e.stream(w, r, from, 2*time.Millisecond)
}

// stream sends the events from an id on.
func (e *engineFakes) stream(w http.ResponseWriter, r *http.Request, from int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := from; id < e.events && r.Context().Err() == nil; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(interval):
		}
	}
}

// hang sends nothing until the connection is closed.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// newStreamHandler returns a handler with a route to two engines that state their speed.
func newStreamHandler(t *testing.T, events int, timeout time.Duration, resumable bool) (*Handler, *engineFakes) {
	t.Helper()
	clock := NewClock()
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.config = NewConfigState(clock, time.Minute)
	p.telemetry.clock, p.telemetry.config = clock, p.config
	p.driver = NewDriver(clock, passthrough.Settings{RetryRatio: 0.5, RetrySlack: 3, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	gate := newStartGate()
	gate.release()
	h := &Handler{headers: streamHeaders{expectedTokens: streamTestTokens * events}, config: p.config, driver: p.driver, clock: clock,
		dialer:    newDialer(clock, p.driver, tunnel.NewDialer(tunnel.NewPeers(clock.Now, reach.Peer{}, nil))),
		telemetry: p.telemetry, startGate: gate, shutdown: &shutdown{}, conns: newCallerConns(0), held: newHeldBytes(0), recent: newRecentIDs()}
	route := passthrough.Route{Name: "r", Host: "a.example", PathPrefix: "/", Kind: passthrough.KindStream, Resumable: resumable, Public: true,
		MaxAttempts: 3, Timeout: timeout, TargetLatency: 5 * time.Second, TargetGap: time.Second, Backends: []passthrough.Backend{{Service: "llm", Weight: 1}}}
	index, _ := p.config.Apply(passthrough.Config{Version: 1, Routes: []passthrough.Route{route}, Limits: passthrough.Limits{MaxBodyBytes: 1000},
		Services: []passthrough.Service{{Name: "llm", Slots: 4, TokensPerEvent: streamTestTokens}}})
	p.driver.Handle(passthrough.Configured{Index: index}, passthrough.FleetSize{Instances: 1})
	e := &engineFakes{faulty: -1, events: events}
	var list []passthrough.Server
	for i := range e.received {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(i, w, r) }))
		t.Cleanup(srv.Close)
		list = append(list, passthrough.Server{ID: fmt.Sprint("llm-", i), Address: strings.TrimPrefix(srv.URL, "http://"),
			Service: "llm", Slots: 4, StartTime: 1})
	}
	p.driver.Handle(passthrough.ServersListed{Servers: list})
	for _, s := range list {
		p.driver.Handle(passthrough.LoadReported{Server: s.ID, Load: passthrough.Load{Slots: 4, Slowdown: 1}})
	}
	return h, e
}

// sendStream sends the handler a request and returns the answer; aborted is true if the connection was broken off.
func sendStream(h *Handler) (answer *httptest.ResponseRecorder, aborted bool) {
	h.recent = newRecentIDs() // all requests of these tests have the same id
	answer = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body")))
	return answer, false
}

// warmUp lets the handler learn how fast the engines are.
func warmUp(t *testing.T, h *Handler, e *engineFakes) {
	t.Helper()
	for range 6 {
		if answer, aborted := sendStream(h); aborted || answer.Code != http.StatusOK {
			t.Fatalf("status %d (%s), want 200", answer.Code, answer.Body)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.received {
		e.received[i].Store(0)
	}
}

// requireEvents fails the test unless the answer has each event once, in order.
func requireEvents(t *testing.T, answer *httptest.ResponseRecorder, events int) {
	t.Helper()
	var want strings.Builder
	for id := range events {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: x\n\n", id)
	}
	if got := answer.Body.String(); answer.Code != http.StatusOK || got != want.String() {
		t.Errorf("status %d, %d bytes, want 200 and the events 0 to %d once each; got %q", answer.Code, len(got), events-1, got)
	}
}

// TestOverdueAttemptGoesToAnotherServer guards against a short request that waits for its first event up to its deadline,
// while another server could answer.
func TestOverdueAttemptGoesToAnotherServer(t *testing.T) {
	const events = 5
	h, e := newStreamHandler(t, events, 2500*time.Millisecond, true)
	warmUp(t, h, e)
	e.mu.Lock()
	e.fault = hang
	e.mu.Unlock()
	answer, aborted := sendStream(h)
	if aborted {
		t.Fatal("the answer was broken off")
	}
	requireEvents(t, answer, events)
	if n := [2]int64{e.received[e.faulty].Load(), e.received[1-e.faulty].Load()}; n != [2]int64{1, 1} {
		t.Errorf("the hanging and the other engine got %v requests, want 1 each", n)
	}
	waitFor(t, "the connection to the hanging engine is still open", func() bool { return e.closed.Load() == 1 })
}

// TestSlowStreamGoesOnAtAnotherServer guards against a stream that stays at a server that cannot end it before the
// deadline. The caller gets each event once.
func TestSlowStreamGoesOnAtAnotherServer(t *testing.T) {
	const events = 60
	h, e := newStreamHandler(t, events, 3*time.Second, true)
	warmUp(t, h, e)
	e.mu.Lock()
	e.fault = func(w http.ResponseWriter, r *http.Request, from int) { e.stream(w, r, from, 100*time.Millisecond) }
	e.mu.Unlock()
	answer, aborted := sendStream(h)
	if aborted {
		t.Fatalf("the answer was broken off: %q", answer.Body)
	}
	requireEvents(t, answer, events)
	if n := [2]int64{e.received[e.faulty].Load(), e.received[1-e.faulty].Load()}; n != [2]int64{1, 1} {
		t.Errorf("the slow and the other engine got %v requests, want 1 each", n)
	}
	waitFor(t, "the connection to the slow engine is still open", func() bool { return e.closed.Load() == 1 })
}

// TestStreamThatRunsOnceIsNeverMoved guards against a stream of a route that is not resumable that is sent twice because
// it cannot end in time.
func TestStreamThatRunsOnceIsNeverMoved(t *testing.T) {
	for name, fault := range map[string]func(e *engineFakes) func(http.ResponseWriter, *http.Request, int){
		"hangs": func(*engineFakes) func(http.ResponseWriter, *http.Request, int) { return hang },
		"slow": func(e *engineFakes) func(http.ResponseWriter, *http.Request, int) {
			return func(w http.ResponseWriter, r *http.Request, from int) { e.stream(w, r, from, 100*time.Millisecond) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, e := newStreamHandler(t, 60, 2500*time.Millisecond, false)
			warmUp(t, h, e)
			e.mu.Lock()
			e.fault = fault(e)
			e.mu.Unlock()
			answer, _ := sendStream(h)
			if n := e.received[0].Load() + e.received[1].Load(); n != 1 {
				t.Errorf("the engines got %d requests, want 1", n)
			}
			if answer.Code == http.StatusServiceUnavailable {
				t.Error("status 503 says that the request was not run, but it was")
			}
		})
	}
}

// TestRequestThatRanIsNotRefusedAsNotRun guards against a refusal, which says that a request was not run, after an attempt
// that was given up.
func TestRequestThatRanIsNotRefusedAsNotRun(t *testing.T) {
	h, e := newStreamHandler(t, 5, 2500*time.Millisecond, true)
	warmUp(t, h, e)
	e.mu.Lock()
	e.fault = func(w http.ResponseWriter, r *http.Request, from int) {
		hang(w, r, from)
		e.mu.Lock()
		e.faulty = 1 - e.faulty // the next engine hangs as well
		e.mu.Unlock()
	}
	e.mu.Unlock()
	answer, _ := sendStream(h)
	if answer.Code == http.StatusServiceUnavailable {
		t.Error("status 503 says that the request was not run, but it was")
	}
}

// TestImpossibleStreamIsRefusedAtOnce guards against a stream that is begun although no server could end it before its
// deadline.
func TestImpossibleStreamIsRefusedAtOnce(t *testing.T) {
	h, e := newStreamHandler(t, 2000, 1200*time.Millisecond, true)
	began := time.Now()
	answer, _ := sendStream(h)
	if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), string(passthrough.ReasonNoTime)) {
		t.Errorf("status %d (%s), want 503 and %s", answer.Code, answer.Body, passthrough.ReasonNoTime)
	}
	if answer.Header().Get("Retry-After") != "" {
		t.Errorf("retry after %s s, want none: a later request has no more time", answer.Header().Get("Retry-After"))
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	if n := e.received[0].Load() + e.received[1].Load(); n != 0 {
		t.Errorf("the engines got %d requests, want none", n)
	}
}

// TestPaceOfAStreamLeavesOutThePausesOfItsCaller guards against a stream that is given up for another server as too slow,
// because its caller did not read for a time.
func TestPaceOfAStreamLeavesOutThePausesOfItsCaller(t *testing.T) {
	clock := newFakeClock()
	a := &attempt{exchange: &exchange{handler: &Handler{clock: clock}}, startedAt: clock.Now(), conn: &conn{}}
	wt := &idleWatch{}
	const interval = 10 * time.Millisecond
	for range 3 {
		for range 10 {
			clock.advance(interval)
			a.pace.add(1, clock.Now())
		}
		a.stall.beginWrite(clock.Now())
		clock.advance(2 * time.Second)
		if !a.waitsForCaller(clock.Now()) {
			t.Error("a stream whose caller has not read for 2 s may be given up")
		}
		a.endWrite(clock.Now())
		if got := wt.progress(a).Interval; got != interval {
			t.Errorf("interval %v, want %v", got, interval)
		}
	}
}
