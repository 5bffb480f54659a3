package faultmatrix

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/router/internal/wire"
)

// The kinds of requests.
const (
	kindPlain   = "plain"
	kindStream  = "stream"
	kindReserve = "reserve"
)

// Outcomes in addition to the values of wire.HeaderOutcome.
const (
	// outcomeTruncated: the response ended early, with an error at the client.
	outcomeTruncated = "cut"
	// outcomeNoAnswer: the connection ended without a response.
	outcomeNoAnswer = "gone"
)

// answer is the result of sending a request once, as seen by the caller.
type answer struct {
	request, kind, outcome string
	body                   string
	// runsAfter is how often the request had run when the answer arrived.
	runsAfter int
}

// newKey returns a UUIDv7 with the time of the synctest bubble. uuid.NewV7 is
// monotonic within the process and would use the time of another bubble if that
// is later.
func newKey() string {
	var id uuid.UUID
	copy(id[:], uuid.Must(uuid.NewV7()).NodeID())
	random := uuid.New()
	copy(id[6:], random[6:])
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// call sends a request to an instance and records the answer.
func (b *testbed) call(kind, via, key string) answer {
	b.t.Helper()
	b.mu.Lock()
	b.gateChecks = 0
	b.mu.Unlock()
	got := answer{request: key, kind: kind}
	got.outcome, got.body = b.send(kind, via, key)
	got.runsAfter = len(b.runsOf(key))
	b.mu.Lock()
	b.answers = append(b.answers, got)
	b.mu.Unlock()
	return got
}

func (b *testbed) send(kind, via, key string) (outcome, body string) {
	transport := &http.Transport{DialContext: b.net.dialer("caller"), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	path, text := "/v1/chat/completions", chatBody(kind, key)
	if kind == kindReserve {
		path, text = "/services/stock/reservations", "{}"
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if via == "a" {
		b.cancelCaller = cancel
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+via+":80"+path, bytes.NewBufferString(text))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return outcomeNoAnswer, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeTruncated, string(data)
	}
	return resp.Header.Get(wire.HeaderOutcome), string(data)
}

func chatBody(kind, key string) string {
	body, _ := json.Marshal(wire.ChatRequest{
		Model:     "draft",
		Messages:  []wire.Message{{Role: "user", Content: key}},
		MaxTokens: 4,
		Stream:    kind == kindStream,
	})
	return string(body)
}

func (b *testbed) runsOf(key string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		if r.request == key {
			out = append(out, r)
		}
	}
	return out
}

// expectedPlainAnswer is the plain answer assembled from streamEvents.
const expectedPlainAnswer = `{"id":"","object":"chat.completion","created":0,"model":"","choices":[{"index":0,` +
	`"message":{"role":"assistant","content":"over under"},"finish_reason":"stop"}],` +
	`"usage":{"prompt_tokens":0,"completion_tokens":2,"total_tokens":0}}`

// expectedAnswer returns the body of a completed answer of the given kind.
func expectedAnswer(kind string) string {
	switch kind {
	case kindReserve:
		return reservationAnswer
	case kindPlain:
		return expectedPlainAnswer
	}
	var out strings.Builder
	for _, ev := range streamEvents {
		out.WriteString("data: " + ev + "\n\n")
	}
	return out.String()
}

// checkInvariants checks all answers, runs, bills and generations of a cell: a
// refused reservation has not run, a reservation runs at most once, a completed
// answer is complete, has run and is billed exactly once, and a truncated answer
// does not look complete.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	bills := b.bills()
	for _, a := range b.answers {
		runs := len(b.runsOf(a.request))
		switch {
		case a.outcome == "refused" && a.kind == kindReserve && a.runsAfter > 0:
			b.t.Errorf("a refused reservation ran %d times, want none", a.runsAfter)
		case a.kind == kindReserve && runs > 1:
			b.t.Errorf("a reservation ran %d times, want at most once", runs)
		case a.outcome == "completed" && a.body != expectedAnswer(a.kind):
			b.t.Errorf("completed with %q instead of the expected answer", a.body)
		case a.outcome == "completed" && bills[a.request] != 1:
			b.t.Errorf("a completed request was billed %d times, want once", bills[a.request])
		case a.outcome == "completed" && runs == 0:
			b.t.Error("a completed request never ran")
		case a.outcome == outcomeTruncated && strings.Contains(a.body, wire.StreamEnd):
			b.t.Errorf("a truncated answer has the end marker: %q", a.body)
		}
	}
	for key, n := range bills {
		if n > 1 || len(b.runsOf(key)) == 0 {
			b.t.Errorf("%d bills of a request that ran %d times, want one bill at most, and none without a run", n, len(b.runsOf(key)))
		}
	}
	b.checkRuns()
	b.checkGenerations()
}

// checkRuns checks that no run started on a version withdrawn everywhere for
// longer than withdrawalSlack, nor at a backend server that had begun to leave.
func (b *testbed) checkRuns() {
	b.t.Helper()
	for _, r := range b.runs {
		if at, ok := b.withdrawn[r.version]; ok && r.at.After(at.Add(b.withdrawalSlack)) {
			b.t.Errorf("ran on %s %v after its withdrawal, want at most withdrawalSlack after it", r.version, r.at.Sub(at))
		}
		if at, ok := b.leaving[r.server]; ok && r.at.After(at) {
			b.t.Errorf("ran at %s %v after it began to leave, want no run after that", r.server, r.at.Sub(at))
		}
	}
}

// checkGenerations checks that the generations of each instance increase, and
// that all live instances that have a manifest in force have the same one.
func (b *testbed) checkGenerations() {
	b.t.Helper()
	var digest string
	for _, in := range b.instances {
		for i := 1; i < len(in.generations); i++ {
			if in.generations[i] <= in.generations[i-1] {
				b.t.Errorf("the generations of %s do not increase: %v", in.name, in.generations)
			}
		}
		if b.net.isDown(in.name) || in.holder.Current() == nil {
			continue
		}
		if digest == "" {
			digest = in.holder.Current().Digest
		}
		if in.holder.Current().Digest != digest {
			b.t.Errorf("%s has a different manifest in force", in.name)
		}
	}
}

// bills returns the number of bills in the ledger by request.
func (b *testbed) bills() map[string]int {
	b.t.Helper()
	out := map[string]int{}
	_, err := ledger.Export(context.Background(), b.log.Client("export"), fold.DefaultConfig(), 0, func(l ledger.ExportedBill) error {
		out[l.RequestID]++
		return nil
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return out
}
