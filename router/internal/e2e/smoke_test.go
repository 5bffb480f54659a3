package e2e

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/uuid"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/wire"
)

const (
	operatorKey = "operator-key"
	weaversKey  = "weavers-key"
	clerksKey   = "clerks-key"
)

var operatorKeyHash = manifest.HashKey(operatorKey)

// testManifest allows the weavers both models and the shop, the clerks only the
// small model.
func testManifest(publication string) manifest.Manifest {
	return manifest.Manifest{
		Publication: publication,
		Teams: []manifest.Team{
			{ID: "weavers", KeyHashes: []string{manifest.HashKey(weaversKey)}, Weight: 2, QualityTarget: 0.5,
				Allowed: []string{"small@1", "large@1"}, Services: []string{"shop"}},
			{ID: "clerks", KeyHashes: []string{manifest.HashKey(clerksKey)}, Weight: 1, QualityTarget: 0.5,
				Allowed: []string{"small@1"}},
		},
		Versions: []manifest.Version{
			{ID: "small@1", Model: "small", State: "serving", Share: 1, Cost: 1, Quality: 0.6},
			{ID: "large@1", Model: "large", State: "serving", Share: 1, Cost: 10, Quality: 0.9},
		},
		Services: []manifest.Service{{ID: "shop", Price: 0.5, Routes: []manifest.Route{
			{Method: "GET", Path: "/stock/*", Idempotent: true},
			{Method: "POST", Path: "/reservations", Idempotent: false},
		}}},
	}
}

// publish runs "masticplank manifest publish --wait" with the addresses of all
// instances.
func (f *fleet) publish(m manifest.Manifest, args ...string) (string, error) {
	f.t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.t.TempDir(), "manifest.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	var addrs []string
	for _, i := range f.instances {
		addrs = append(addrs, i.admin)
	}
	args = append([]string{"manifest", "publish", file, "--instances", strings.Join(addrs, ","), "--wait", "30s"}, args...)
	return runTool(args...)
}

// runTool runs the operators' tool and returns its combined output.
func runTool(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "masticplank"), args...)
	cmd.Env = append(os.Environ(), "MASTICPLANK_OPERATOR_KEY="+operatorKey)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, i := range f.instances {
		eventually(f.t, i.name+" ready", func() bool {
			return call(f.t, http.MethodGet, i.admin+"/readyz", "", "", nil).status == http.StatusOK
		})
	}
}

// Runs each kind of request and the operators' commands that publish a manifest
// or read the state against two instances, all of them separate processes of
// the built binaries.
func TestSmoke(t *testing.T) {
	f := startFleet(t, 2, options{})
	eventually(t, "publishing", func() bool {
		out, err := f.publish(testManifest("run-1"), "--rebase")
		t.Log(out)
		return err == nil
	})
	f.awaitReady()
	t.Run("chat", f.testChat)
	t.Run("stream", f.testStream)
	t.Run("service", f.testService)
	t.Run("refusals", f.testRefusals)
	t.Run("session", f.testSession)
	t.Run("conflict", f.testConflict)
	t.Run("operators", f.testOperators)
	t.Run("graceful shutdown", f.testShutdown)
}

const chatBody = `{"model":"large","messages":[{"role":"user","content":"draft a twill pattern"}],"max_tokens":12}`

var chatMessages = []wire.Message{{Role: "user", Content: "draft a twill pattern"}}

func (f *fleet) testChat(t *testing.T) {
	for _, i := range f.instances {
		r := call(t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, chatBody, nil)
		var got wire.ChatResponse
		if err := json.Unmarshal([]byte(r.body), &got); err != nil || r.status != http.StatusOK {
			t.Fatalf("%s: status %d, body %s, error %v", i.name, r.status, r.body, err)
		}
		checkAnswer(t, got.Choices[0].Message.Content, 12)
		if r.header.Get(wire.HeaderOutcome) != "completed" || r.header.Get(wire.HeaderVersion) != "large@1" {
			t.Errorf("%s: header %v, want completed on large@1", i.name, r.header)
		}
	}
}

func (f *fleet) testStream(t *testing.T) {
	body := strings.Replace(chatBody, `"max_tokens"`, `"stream":true,"max_tokens"`, 1)
	r := call(t, http.MethodPost, f.instances[0].api+"/v1/chat/completions", weaversKey, body, nil)
	if r.err != nil || r.status != http.StatusOK {
		t.Fatalf("got %+v, want status 200", r)
	}
	text, ended := readEvents(t, r.body)
	checkAnswer(t, text, 12)
	if !ended {
		t.Error("the stream has no end marker")
	}
}

// checkAnswer compares text with the answer of a correct engine to
// chatMessages.
func checkAnswer(t *testing.T, text string, maxTokens int) {
	t.Helper()
	_, rest, ok := engine.ParseAnswer(text)
	if want := engine.ExpectedText("large@1", chatMessages, maxTokens); !ok || rest != want {
		t.Errorf("got %q, want %q", text, want)
	}
}

// readEvents concatenates the deltas of a stream and reports whether the end
// marker was received.
func readEvents(t *testing.T, body string) (text string, ended bool) {
	t.Helper()
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == wire.StreamEnd {
			return text, true
		}
		var c wire.ChatResponse
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		for _, choice := range c.Choices {
			if choice.Delta != nil {
				text += choice.Delta.Content
			}
		}
	}
	return text, false
}

// testService checks that a service can be called, and that a reservation
// resent at another instance does not run again.
func (f *fleet) testService(t *testing.T) {
	r := call(t, http.MethodGet, f.instances[0].api+"/services/shop/stock/wool", weaversKey, "", nil)
	if r.status != http.StatusOK {
		t.Fatalf("stock: %+v, want status 200", r)
	}
	key := uuid.Must(uuid.NewV7()).String()
	header := map[string]string{wire.HeaderIdempotencyKey: key}
	first := call(t, http.MethodPost, f.instances[0].api+"/services/shop/reservations", weaversKey, `{"wool":3}`, header)
	if first.status != http.StatusOK && first.status != http.StatusCreated {
		t.Fatalf("reservation: %+v, want status 200 or 201", first)
	}
	again := call(t, http.MethodPost, f.instances[1].api+"/services/shop/reservations", weaversKey, `{"wool":3}`, header)
	if again.status != http.StatusConflict || again.header.Get(wire.HeaderOutcome) != "already_run" {
		t.Errorf("resend at the other instance: %+v, want 409 and already_run", again)
	}
	stats := call(t, http.MethodGet, "http://"+f.shop+"/stats", "", "", nil)
	var got struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal([]byte(stats.body), &got); err != nil || got.Runs[key] != 1 {
		t.Errorf("runs of %s, want 1: %s", key, stats.body)
	}
}

// testRefusals checks that invalid and forbidden requests are refused with the
// status and code that tell their callers why.
func (f *fleet) testRefusals(t *testing.T) {
	api := f.instances[0].api
	chat := api + "/v1/chat/completions"
	for _, c := range []struct {
		name, method, url, key, body string
		status                       int
		code                         string
	}{
		{"wrong key", "POST", chat, "nobody", chatBody, 401, "invalid_api_key"},
		{"not allowed", "POST", chat, clerksKey, chatBody, 403, "model_not_allowed"},
		{"unknown model", "POST", chat, weaversKey, strings.Replace(chatBody, "large", "huge", 1), 404, "unknown_model"},
		{"too large", "POST", chat, weaversKey, strings.Repeat(" ", 2<<20) + chatBody, 413, "body_too_large"},
		{"malformed", "POST", chat, weaversKey, `{"messages":`, 400, "malformed_request"},
		{"no key", "POST", api + "/services/shop/reservations", weaversKey, `{}`, 400, "key_required"},
		{"service not allowed", "GET", api + "/services/shop/stock/wool", clerksKey, "", 403, "service_not_allowed"},
		{"unknown path", "GET", api + "/v2/nothing", weaversKey, "", 404, "not_found"},
	} {
		r := call(t, c.method, c.url, c.key, c.body, nil)
		var got wire.Error
		_ = json.Unmarshal([]byte(r.body), &got)
		if r.status != c.status || got.Error.Code != c.code || r.header.Get(wire.HeaderOutcome) != "refused" {
			t.Errorf("%s: status %d, code %q, outcome %q; want the status and code of the case, refused", c.name, r.status, got.Error.Code, r.header.Get(wire.HeaderOutcome))
		}
	}
}

// testSession checks that every instance accepts the token of a session that
// the first one opened, and a session named by its caller.
func (f *fleet) testSession(t *testing.T) {
	r := call(t, http.MethodPost, f.instances[0].api+"/v1/sessions", weaversKey, "", nil)
	var opened struct {
		Token    string            `json:"token"`
		Versions map[string]string `json:"versions"`
	}
	if err := json.Unmarshal([]byte(r.body), &opened); err != nil || r.status != http.StatusCreated {
		t.Fatalf("opening a session: %+v, want status 201", r)
	}
	for _, session := range []string{opened.Token, "school-17"} {
		for _, i := range f.instances {
			r := call(t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, chatBody,
				map[string]string{wire.HeaderSession: session})
			if r.status != http.StatusOK || r.header.Get(wire.HeaderVersion) != "large@1" {
				t.Errorf("%s, session %.12s: status %d, body %s; want 200 on large@1", i.name, session, r.status, r.body)
			}
		}
	}
}

// testConflict publishes two manifests with the same parent: the second one is a
// conflict (exit status 4), and repeating the first one succeeds.
func (f *fleet) testConflict(t *testing.T) {
	var current struct {
		Digest   string            `json:"digest"`
		Manifest manifest.Manifest `json:"manifest"`
	}
	r := call(t, http.MethodGet, f.instances[0].admin+"/manifest", "", "", nil)
	if err := json.Unmarshal([]byte(r.body), &current); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		publication string
		status      int
	}{{"run-2", 0}, {"run-3", 4}, {"run-2", 0}} {
		m := testManifest(c.publication)
		m.Generation, m.Parent = current.Manifest.Generation+1, current.Digest
		out, err := f.publish(m)
		status := 0
		if exit, ok := err.(*exec.ExitError); ok {
			status = exit.ExitCode()
		}
		if status != c.status {
			t.Errorf("%s: exit status %d, want %d: %s", c.publication, status, c.status, out)
		}
	}
}

// testOperators runs each command that reads the state of the fleet.
func (f *fleet) testOperators(t *testing.T) {
	addrs := f.instances[0].admin + "," + f.instances[1].admin
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"status", "--instances", addrs}, "fresh"},
		{[]string{"manifest", "status", "--instances", addrs}, "generation 2"},
		{[]string{"manifest", "get", "--next", "--instances", addrs}, `"generation": 3`},
		{[]string{"report", "burn", "--instances", addrs}, "2 of 2 instances"},
		{[]string{"report", "burn", "--instances", addrs, "-o", "html"}, "weavers"},
		{[]string{"ledger", "export", "--log", "http://" + f.billLogAddr, "-o", "text"}, "large@1"},
	} {
		if out, err := runTool(c.args...); err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%v: %v: %s", c.args, err, out)
		}
	}
}

// testShutdown sends SIGTERM while a stream is running: the stream is completed
// and the process exits with status 0.
func (f *fleet) testShutdown(t *testing.T) {
	body := `{"model":"large","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"draft a twill pattern"}]}`
	i := f.instances[0]
	got := make(chan response, 1)
	go func() {
		got <- call(t, http.MethodPost, i.api+"/v1/chat/completions", weaversKey, body, nil)
	}()
	eventually(t, "an open stream", func() bool {
		return strings.Contains(call(t, http.MethodGet, i.admin+"/status", "", "", nil).body, `"open":1`)
	})
	if err := i.terminate(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
	r := <-got
	text, ended := readEvents(t, r.body)
	checkAnswer(t, text, 200)
	if !ended {
		t.Errorf("the stream has no end marker: error %v", r.err)
	}
}
