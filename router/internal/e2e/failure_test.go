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

// readyFleet starts three instances and publishes the first manifest.
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
	return call(f.t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, helloBody, nil)
}

func (f *fleet) reserve(i *instance, key string) response {
	f.t.Helper()
	header := map[string]string{wire.HeaderIdempotencyKey: key}
	return call(f.t, http.MethodPost, i.api+"/services/shop/reservations", weaversKey, `{"wool":3}`, header)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func outcomeOf(r response) string { return r.header.Get(wire.HeaderOutcome) }

// withdraw publishes a manifest without large@1, through instance i.
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

// startedOn counts the requests that engines began on a version.
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

// TestKilledWhileAReservationRuns kills the instance between the claim and the
// answer. Sent again elsewhere it must not run again.
func TestKilledWhileAReservationRuns(t *testing.T) {
	f := readyFleetWith(t, options{shopArgs: []string{"--work", "500ms"}})
	key := newKey()
	first := make(chan response, 1)
	go func() { first <- f.reserve(f.instances[0], key) }()
	eventually(t, "the reservation at the shop", func() bool {
		return strings.Contains(call(t, http.MethodGet, "http://"+f.shop+"/load", "", "", nil).body, `"running":1`)
	})
	f.instances[0].kill()
	if r := <-first; r.err == nil {
		t.Errorf("the killed instance answered: %+v", r)
	}
	for _, i := range f.instances[1:] {
		if r := f.reserve(i, key); outcomeOf(r) != "already_run" {
			t.Errorf("again at %s: %+v", i.name, r)
		}
	}
	if n := f.runs(key); n > 1 {
		t.Errorf("ran %d times", n)
	}
}

func (f *fleet) signal(i *instance, sig syscall.Signal) {
	f.t.Helper()
	if err := i.cmd.Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// freeze stops a process and waits until none of its threads runs: the signal takes effect
// a while after it was sent, and a request that comes before that is served as usual.
func (f *fleet) freeze(i *instance) {
	f.t.Helper()
	f.signal(i, syscall.SIGSTOP)
	eventually(f.t, i.name+" is stopped", func() bool { return threadsStopped(f.t, i.cmd.Process.Pid) })
}

// threadsStopped tells whether the kernel shows all threads of a process as stopped.
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
		// The state follows the command's name, which stands in brackets.
		if !strings.HasPrefix(string(stat[bytes.LastIndexByte(stat, ')')+1:]), " T") {
			return false
		}
	}
	return true
}

// TestFrozenInstanceMissesAWithdrawal stops a process for longer than the
// freshness bound, withdraws a version meanwhile, and lets it go on with a
// request already in its socket.
func TestFrozenInstanceMissesAWithdrawal(t *testing.T) {
	f := readyFleet(t)
	frozen, publisher, witness := f.instances[0], f.instances[1], f.instances[2]
	before := f.requestsStarted("large@1")
	f.freeze(frozen)
	waiting := make(chan response, 1)
	go func() { waiting <- f.chat(frozen) }()
	f.withdraw(publisher)
	// The witness is cut off after the freeze; once it is stale, the frozen
	// instance's last read is older than the bound as well.
	f.logRelays[2].SetDisconnected(true)
	f.freeze(publisher)
	f.awaitMode(witness, "stale")
	f.signal(publisher, syscall.SIGCONT)
	f.signal(frozen, syscall.SIGCONT)
	if r := <-waiting; outcomeOf(r) == "completed" {
		t.Errorf("ran on a withdrawn version: %+v", r)
	}
	if n := f.requestsStarted("large@1") - before; n != 0 {
		t.Errorf("%d requests began on the withdrawn version", n)
	}
}

// TestLogDown takes the log away from everybody: idempotent work goes on and is
// billed once the log is back, non-idempotent work is refused and not run.
func TestLogDown(t *testing.T) {
	f := readyFleet(t)
	if r := f.chat(f.instances[0]); outcomeOf(r) != "completed" {
		t.Fatalf("before: %+v", r)
	}
	f.faults(f.log, map[string]any{"down": true})
	for _, i := range f.instances {
		f.awaitMode(i, "outage")
	}
	keys := []string{newKey(), newKey(), newKey()}
	for n, i := range f.instances {
		header := map[string]string{wire.HeaderIdempotencyKey: keys[n]}
		r := call(t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, helloBody, header)
		if outcomeOf(r) != "completed" {
			t.Errorf("%s: %+v", i.name, r)
		}
	}
	key := newKey()
	r := f.reserve(f.instances[0], key)
	if outcomeOf(r) != "refused" || r.header.Get("Retry-After") == "" || f.runs(key) != 0 {
		t.Errorf("reservation in the outage: %+v, ran %d times", r, f.runs(key))
	}
	if out, err := f.publish(testManifest("in-outage"), "--rebase"); err == nil {
		t.Errorf("published in an outage: %s", out)
	}
	f.faults(f.log, map[string]any{})
	for _, i := range f.instances {
		f.awaitMode(i, "fresh")
		eventually(t, "held bills flushed", func() bool { return f.status(i).Held == 0 })
	}
	for _, want := range keys {
		if n := f.billsOf(want); n != 1 {
			t.Errorf("%d bills for %s", n, want)
		}
	}
	if r := f.reserve(f.instances[0], key); r.status >= http.StatusMultipleChoices {
		t.Errorf("reservation after the outage: %+v", r)
	}
}

// TestReplacedWhileTheLogIsDown starts a new instance in an outage: it takes the
// state over from its peers, serves idempotent work under the manifest in force, and
// refuses what needs the log.
func TestReplacedWhileTheLogIsDown(t *testing.T) {
	f := readyFleet(t)
	key := newKey()
	if r := f.reserve(f.instances[0], key); outcomeOf(r) != "completed" {
		t.Fatalf("reservation: %+v", r)
	}
	f.faults(f.log, map[string]any{"down": true})
	for _, i := range f.instances {
		f.awaitMode(i, "outage")
	}
	f.instances[0].kill()
	replacement := f.add()
	f.awaitMode(replacement, "outage")
	if s := f.status(replacement); s.Generation != 1 {
		t.Errorf("generation %d", s.Generation)
	}
	eventually(t, "a chat at the new instance", func() bool { return outcomeOf(f.chat(replacement)) == "completed" })
	if r := f.reserve(replacement, newKey()); outcomeOf(r) != "refused" {
		t.Errorf("reservation in the outage: %+v", r)
	}
	f.faults(f.log, map[string]any{})
	f.awaitMode(replacement, "fresh")
	if r := f.reserve(replacement, key); outcomeOf(r) != "already_run" {
		t.Errorf("the reservation of before: %+v", r)
	}
	if n := f.runs(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestBillLogDown has bills in a log of their own and takes that one away: all
// work goes on, reservations too, and each bill is in once the log is back.
func TestBillLogDown(t *testing.T) {
	f := readyFleetWith(t, options{billLog: true})
	var keys []string
	round := func() {
		for _, i := range f.instances {
			key := newKey()
			keys = append(keys, key)
			if r := f.reserve(i, key); outcomeOf(r) != "completed" {
				t.Errorf("%s: %+v", i.name, r)
			}
		}
	}
	round()
	f.faults(f.bills, map[string]any{"down": true})
	round()
	f.faults(f.bills, map[string]any{})
	for _, i := range f.instances {
		eventually(t, "held bills flushed", func() bool { return f.status(i).Held == 0 })
	}
	round()
	for _, key := range keys {
		if n, runs := f.billsOf(key), f.runs(key); n != 1 || runs != 1 {
			t.Errorf("%s: %d bills, %d runs", key, n, runs)
		}
	}
}

// TestCutFromTheLogOnly cuts one instance's line to the log: it hears of a new
// manifest from its peers.
func TestCutFromTheLogOnly(t *testing.T) {
	f := readyFleet(t)
	f.logRelays[0].SetDisconnected(true)
	f.withdraw(f.instances[1])
	eventually(t, "generation 2 at the cut instance", func() bool {
		return f.status(f.instances[0]).Generation == 2
	})
	f.awaitMode(f.instances[0], "fresh")
	if r := f.chat(f.instances[0]); outcomeOf(r) == "completed" {
		t.Errorf("ran on a withdrawn version: %+v", r)
	}
}

// TestCutFromAll leaves one instance alone: it refuses new work as not run and
// fails readiness, and comes back by itself.
func TestCutFromAll(t *testing.T) {
	f := readyFleet(t)
	alone := f.instances[0]
	f.logRelays[0].SetDisconnected(true)
	for _, i := range f.instances[1:] {
		f.freeze(i)
	}
	f.awaitMode(alone, "stale")
	before := f.requestsStarted("large@1")
	if r := f.chat(alone); outcomeOf(r) != "refused" || r.header.Get("Retry-After") == "" {
		t.Errorf("new work: %+v", r)
	}
	if n := f.requestsStarted("large@1") - before; n != 0 {
		t.Errorf("%d requests began", n)
	}
	if r := call(t, http.MethodGet, alone.admin+"/readyz", "", "", nil); r.status != http.StatusServiceUnavailable {
		t.Errorf("readiness: %+v", r)
	}
	for _, i := range f.instances[1:] {
		if err := i.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	f.logRelays[0].SetDisconnected(false)
	f.awaitMode(alone, "fresh")
	if r := f.chat(alone); outcomeOf(r) != "completed" {
		t.Errorf("after the cut: %+v", r)
	}
}

// TestOperatorsRace publishes conflicting manifests through all instances at
// once: one wins everywhere, the others are told of a conflict.
func TestOperatorsRace(t *testing.T) {
	f := readyFleet(t)
	var now struct {
		Digest string `json:"digest"`
	}
	r := call(t, http.MethodGet, f.instances[0].admin+"/manifest", "", "", nil)
	if err := json.Unmarshal([]byte(r.body), &now); err != nil {
		t.Fatal(err)
	}
	statuses := make([]int, len(f.instances))
	var wg sync.WaitGroup
	for n, i := range f.instances {
		m := testManifest("racer-" + i.name)
		m.Generation, m.Parent = 2, now.Digest
		one := &fleet{t: t, instances: []*instance{i}}
		wg.Go(func() {
			_, err := one.publish(m)
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
			t.Errorf("exit statuses %v", statuses)
		}
	}
	if won != 1 {
		t.Errorf("%d publishers won: %v", won, statuses)
	}
	for _, i := range f.instances {
		if got := f.status(i).Generation; got != 2 {
			t.Errorf("%s has generation %d", i.name, got)
		}
	}
}
