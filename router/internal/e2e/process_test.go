// Package e2e tests the two binaries as separate processes on loopback.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait for something that healthy processes do within a few
// seconds, such as becoming stale. No test asserts how long anything took.
const waitTimeout = 60 * time.Second

// binDir is the directory of the two binaries, which are built once.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "masticplank-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "masticplank.example/router/cmd/masticplankd", "masticplank.example/router/cmd/masticplank")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is one running binary.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd

	mu sync.Mutex
	// lines holds all output; kill logs it if the test has failed.
	lines []string
	// output receives each line, for await; lines are dropped if it is full.
	output chan string
	// done receives the result of cmd.Wait.
	done chan error
}

// startProcess starts a binary and reads the lines of its stdout and stderr.
func startProcess(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{
		t:      t,
		name:   name,
		cmd:    exec.Command(filepath.Join(binDir, binary), args...),
		output: make(chan string, 4096),
		done:   make(chan error, 1),
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	go p.read(r)
	t.Cleanup(p.kill)
	return p
}

func (p *process) read(r io.ReadCloser) {
	defer r.Close()
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
		select {
		case p.output <- scanner.Text():
		default:
		}
	}
	p.done <- p.cmd.Wait()
	close(p.output)
}

// kill kills the process and logs its output if the test has failed.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	if p.t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Logf("%s:\n%s", p.name, strings.Join(p.lines, "\n"))
	}
}

// await returns the result of match for the first line that it accepts. It fails the
// test after waitTimeout, or if the process ends before.
func (p *process) await(what string, match func(line string) (string, bool)) string {
	p.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line, open := <-p.output:
			if !open {
				p.t.Fatalf("%s ended before %s", p.name, what)
			}
			if got, ok := match(line); ok {
				return got
			}
		case <-timeout:
			p.t.Fatalf("%s: timed out waiting for %s", p.name, what)
		}
	}
}

// terminate sends SIGTERM and returns the result of cmd.Wait.
func (p *process) terminate() error {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not stop", p.name)
		return nil
	}
}

// startStandin starts "masticplank standin ..." and returns its address.
func startStandin(t testing.TB, kind string, args ...string) string {
	t.Helper()
	p := startProcess(t, kind, "masticplank", append([]string{"standin", kind, "--listen", "127.0.0.1:0"}, args...)...)
	return p.await("address", func(line string) (string, bool) {
		return strings.CutPrefix(line, "listening on ")
	})
}

// instance is one masticplankd process with the addresses of its listeners; api
// and admin start with "http://".
type instance struct {
	*process
	api, admin, peer string
}

// shortTimings are settings that shorten the waits of the tests. The default
// freshness bound is longer; here it only has to be well above the time in which a
// busy machine schedules a process.
var shortTimings = map[string]map[string]any{
	"freshness": {"bound_ms": 2000},
	"peer":      {"interval_ms": 100},
	"shutdown":  {"grace_ms": 50},
}

// startInstance writes a settings file, starts masticplankd with it and waits until
// its listeners are open.
func startInstance(t testing.TB, name, domain string, platform map[string]any) *instance {
	t.Helper()
	settings := map[string]any{
		"instance":            name,
		"domain":              domain,
		"platform":            platform,
		"freshness":           shortTimings["freshness"],
		"peer":                shortTimings["peer"],
		"shutdown":            shortTimings["shutdown"],
		"session":             map[string]any{"keys": []any{map[string]any{"id": "k1", "secret": "dGhpcnR5LXR3by1ieXRlcy1vZi1zZWNyZXQtaGVyZSE="}}},
		"operator_key_hashes": []string{operatorKeyHash},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	i := &instance{process: startProcess(t, name, "masticplankd", "--config", file)}
	for i.api == "" || i.admin == "" || i.peer == "" {
		i.await("listeners", i.readListener)
	}
	return i
}

// readListener takes the address of a listener from a "listening" event in the
// instance's log.
func (i *instance) readListener(line string) (string, bool) {
	var ev struct {
		Name, Listener, Addr string
	}
	if json.Unmarshal([]byte(line), &ev) != nil || ev.Name != "listening" {
		return "", false
	}
	switch ev.Listener {
	case "api":
		i.api = "http://" + ev.Addr
	case "admin":
		i.admin = "http://" + ev.Addr
	case "peer":
		i.peer = ev.Addr
	}
	return "", true
}

// response is a response with its whole body.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request; key is the API key or operator key, empty for none.
func call(t testing.TB, method, url, key, body string, header map[string]string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return readResponse(http.DefaultClient.Do(req))
}

// readResponse reads the whole body of a response.
func readResponse(resp *http.Response, err error) response {
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// eventually polls cond until it returns true, and fails the test after waitTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		<-tick.C
	}
}
