package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"masticplank.example/platform/standin"
)

// Bounds of the settings, those of the sites.
const (
	grace       = 8 * time.Second
	drainBound  = 2 * time.Second
	configApply = 2 * time.Second
	lossSlack   = 200 * time.Millisecond
)

// zones are the failure domains of the deployment.
var zones = []string{"salle-rimouski", "salle-matane", "salle-riviere"}

// setting is what a case runs in: the platform, the processes and the record.
type setting struct {
	trouble bool
	dir     string
	start   time.Time
	store   *standin.Store
	// storeAddr is the address of the platform's store.
	storeAddr string

	mu      sync.Mutex
	record  *os.File
	closers []func()
}

func newSetting(recordPath string, trouble bool) (*setting, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &setting{trouble: trouble, dir: dir, start: time.Now(), store: standin.NewStore(), record: record}
	c.onClose(func() { _ = os.RemoveAll(dir) })
	c.storeAddr, err = c.serve(c.store)
	c.note("trouble: %v", trouble)
	return c, err
}

// note writes a line to the record and to the standard output.
func (c *setting) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Println(line)
	_, _ = fmt.Fprintln(c.record, line)
}

func (c *setting) onClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

func (c *setting) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	_ = c.record.Close()
}

// serve serves HTTP on a free loopback port and returns its address.
func (c *setting) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	c.onClose(func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// list keeps the entry of a server in the platform's list until the returned function is called.
func (c *setting) list(id, service, zone, address string, slots int) (remove func()) {
	done := make(chan struct{})
	put := func(sequence int) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence,
		})
		c.store.Put("keyed.servers", id, entry)
	}
	put(0)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
				put(n)
			}
		}
	}()
	var once sync.Once
	remove = func() {
		once.Do(func() {
			close(done)
			c.store.Put("keyed.servers", id, nil)
		})
	}
	c.onClose(remove)
	return remove
}

// configure writes a configuration; its acknowledgement is the return.
func (c *setting) configure(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	c.store.Put("keyed.op", "config", text)
	return nil
}

// node is an instance of the project's program.
type node struct {
	name      string
	frontend  string
	readiness string
	settings  string
	metrics   string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// runLine returns the words of the deploy file's run command.
func runLine() ([]string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run command")
}

// newNode prepares an instance in a zone. Its settings are those of the pages' example.
func (c *setting) newNode(name, zone string) (*node, error) {
	n := &node{name: name, settings: filepath.Join(c.dir, name+".json")}
	for _, address := range []*string{&n.frontend, &n.readiness, &n.metrics} {
		var err error
		if *address, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	const ports = 16
	first, err := standin.FreePortRange(ports)
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "est-quebec"
	}
	text, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": zone, "region": "est-quebec", "zones": regions, "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(),
		"listen":            map[string]string{"frontend": n.frontend, "readiness": n.readiness},
		"internalPortRange": []int{first, first + ports - 1},
		"limits":            map[string]any{"cpuQuota": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "bandwidthMbps": 1000.0},
		"policySections":    []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": drainBound.Milliseconds(),
			"graceS": grace.Seconds(), "lossSlackMs": lossSlack.Milliseconds(), "configApplyMs": configApply.Milliseconds(), "downgradeSlackMs": 250,
			"maxSkewMs": 5000, "strictRevocation": true, "revokeMs": 5000, "retryBudgetRatio": 0.9, "retryWindowS": 10,
			"budgetSlack": 54, "canaryShare": 0.15, "canaryTolerance": 30, "rollbackMs": 5000, "recoveryS": 12,
			"iterationMs": 120, "retryAfterS": 10, "sessionTtlS": 5,
		},
		"platform": map[string]any{"address": c.storeAddr, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12},
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, text, 0o600)
}

// launch starts the process as the deploy file says; only the address of its metrics is a free loopback one.
func (c *setting) launch(n *node) error {
	words, err := runLine()
	if err != nil {
		return err
	}
	for i, word := range words {
		if i > 0 && words[i-1] == "--metrics" && strings.HasPrefix(word, ":") {
			words[i] = n.metrics
		}
	}
	log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICPLANK_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		err := cmd.Wait()
		c.note("process of %s ended: %v", n.name, err)
		close(exited)
	}()
	c.onClose(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	c.note("process of %s started: %s", n.name, strings.Join(words, " "))
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (c *setting) awaitReady(n *node) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.note("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", n.name)
}

// keepLog copies the log of the instance beside the record if the environment variable KEEP_LOG names a folder.
func (c *setting) keepLog(n *node) {
	folder := os.Getenv("KEEP_LOG")
	if folder == "" {
		return
	}
	text, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
	if err == nil {
		_ = os.WriteFile(filepath.Join(folder, n.name+".log"), text, 0o600)
	}
}
