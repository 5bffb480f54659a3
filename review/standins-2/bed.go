package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"masticplank.example/platform"
	"masticplank.example/platform/standin"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// Bounds in the settings of the instances: those of the small deployments' sheets.
const (
	revokeBound = 5 * time.Second
	applyBound  = 2 * time.Second
	drainBound  = 2 * time.Second
	graceBound  = 8 * time.Second
	stableBound = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
	memoryMB    = 284
)

// The program and its arguments as in the deploy file.
var (
	program     = filepath.Join("target", "masticplankd")
	programArgs = []string{"--metrics", ":9464"}
)

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

// bed is a small platform on loopback: a store, backend servers and one instance.
type bed struct {
	rec   *record
	dir   string
	store *storeFront
	// trouble is false if the case runs without its disruption.
	trouble bool
	began   time.Time

	mu      sync.Mutex
	closers []func()
}

func newBed(recordPath string, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "masticplank-review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, dir: dir, trouble: trouble, began: time.Now()}
	if b.store, err = newStoreFront(); err != nil {
		return nil, err
	}
	b.closers = append(b.closers, b.store.close)
	return b, nil
}

// close ends all that the bed has started.
func (b *bed) close() {
	b.mu.Lock()
	closers := b.closers
	b.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	b.rec.close()
	_ = os.RemoveAll(b.dir) // a temporary folder
}

func (b *bed) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// storeFront serves a store on loopback. While it is away, it answers nobody and breaks all connections; what was
// accepted before that and not answered yet stays unanswered.
type storeFront struct {
	*standin.Store
	away atomic.Bool
	// busy is true while the store turns the instance away with 503.
	busy     atomic.Bool
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newStoreFront() (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{Store: standin.NewStore(), listener: l, conns: map[net.Conn]struct{}{}}
	f.server = &http.Server{Handler: f, ConnState: f.track}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *storeFront) track(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.conns[c] = struct{}{}
	case http.StateClosed:
		delete(f.conns, c)
	}
}

// bufferedResponse holds a response until the store is known not to be away.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedResponse) Header() http.Header  { return b.header }
func (b *bufferedResponse) WriteHeader(code int) { b.status = code }
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.away.Load() {
		panic(http.ErrAbortHandler)
	}
	out := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	f.Store.ServeHTTP(out, r)
	time.Sleep(answerTime)
	if f.away.Load() {
		panic(http.ErrAbortHandler)
	}
	if f.busy.Load() {
		w.Header().Set("Store-Era", out.header.Get("Store-Era"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.limitRead(r)
	for name, values := range out.header {
		w.Header()[name] = values
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body) // the instance may have left
}

// answerTime is how long an answer of the store takes, by the sheets.
const answerTime = 4 * time.Millisecond

// limitRead leaves as many whole records in the response to a read as maxReadKb allows, at least one.
func (b *bufferedResponse) limitRead(r *http.Request) {
	const head, lengthBytes, defaultKB = 16, 4, 1024
	if r.URL.Path != "/api/log-read" || b.status != http.StatusOK {
		return
	}
	kb, err := strconv.Atoi(r.URL.Query().Get("maxReadKb"))
	if err != nil {
		kb = defaultKB
	}
	end := head
	for end+lengthBytes <= len(b.body) {
		next := end + lengthBytes + int(binary.BigEndian.Uint32(b.body[end:]))
		if next > len(b.body) || end > head && next-head > kb<<10 {
			break
		}
		end = next
	}
	if end < len(b.body) {
		b.body = b.body[:end]
	}
}

// setAway lets the store be away, or come back.
func (f *storeFront) setAway(away bool) {
	f.away.Store(away)
	if !away {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

func (f *storeFront) address() string { return f.listener.Addr().String() }

func (f *storeFront) close() { _ = f.server.Close() }

// server is a backend server: a handler on a loopback address, with an entry that it writes at each heartbeat.
type server struct {
	id, service, version string
	address              string
	mu                   sync.Mutex
	state                string
	silent               bool
	born                 int64
	stop                 chan struct{}
}

func (s *server) entry(sequence int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"service": s.service, "address": s.address, "zone": "nyarugenge", "version": s.version,
		"slots": 48, "state": s.state, "coldRemainingMs": 0, "sequence": sequence, "born": s.born}
}

// setSilent lets the server write no entries.
func (s *server) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// restart lets the server write the entries of a new process.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.born = false, time.Now().UnixMilli()
}

// startServer serves h as a backend server of the service.
func (b *bed) startServer(id, service, version string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	b.onClose(func() { _ = srv.Close() })
	return b.list(id, service, version, l.Addr().String()), nil
}

// list writes the entry of a backend server at each heartbeat.
func (b *bed) list(id, service, version, address string) *server {
	s := &server{id: id, service: service, version: version, address: address, state: "ready", born: time.Now().UnixMilli(), stop: make(chan struct{})}
	put := func(n int) {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent && !b.store.away.Load() {
			_ = b.store.PutJSON("keyed.servers", id, s.entry(n)) // a map always encodes
		}
	}
	put(0)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-tick.C:
				put(n)
			case <-s.stop:
				return
			}
		}
	}()
	b.onClose(func() { close(s.stop) })
	return s
}

// instance is a process of masticplankd.
type instance struct {
	bed                 *bed
	frontend, readiness string
	settings            string
	cmd                 *exec.Cmd
	exited              chan struct{}
	logPath             string
}

// startInstance starts an instance with the command of the deploy file, and waits until it is ready.
func (b *bed) startInstance() (*instance, error) {
	i, err := b.newInstance()
	if err != nil {
		return nil, err
	}
	if err := i.start(); err != nil {
		return nil, err
	}
	return i, i.awaitReady(10 * time.Second)
}

func (b *bed) newInstance() (*instance, error) {
	if l, err := net.Listen("tcp", programArgs[len(programArgs)-1]); err != nil {
		return nil, fmt.Errorf("%w: the port of the metrics is taken: %w", errNotRun, err)
	} else {
		_ = l.Close()
	}
	i := &instance{bed: b, logPath: filepath.Join(b.dir, "edge-1.log"), settings: filepath.Join(b.dir, "settings.json")}
	var err error
	for _, a := range []*string{&i.frontend, &i.readiness} {
		if *a, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	const peerPorts = 16
	first, err := standin.FreePortRange(peerPorts)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(map[string]any{
		"nodeName": "edge-nyarugenge-1", "role": "entry", "machineClass": "edge", "serves": []string{"edge"},
		"ip": "127.0.0.1", "zone": "nyarugenge", "region": "kigali", "zones": map[string]string{"nyarugenge": "kigali"},
		"listen":            map[string]string{"frontend": i.frontend, "readiness": i.readiness},
		"internalPortRange": []int{first, first + peerPorts - 1}, "seedNodes": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpuQuota": 0.4, "cpuCores": 1, "memoryMb": memoryMB, "maxFds": 4100, "bandwidthMbps": 1000, "diskMb": 0},
		"discovery": "platform", "entrypoint": "anycast", "heartbeatMs": heartbeat.Milliseconds(),
		"policySections": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": stableBound.Milliseconds(), "ackTimeoutMs": 4000, "catchUpS": 4,
			"drainMs": drainBound.Milliseconds(), "graceS": graceBound.Seconds(), "lossSlackMs": 200, "configApplyMs": applyBound.Milliseconds(),
			"downgradeSlackMs": 250, "maxSkewMs": 5000, "strictRevocation": true, "revokeMs": revokeBound.Milliseconds(),
			"retryBudgetRatio": 0.9, "retryWindowS": 10, "budgetSlack": 56, "canaryShare": 0.15, "canaryTolerance": 30, "rollbackMs": 5000,
			"recoveryS": 12, "iterationMs": 120, "retryAfterS": 10, "sessionTtlS": 5},
		"platform": map[string]any{"address": b.store.address(), "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12,
			"appendMs": 2, "ingressPerS": 20, "egressPerS": 80, "maxRecordBytes": 262144, "maxCallBytes": 2097152, "keep_s": 300, "partitionMb": 200, "minTtlMs": 1000},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	return i, os.WriteFile(i.settings, text, 0o600)
}

func (i *instance) start() error {
	out, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	i.cmd = exec.Command(program, programArgs...)
	i.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settings)
	i.cmd.Stdout, i.cmd.Stderr = out, out
	if err := i.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	cmd, exited := i.cmd, make(chan struct{})
	i.exited = exited
	go func() {
		err := cmd.Wait()
		i.bed.rec.printf("instance (process %d) has ended: %v", cmd.Process.Pid, err)
		close(exited)
	}()
	i.bed.rec.printf("instance started (process %d)", cmd.Process.Pid)
	i.bed.onClose(func() { i.kill() })
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

func (i *instance) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + i.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(i.logPath)
	return fmt.Errorf("%w: the instance is not ready: %s", errNotRun, text[max(0, len(text)-1000):])
}

// request is one client attempt.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

const host = "ficu95.example"

// reply is what the client saw.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	sent   time.Time
	took   time.Duration
}

// send sends the request on a new connection and reads the answer.
func (i *instance) send(ctx context.Context, r request) reply {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	out := reply{sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+i.frontend+r.path, strings.NewReader(r.body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.status, out.header, out.body = resp.StatusCode, resp.Header, string(text)
	}
	out.err, out.took = err, time.Since(out.sent)
	return out
}
