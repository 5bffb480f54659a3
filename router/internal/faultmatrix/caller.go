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

// The kinds of work.
const (
	kindPlain   = "plain"
	kindStream  = "stream"
	kindReserve = "reserve"
)

// What a caller can get, beside the outcomes that masticplank names.
const (
	// cut: the answer broke off, and the caller's client says so.
	outcomeTruncated = "cut"
	// gone: the connection ended without an answer.
	outcomeNoAnswer = "gone"
)

// answer is what a caller got for one try of a request.
type answer struct {
	request, kind, outcome string
	body                   string
	// runsAfter is how often the request had run when the answer came.
	runsAfter int
}

// newKey is a UUIDv7 of the bubble's time: uuid.NewV7 never goes back behind
// the last key of the process, which another bubble may have made.
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

// call sends a request to an instance and notes what came back.
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

// wholePlain is the streamed answer, put together.
const expectedPlainAnswer = `{"id":"","object":"chat.completion","created":0,"model":"","choices":[{"index":0,` +
	`"message":{"role":"assistant","content":"over under"},"finish_reason":"stop"}],` +
	`"usage":{"prompt_tokens":0,"completion_tokens":2,"total_tokens":0}}`

// whole is the whole answer of a kind, as the caller is to see it.
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

// judge holds everything that happened in a cell to the promises.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	bills := b.bills()
	for _, a := range b.answers {
		runs := len(b.runsOf(a.request))
		switch {
		case a.outcome == "refused" && a.kind == kindReserve && a.runsAfter > 0:
			b.t.Errorf("told refused, but it ran %d times", a.runsAfter)
		case a.kind == kindReserve && runs > 1:
			b.t.Errorf("a reservation ran %d times", runs)
		case a.outcome == "completed" && a.body != expectedAnswer(a.kind):
			b.t.Errorf("completed with %q", a.body)
		case a.outcome == "completed" && bills[a.request] != 1:
			b.t.Errorf("completed and billed %d times", bills[a.request])
		case a.outcome == "completed" && runs == 0:
			b.t.Error("completed, and never ran")
		case a.outcome == outcomeTruncated && strings.Contains(a.body, wire.StreamEnd):
			b.t.Errorf("a cut answer looks whole: %q", a.body)
		}
	}
	for key, n := range bills {
		if n > 1 || len(b.runsOf(key)) == 0 {
			b.t.Errorf("%d bills of a request that ran %d times", n, len(b.runsOf(key)))
		}
	}
	b.checkRuns()
	b.checkGenerations()
}

// judgeRuns: nothing starts on a version withdrawn everywhere, nor at a
// backend server that has said that it leaves.
func (b *testbed) checkRuns() {
	b.t.Helper()
	for _, r := range b.runs {
		if at, is := b.withdrawn[r.version]; is && r.at.After(at.Add(b.withdrawalSlack)) {
			b.t.Errorf("ran on %s, withdrawn %v before", r.version, r.at.Sub(at))
		}
		if at, is := b.leaving[r.server]; is && r.at.After(at) {
			b.t.Errorf("ran at %s, which left %v before", r.server, r.at.Sub(at))
		}
	}
}

// judgeGenerations: no instance reverts, and all that live agree.
func (b *testbed) checkGenerations() {
	b.t.Helper()
	var digest string
	for _, in := range b.instances {
		for i := 1; i < len(in.generations); i++ {
			if in.generations[i] <= in.generations[i-1] {
				b.t.Errorf("%s went through generations %v", in.name, in.generations)
			}
		}
		if b.net.isDown(in.name) || in.holder.Current() == nil {
			continue
		}
		if digest == "" {
			digest = in.holder.Current().Digest
		}
		if in.holder.Current().Digest != digest {
			b.t.Errorf("%s has another manifest in force", in.name)
		}
	}
}

// bills counts the bills that the ledger has of each request.
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
