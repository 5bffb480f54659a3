package faultmatrix

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/wire"
)

// servers are the backend servers known to every instance.
var servers = []decision.Server{
	{ID: "e1", Versions: []decision.VersionID{"draft@1", "draft@2"}, Slots: 2},
	{ID: "e2", Versions: []decision.VersionID{"draft@1", "draft@2"}, Slots: 2},
	{ID: "s1", Service: "stock", Slots: 2},
	{ID: "s2", Service: "stock", Slots: 2},
}

// backendAddrs resolves the addresses of the backend servers and ignores their
// load.
type backendAddrs struct{}

func (backendAddrs) Addr(id decision.ServerID) (string, bool) { return string(id) + ":8000", true }

func (backendAddrs) ObserveLoad(decision.ServerID, string) {}

// teamKey is the API key of the only team.
const teamKey = "loom"

// initialManifest is in force at the beginning of a cell.
func initialManifest() manifest.Manifest {
	return manifest.Manifest{
		Publication: "first",
		Teams: []manifest.Team{{ID: "weavers", KeyHashes: []string{manifest.HashKey(teamKey)}, Weight: 1,
			Allowed: []string{"draft@1", "draft@2"}, Services: []string{"stock"}}},
		Versions: []manifest.Version{
			{ID: "draft@1", Model: "draft", State: manifest.StateServing, Share: 1, Cost: 2, Quality: 0.9},
			{ID: "draft@2", Model: "draft", State: manifest.StateServing, Cost: 2, Quality: 0.9},
		},
		Services: []manifest.Service{{ID: "stock", Price: 1, Routes: []manifest.Route{{Method: "POST", Path: "/reservations"}}}},
	}
}

// withdrawalManifest withdraws draft@1 and replaces it by draft@2.
func withdrawalManifest(publication string) manifest.Manifest {
	m := initialManifest()
	m.Publication = publication
	m.Versions[0].State = manifest.StateWithdrawn
	m.Versions[0].Share = 0
	m.Versions[1].Share = 1
	return m
}

// Faulty behaviours of a run at a backend server.
const (
	// behaviourCrossed echoes the nonce of another attempt.
	behaviourCrossed = "crossed"
	// behaviourTruncated breaks the connection before the end of the answer.
	behaviourTruncated = "truncated"
	// behaviourUnended ends a stream normally, without the end marker.
	behaviourUnended = "unended"
	// behaviourDuplicated sends each event of a stream but the last twice.
	behaviourDuplicated = "duplicated"
	// behaviourSlow pauses for 8 s in the middle of the run.
	behaviourSlow = "slow"
	// behaviourLateTail repeats an event after the end marker.
	behaviourLateTail = "late tail"
)

// serveBackend starts a backend server, either an engine or a plain service.
func (b *testbed) serveBackend(name string) {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.handleBackend(name, w, r) })}
	l := b.net.listen(name + ":8000")
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	b.t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
}

func (b *testbed) handleBackend(name string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	if b.isLeaving(name) {
		w.Header().Set(wire.HeaderNotRun, "true")
		w.Header().Set(wire.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/reservations" {
		b.reserve(name, w, r)
		return
	}
	var chat wire.ChatRequest
	_ = json.Unmarshal(body, &chat)
	b.chat(name, w, chat)
}

func (b *testbed) isLeaving(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nextLeaving {
		b.nextLeaving = false
		b.leaving[name] = time.Now()
	}
	_, leaves := b.leaving[name]
	return leaves || b.allServersLeaving
}

// recordRun records a run with the current time.
func (b *testbed) recordRun(r run) {
	r.at = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
	b.servingServer = r.server
}

// reachMidstream is called in the middle of a run, which is the step "stream". It
// returns the behaviour for the rest of the run and resets it to normal.
func (b *testbed) reachMidstream() (behaviour string) {
	b.reachStep(nil, "stream")
	b.mu.Lock()
	defer b.mu.Unlock()
	behaviour, b.behaviour = b.behaviour, ""
	return behaviour
}

func (b *testbed) reserve(name string, w http.ResponseWriter, r *http.Request) {
	b.recordRun(run{request: r.Header.Get(wire.HeaderIdempotencyKey), server: name})
	if applyBehaviour(w, b.reachMidstream()) {
		w.Header().Set("Content-Length", strconv.Itoa(len(reservationAnswer)+1))
	}
	_, _ = io.WriteString(w, reservationAnswer)
}

// applyBehaviour sets a wrong nonce or pauses, if behaviour says so. It reports
// whether the response is to be truncated.
func applyBehaviour(w http.ResponseWriter, behaviour string) (truncate bool) {
	switch behaviour {
	case behaviourCrossed:
		w.Header().Set(wire.HeaderAttempt, "another's")
	case behaviourSlow:
		time.Sleep(8 * time.Second)
	}
	return behaviour == behaviourTruncated
}

const (
	// reservationAnswer is the body of an answer of the plain service.
	reservationAnswer = `{"reserved":true}`
)

// streamEvents are the events of a streamed answer.
var streamEvents = []string{
	`{"choices":[{"delta":{"content":"over "}}]}`,
	`{"choices":[{"delta":{"content":"under"}}]}`,
	`{"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`,
	wire.StreamEnd,
}

func (b *testbed) chat(name string, w http.ResponseWriter, chat wire.ChatRequest) {
	b.recordRun(run{request: chat.Messages[0].Content, version: chat.Model, server: name})
	if chat.Stream {
		b.stream(w)
		return
	}
	b.t.Error("the engine was not asked for a stream")
}

// stream sends the first token, reaches the step "stream", and sends the rest
// according to the behaviour.
func (b *testbed) stream(w http.ResponseWriter) {
	b.mu.Lock()
	if b.behaviour == behaviourCrossed {
		applyBehaviour(w, behaviourCrossed)
		b.behaviour = ""
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(i int) {
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: "+streamEvents[i]+"\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	send(0)
	// The bubble's clock advances only after the token has reached the caller.
	time.Sleep(time.Millisecond)
	behaviour := b.reachMidstream()
	applyBehaviour(w, behaviour)
	for i := 1; i < len(streamEvents); i++ {
		switch {
		case behaviour == behaviourTruncated && i == len(streamEvents)-1:
			panic(http.ErrAbortHandler)
		case behaviour == behaviourUnended && i == len(streamEvents)-1:
			return
		case behaviour == behaviourDuplicated:
			send(i - 1)
		}
		send(i)
	}
	if behaviour == behaviourLateTail {
		send(1)
	}
}
