package rpcstream

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// testAccount is an Account with a bound.
type testAccount struct {
	mu         sync.Mutex
	used, most int64
	bound      int64
	done       chan struct{}
}

func newTestAccount(bound int64) *testAccount {
	return &testAccount{bound: bound, done: make(chan struct{})}
}

func (a *testAccount) Reserve(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used+n > a.bound {
		return false
	}
	a.used += n
	a.most = max(a.most, a.used)
	return true
}

func (a *testAccount) ReserveAnswer(n int64) bool { return a.Reserve(n) }

func (a *testAccount) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= n
}

func (a *testAccount) MessageBegun()         {}
func (a *testAccount) MessageRead()          {}
func (a *testAccount) Done() <-chan struct{} { return a.done }

func (a *testAccount) sum() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

type discard struct{}

func (discard) Printf(string, ...any) {}

// connect returns a client of a server that handles requests with the account.
func connect(t *testing.T, a *testAccount, handle func(context.Context, *jsonrpc2.Request) (any, error)) *jsonrpc2.Conn {
	t.Helper()
	here, there := net.Pipe()
	limits := Limits{MaxBytes: 1 << 20, MessageTimeout: 10 * time.Second}
	serverLimits := limits
	serverLimits.Account = a
	ctx, cancel := context.WithCancel(t.Context())
	h := NewHandler(handle, a)
	server := jsonrpc2.NewConn(ctx, New(there, serverLimits), h, jsonrpc2.SetLogger(discard{}))
	ended := make(chan struct{})
	go func() {
		h.AwaitEnd(server)
		cancel()
		close(ended)
	}()
	client := jsonrpc2.NewConn(t.Context(), New(here, limits), noHandler{}, jsonrpc2.SetLogger(discard{}))
	t.Cleanup(func() { _ = client.Close(); <-ended })
	return client
}

type noHandler struct{}

func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not reached: %s", what)
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	var running, most atomic.Int64
	account := newTestAccount(1 << 30)
	client := connect(t, account, func(ctx context.Context, _ *jsonrpc2.Request) (any, error) {
		if n := running.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer running.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	for range 3 * maxInFlight {
		go func() { _, _ = client.DispatchCall(t.Context(), "wait", nil) }()
	}
	waitUntil(t, "all slots are taken", func() bool { return running.Load() == maxInFlight })
	close(account.done) // the connection gives way
	waitUntil(t, "no request runs", func() bool { return running.Load() == 0 })
	if most.Load() > maxInFlight {
		t.Errorf("%d requests ran at a time, want at most %d", most.Load(), maxInFlight)
	}
	waitUntil(t, "all memory is given back", func() bool { return account.sum() == 0 })
}

func TestAnswersStayWithinTheAccount(t *testing.T) {
	const size, room = 10_000, 100_000
	account := newTestAccount(room)
	client := connect(t, account, func(context.Context, *jsonrpc2.Request) (any, error) { return strings.Repeat("a", size), nil })
	var all sync.WaitGroup
	for range maxInFlight / 2 {
		all.Go(func() {
			var got string
			if err := client.Call(t.Context(), "long", nil, &got); err != nil || len(got) != size {
				t.Errorf("%d bytes, %v", len(got), err)
			}
		})
	}
	all.Wait()
	waitUntil(t, "all memory is given back", func() bool { return account.sum() == 0 })
}

func TestMessageWithoutRoomEndsTheConnection(t *testing.T) {
	account := newTestAccount(32 << 10)
	client := connect(t, account, func(context.Context, *jsonrpc2.Request) (any, error) { return "ok", nil })
	if err := client.Call(t.Context(), "long", strings.Repeat("a", 100_000), nil); err == nil {
		t.Error("a message beyond the room was answered")
	}
	waitUntil(t, "all memory is given back", func() bool { return account.sum() == 0 })
}
