package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "crash": a request that crashes each runner that begins to run it comes again and again.
const (
	crashLength = 75 * time.Second
	// crashEvery is the time between two tries of its client, backAfter how long a crashed runner is away.
	crashEvery = 7 * time.Second
	backAfter  = 2 * time.Second
	// stableWindow is stableWindowMs.
	stableWindow = 3 * time.Second
	// allowedRetries is how many retries the rule allows.
	allowedRetries = 3
	crashPath      = "/cufi504/fi50/7c"
)

const pricesConfig = `{"version":7,"routes":[
 {"name":"r-3","hostname":"ficu95.example","pathPrefix":"/cufi504/","routeType":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,
  "service":"wuno96b","maxAttempts":3,"public":false}],
 "services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]},{"name":"kazi742","apiKeys":["anfqasnmgkcuyj8pjbvk"]}]}`

// crashes records when a request crashed runners.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// fragileRunner is a runner whose process ends when it begins to run a request with crashPath. Each start is a new incarnation with
// a new id at the same address.
type fragileRunner struct {
	setting *setting
	zone    string
	address string
	number  int
	crashes *crashes
	// survives is true without the disruption.
	survives bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	starts   int
}

// keptListener keeps the connections that it accepts, so that they can be reset.
type keptListener struct {
	net.Listener
	runner *fragileRunner
}

func (l keptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.runner.mu.Lock()
		l.runner.conns[c] = true
		l.runner.mu.Unlock()
	}
	return c, err
}

// start starts an incarnation. The first one chooses the address.
func (f *fragileRunner) start() error {
	address := f.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	f.address, f.listener, f.conns = l.Addr().String(), l, map[net.Conn]bool{}
	id := fmt.Sprintf("i-p%d-%d", f.number, f.starts)
	plain := f.setting.newPlainRunner(id, 6, 4, 30*time.Millisecond)
	remove := f.setting.list(id, "wuno96b", f.zone, f.address, plain.slots)
	var once sync.Once
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.survives || r.URL.Path != crashPath || r.Header.Get("Expected-Instance") != id {
			plain.ServeHTTP(w, r)
			return
		}
		f.setting.note("%s begins to run %s and crashes", id, r.Header.Get("Attempt-Id"))
		f.crashes.add()
		once.Do(func() { f.crash(remove) })
		panic(http.ErrAbortHandler)
	})
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(keptListener{l, f}) }()
	f.setting.onClose(func() { _ = srv.Close() })
	return nil
}

// crash resets all connections and closes the port. The entry is removed after three missed heartbeats. The next incarnation
// starts after backAfter.
func (f *fragileRunner) crash(remove func()) {
	f.mu.Lock()
	_ = f.listener.Close()
	for c := range f.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	f.mu.Unlock()
	time.AfterFunc(3*heartbeat, remove)
	time.AfterFunc(backAfter, func() {
		if err := f.start(); err != nil {
			f.setting.note("runner %d does not start again: %v", f.number, err)
		}
	})
}

func playCrash(c *setting) (int, error) {
	seen := &crashes{}
	for i, zone := range zones {
		f := &fragileRunner{setting: c, zone: zone, number: i + 1, crashes: seen, survives: !c.trouble}
		if err := f.start(); err != nil {
			return 0, err
		}
	}
	c.store.Put("keyed.op", "config", []byte(pricesConfig))
	nodes, err := c.startNodes(len(zones))
	if err != nil {
		return 0, err
	}
	for _, n := range nodes {
		defer c.keepLog(n)
	}
	time.Sleep(settleTime)
	prices := kind{name: "prices", path: "/cufi504/fi50/2f", method: http.MethodGet, key: "anfqasnmgkcuyj8pjbvk", deadline: 2500 * time.Millisecond}
	odd := prices
	odd.name, odd.path, odd.key = "odd", crashPath, "n2ctnfzs989anu6wsjnb"
	load, all := c.newClients(), &results{}
	var senders sync.WaitGroup
	senders.Go(func() { load.send(nodes, prices, prices.name, 10, crashLength, all) })
	senders.Go(func() {
		time.Sleep(2 * time.Second)
		load.send(nodes, odd, odd.name, 1/crashEvery.Seconds(), crashLength-3*time.Second, all)
	})
	senders.Wait()
	for name, o := range all.of {
		c.note("%s: %d of %d were served; statuses %v", name, o.served, o.asked, o.byStatus)
	}
	return c.judgeCrash(seen)
}

// judgeCrash counts the retries beyond those that the rule BUDGET allows.
func (c *setting) judgeCrash(seen *crashes) (broken int, err error) {
	const third = 2
	if len(seen.at) <= third {
		return 0, nil
	}
	late := 0
	for _, at := range seen.at[third+1:] {
		if at.After(seen.at[third].Add(stableWindow)) {
			late++
		}
	}
	c.note("the request crashed %d runners; it reached runners %d times later than %v after the third crash, %d are allowed", len(seen.at), late, stableWindow, allowedRetries)
	return max(late-allowedRetries, 0), nil
}
