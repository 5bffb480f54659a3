package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/google/uuid"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/wire"
)

// readyFleet starts three instances, publishes the first manifest and waits
// until all are ready.
func readyFleet(t *testing.T) *fleet {
	t.Helper()
	return readyFleetWith(t, options{})
}

func readyFleetWith(t *testing.T, o options) *fleet {
	t.Helper()
	f := startFleet(t, 3, o)
	eventually(t, "publishing", func() bool {
		_, err := f.publish(testManifest("run-1"), "--rebase")
		return err == nil
	})
	f.awaitReady()
	return f
}

func (f *fleet) chat(i *instance) response {
	f.t.Helper()
	return call(f.t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, chatBody, nil)
}

func (f *fleet) reserve(i *instance, key string) response {
	f.t.Helper()
	header := map[string]string{wire.HeaderIdempotencyKey: key}
	return call(f.t, http.MethodPost, i.api+"/services/shop/reservations", weaversKey, `{"wool":3}`, header)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func outcomeOf(r response) string { return r.header.Get(wire.HeaderOutcome) }

// withdraw publishes a manifest that withdraws large@1, through instance i.
func (f *fleet) withdraw(i *instance) {
	f.t.Helper()
	m := testManifest("withdraw")
	m.Versions[1].State = manifest.StateWithdrawn
	all := f.instances
	f.instances = []*instance{i}
	defer func() { f.instances = all }()
	if out, err := f.publish(m, "--rebase"); err != nil {
		f.t.Fatalf("withdraw: %v: %s", err, out)
	}
}

// requestsStarted returns how many requests the engines started on a version.
func (f *fleet) requestsStarted(version string) int {
	f.t.Helper()
	total := 0
	for _, addr := range f.engines {
		r := call(f.t, http.MethodGet, "http://"+addr+"/stats", "", "", nil)
		var got struct {
			ByVersion map[string]int `json:"by_version"`
		}
		if err := json.Unmarshal([]byte(r.body), &got); err != nil {
			f.t.Fatal(err)
		}
		total += got.ByVersion[version]
	}
	return total
}

// A reservation must not run twice if its instance is killed between the claim
// and the answer and the caller resends it at another instance.
func TestKilledWhileAReservationRuns(t *testing.T) {
	f := readyFleetWith(t, options{shopArgs: []string{"--work", "500ms"}})
	key := newKey()
	first := make(chan response, 1)
	go func() { first <- f.reserve(f.instances[0], key) }()
	eventually(t, "the reservation running at the shop", func() bool {
		return strings.Contains(call(t, http.MethodGet, "http://"+f.shop+"/load", "", "", nil).body, `"running":1`)
	})
	f.instances[0].kill()
	if r := <-first; r.err == nil {
		t.Errorf("the killed instance answered: %+v", r)
	}
	for _, i := range f.instances[1:] {
		if r := f.reserve(i, key); outcomeOf(r) != "already_run" {
			t.Errorf("resend at %s: %+v, want already_run", i.name, r)
		}
	}
	if n := f.runs(key); n > 1 {
		t.Errorf("the reservation ran %d times, want once at most", n)
	}
}

func (f *fleet) signal(i *instance, sig syscall.Signal) {
	f.t.Helper()
	if err := i.cmd.Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// freeze sends SIGSTOP and waits until all threads are stopped: the signal takes
// effect some time after it was sent, and a request that arrives before that would
// be served as usual.
func (f *fleet) freeze(i *instance) {
	f.t.Helper()
	f.signal(i, syscall.SIGSTOP)
	eventually(f.t, i.name+" to be stopped", func() bool { return threadsStopped(f.t, i.cmd.Process.Pid) })
}

// threadsStopped reports whether all threads of a process are in state T in /proc.
func threadsStopped(t testing.TB, pid int) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("threads of %d: %v", pid, err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			continue // the thread has ended
		}
		if err != nil {
			t.Fatal(err)
		}
		// The state follows the command name, which is in parentheses.
		if !strings.HasPrefix(string(stat[bytes.LastIndexByte(stat, ')')+1:]), " T") {
			return false
		}
	}
	return true
}

// An instance that was stopped for longer than the freshness bound while a
// version was withdrawn must not run a request on that version, even if the
// request was already in its socket when it continues.
func TestFrozenInstanceMissesAWithdrawal(t *testing.T) {
	f := readyFleet(t)
	frozen, publisher, isolated := f.instances[0], f.instances[1], f.instances[2]
	before := f.requestsStarted("large@1")
	f.freeze(frozen)
	waiting := make(chan response, 1)
	go func() { waiting <- f.chat(frozen) }()
	f.withdraw(publisher)
	// After the freeze, the third instance is disconnected from the log and both its
	// peers are stopped. Once it is stale, the last read of the frozen instance is
	// older than the freshness bound, too.
	f.logRelays[2].SetDisconnected(true)
	f.freeze(publisher)
	f.awaitMode(isolated, "stale")
	f.signal(publisher, syscall.SIGCONT)
	f.signal(frozen, syscall.SIGCONT)
	if r := <-waiting; outcomeOf(r) == "completed" {
		t.Errorf("ran on a withdrawn version: %+v", r)
	}
	if n := f.requestsStarted("large@1") - before; n != 0 {
		t.Errorf("%d requests started on the withdrawn version, want none", n)
	}
}

// While the log is unreachable for all instances, idempotent requests must be
// served, and billed as soon as the log is back; non-idempotent ones must be
// refused and not run.
func TestLogDown(t *testing.T) {
	f := readyFleet(t)
	if r := f.chat(f.instances[0]); outcomeOf(r) != "completed" {
		t.Fatalf("chat before the outage: %+v", r)
	}
	f.setFaults(f.log, map[string]any{"down": true})
	for _, i := range f.instances {
		f.awaitMode(i, "outage")
	}
	keys := []string{newKey(), newKey(), newKey()}
	for n, i := range f.instances {
		header := map[string]string{wire.HeaderIdempotencyKey: keys[n]}
		r := call(t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, chatBody, header)
		if outcomeOf(r) != "completed" {
			t.Errorf("chat at %s during the outage: %+v, want it completed", i.name, r)
		}
	}
	key := newKey()
	r := f.reserve(f.instances[0], key)
	if outcomeOf(r) != "refused" || r.header.Get("Retry-After") == "" || f.runs(key) != 0 {
		t.Errorf("reservation during the outage: %+v, ran %d times; want it refused with Retry-After and not run", r, f.runs(key))
	}
	if out, err := f.publish(testManifest("in-outage"), "--rebase"); err == nil {
		t.Errorf("published during the outage: %s", out)
	}
	f.setFaults(f.log, map[string]any{})
	for _, i := range f.instances {
		f.awaitMode(i, "fresh")
		eventually(t, "held bills flushed", func() bool { return f.status(i).Held == 0 })
	}
	for _, want := range keys {
		if n := f.billsOf(want); n != 1 {
			t.Errorf("%d bills for %s, want 1", n, want)
		}
	}
	if r := f.reserve(f.instances[0], key); r.status >= http.StatusMultipleChoices {
		t.Errorf("reservation after the outage: %+v, want a status below 300", r)
	}
}

// An instance that starts during an outage of the log must get the state from
// its peers, serve idempotent requests under the manifest in force, and refuse
// requests that need the log. After the outage it must know the earlier claims,
// or it would run a resent reservation again.
func TestReplacedWhileTheLogIsDown(t *testing.T) {
	f := readyFleet(t)
	key := newKey()
	if r := f.reserve(f.instances[0], key); outcomeOf(r) != "completed" {
		t.Fatalf("reservation: %+v", r)
	}
	f.setFaults(f.log, map[string]any{"down": true})
	for _, i := range f.instances {
		f.awaitMode(i, "outage")
	}
	f.instances[0].kill()
	replacement := f.addInstance()
	f.awaitMode(replacement, "outage")
	if s := f.status(replacement); s.Generation != 1 {
		t.Errorf("generation %d, want 1", s.Generation)
	}
	eventually(t, "a completed chat at the new instance", func() bool { return outcomeOf(f.chat(replacement)) == "completed" })
	if r := f.reserve(replacement, newKey()); outcomeOf(r) != "refused" {
		t.Errorf("reservation during the outage: %+v, want it refused", r)
	}
	f.setFaults(f.log, map[string]any{})
	f.awaitMode(replacement, "fresh")
	if r := f.reserve(replacement, key); outcomeOf(r) != "already_run" {
		t.Errorf("resend of the reservation from before the outage: %+v, want already_run", r)
	}
	if n := f.runs(key); n != 1 {
		t.Errorf("the reservation ran %d times, want once", n)
	}
}

// While a separate log for bills is unreachable, all requests must be served,
// including reservations, and each bill must be written exactly once after the
// log is back.
func TestBillLogDown(t *testing.T) {
	f := readyFleetWith(t, options{billLog: true})
	var keys []string
	round := func() {
		for _, i := range f.instances {
			key := newKey()
			keys = append(keys, key)
			if r := f.reserve(i, key); outcomeOf(r) != "completed" {
				t.Errorf("reservation at %s: %+v, want it completed", i.name, r)
			}
		}
	}
	round()
	f.setFaults(f.billLogAddr, map[string]any{"down": true})
	round()
	f.setFaults(f.billLogAddr, map[string]any{})
	for _, i := range f.instances {
		eventually(t, "held bills flushed", func() bool { return f.status(i).Held == 0 })
	}
	round()
	for _, key := range keys {
		if n, runs := f.billsOf(key), f.runs(key); n != 1 || runs != 1 {
			t.Errorf("%s: %d bills and %d runs, want 1 each", key, n, runs)
		}
	}
}

// An instance that is disconnected from the log but not from its peers must get
// a new manifest from them and stay fresh.
func TestDisconnectedFromTheLogOnly(t *testing.T) {
	f := readyFleet(t)
	f.logRelays[0].SetDisconnected(true)
	f.withdraw(f.instances[1])
	eventually(t, "generation 2 at the disconnected instance", func() bool {
		return f.status(f.instances[0]).Generation == 2
	})
	f.awaitMode(f.instances[0], "fresh")
	if r := f.chat(f.instances[0]); outcomeOf(r) == "completed" {
		t.Errorf("ran on a withdrawn version: %+v", r)
	}
}

// An instance that is disconnected from the log while its peers are stopped must
// refuse new requests as not run and fail the readiness check, and must recover by
// itself.
func TestDisconnectedFromTheLogAndAllPeers(t *testing.T) {
	f := readyFleet(t)
	alone := f.instances[0]
	f.logRelays[0].SetDisconnected(true)
	for _, i := range f.instances[1:] {
		f.freeze(i)
	}
	f.awaitMode(alone, "stale")
	before := f.requestsStarted("large@1")
	if r := f.chat(alone); outcomeOf(r) != "refused" || r.header.Get("Retry-After") == "" {
		t.Errorf("chat at the disconnected instance: %+v, want it refused with Retry-After", r)
	}
	if n := f.requestsStarted("large@1") - before; n != 0 {
		t.Errorf("%d requests started, want none", n)
	}
	if r := call(t, http.MethodGet, alone.admin+"/readyz", "", "", nil); r.status != http.StatusServiceUnavailable {
		t.Errorf("readiness check at the disconnected instance: %+v, want status 503", r)
	}
	for _, i := range f.instances[1:] {
		if err := i.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	f.logRelays[0].SetDisconnected(false)
	f.awaitMode(alone, "fresh")
	if r := f.chat(alone); outcomeOf(r) != "completed" {
		t.Errorf("chat after the reconnection: %+v, want it completed", r)
	}
}

// Of conflicting manifests that are published through all instances at once,
// exactly one must come into force everywhere; the other publishers must get a
// conflict (exit status 4).
func TestOperatorsRace(t *testing.T) {
	f := readyFleet(t)
	var current struct {
		Digest string `json:"digest"`
	}
	r := call(t, http.MethodGet, f.instances[0].admin+"/manifest", "", "", nil)
	if err := json.Unmarshal([]byte(r.body), &current); err != nil {
		t.Fatal(err)
	}
	statuses := make([]int, len(f.instances))
	var wg sync.WaitGroup
	for n, i := range f.instances {
		m := testManifest("racer-" + i.name)
		m.Generation, m.Parent = 2, current.Digest
		single := &fleet{t: t, instances: []*instance{i}}
		wg.Go(func() {
			_, err := single.publish(m)
			if exit, ok := err.(*exec.ExitError); ok {
				statuses[n] = exit.ExitCode()
			}
		})
	}
	wg.Wait()
	won := 0
	for _, s := range statuses {
		switch s {
		case 0:
			won++
		case 4:
		default:
			t.Errorf("exit statuses %v, want only 0 and 4", statuses)
		}
	}
	if won != 1 {
		t.Errorf("%d publishers succeeded, want 1: exit statuses %v", won, statuses)
	}
	for _, i := range f.instances {
		if got := f.status(i).Generation; got != 2 {
			t.Errorf("%s has generation %d, want 2", i.name, got)
		}
	}
}
