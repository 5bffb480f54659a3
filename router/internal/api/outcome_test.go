package api

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

// Chunks of a stream with two tokens.
const (
	token1    = `{"choices":[{"delta":{"content":"over "}}]}`
	token2    = `{"choices":[{"delta":{"content":"under"}}]}`
	usageOnly = `{"choices":[],"usage":{"completion_tokens":1}}`
	lastChunk = `{"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`
)

var streamed = strings.Replace(prompt, `"max_tokens"`, `"stream":true,"max_tokens"`, 1)

// closeConnection closes the connection, as happens when a backend server dies.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

// truncateAfter streams the events and then breaks the connection off.
func truncateAfter(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		chatStream(events...)(w, r)
		panic(http.ErrAbortHandler)
	}
}

// answerStatus answers with a status and no body; with notRun, it refuses the
// request as not run.
func answerStatus(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		if notRun {
			w.Header().Set(wire.HeaderNotRun, "true")
		}
		w.WriteHeader(code)
	}
}

// wrongNonce answers a chat with the nonce of another attempt.
func wrongNonce(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderAttempt, "another")
	_, _ = io.WriteString(w, completionBody)
}

// TestChatOutcomes checks what the caller gets from engines that answer, fail or
// break off: either a complete answer with one bill, or an outcome that claims no
// more than is known. A truncated stream must never look complete.
func TestChatOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    string
		backend http.HandlerFunc
		outcome string
		broken  bool // the caller's connection breaks off
		bills   int
	}{
		{"single body", prompt, answerChat, "completed", false, 1},
		{"stream", streamed, chatStream(token1, token2, lastChunk, wire.StreamEnd), "completed", false, 1},
		{"single body, streamed by the engine", prompt, chatStream(token1, token2, lastChunk, wire.StreamEnd), "completed", false, 1},
		{"single body, stream without usage", prompt, chatStream(token1, wire.StreamEnd), "failed", false, 0},
		{"single body, stream without a finish reason", prompt, chatStream(token1, usageOnly, wire.StreamEnd), "failed", false, 0},
		{"single body, truncated stream", prompt, truncateAfter(token1), "failed", false, 0},
		{"single body, crash", prompt, closeConnection, "failed", false, 0},
		{"single body, wrong nonce", prompt, wrongNonce, "unknown", false, 0},
		{"single body, no usage", prompt, answerStatus(200, false), "failed", false, 0},
		{"single body, server error", prompt, answerStatus(500, false), "failed", false, 0},
		{"single body, refused everywhere", prompt, answerStatus(503, true), "refused", false, 0},
		{"single body, rejected by the engine", prompt, answerStatus(422, false), "failed", false, 0},
		{"stream, rejected by the engine", streamed, answerStatus(422, false), "failed", false, 0},
		{"stream truncated after a token", streamed, truncateAfter(token1), "completed", true, 0},
		{"stream truncated before the end marker", streamed, truncateAfter(token1, token2, lastChunk), "completed", true, 0},
		{"stream ended without its end marker", streamed, chatStream(token1, token2, lastChunk), "completed", true, 0},
		{"stream ended without usage", streamed, chatStream(token1, wire.StreamEnd), "completed", true, 0},
		{"stream of no chunks", streamed, chatStream("nonsense"), "failed", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.setBackend(c.backend)
			got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", c.body, "")
			if got.outcome != c.outcome || (got.err != nil) != c.broken {
				t.Errorf("outcome %q, error %v, body %q", got.outcome, got.err, got.body)
			}
			if c.broken && strings.Contains(got.body, wire.StreamEnd) {
				t.Errorf("a truncated stream looks complete: %q", got.body)
			}
			if n := len(f.bills()); n != c.bills {
				t.Errorf("%d bills, want %d", n, c.bills)
			}
			if c.body == prompt && c.outcome == "completed" && !strings.Contains(got.body, `"content":"over under"`) {
				t.Errorf("not the complete answer: %q", got.body)
			}
		})
	}
}

// numberedStream streams the given events, each in the form "ID|DATA".
func numberedStream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		for _, ev := range events {
			id, data, _ := strings.Cut(ev, "|")
			_, _ = io.WriteString(w, "id: "+id+"\ndata: "+data+"\n\n")
		}
	}
}

// TestNumberedStreams duplicates and drops events of a numbered stream. Without the
// check of event ids, a duplicated chunk would double words in the middle of an
// answer, and a missing one would go unnoticed; "masticplank demo --faults" with
// seed 1 sends duplicated chunks.
func TestNumberedStreams(t *testing.T) {
	end := "3|" + wire.StreamEnd
	for _, c := range []struct {
		name   string
		events []string
		broken bool
	}{
		{"in order", []string{"0|" + token1, "1|" + token2, "2|" + lastChunk, end}, false},
		{"duplicated", []string{"0|" + token1, "0|" + token1, "1|" + token2, "1|" + token2, "2|" + lastChunk, end}, false},
		{"missing", []string{"0|" + token1, "2|" + lastChunk, end}, true},
	} {
		f := newFixture(t)
		f.setBackend(numberedStream(c.events...))
		got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", streamed, "")
		whole := strings.Count(got.body, "over ") == 1 && strings.Count(got.body, "under") == 1
		if (got.err != nil) != c.broken || (!c.broken && !whole) {
			t.Errorf("%s: error %v, body %q", c.name, got.err, got.body)
		}
	}
}

// TestNoCompleteAnswerWithoutBill makes the log unreachable. The bill must be held,
// and if that fails too, the answer must not end like one that was billed.
func TestNoCompleteAnswerWithoutBill(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.setBackend(chatStream(token1, token2, lastChunk, wire.StreamEnd))
	first := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", streamed, "")
	if first.err != nil {
		t.Fatal(first.err)
	}
	f.log.SetDown(true)
	got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", streamed, "")
	if got.err != nil || !strings.HasSuffix(strings.TrimSpace(got.body), wire.StreamEnd) {
		t.Errorf("held bill: error %v, body %q, want a complete stream", got.err, got.body)
	}
	if n := f.holder.held.Load(); n != 1 {
		t.Errorf("%d bills held, want 1", n)
	}
	f.holder.fails.Store(true)
	var wg sync.WaitGroup
	for _, body := range []string{streamed, prompt} {
		wg.Go(func() {
			got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", body, "")
			if got.err == nil && got.outcome == "completed" {
				t.Errorf("no bill, but a complete answer: %q", got.body)
			}
		})
	}
	wg.Wait()
}

// TestResendIsBilledOnce sends an idempotent request twice with the same
// Idempotency-Key. Only one bill may be recorded.
func TestResendIsBilledOnce(t *testing.T) {
	f := newFixture(t)
	key := uuid.Must(uuid.NewV7()).String()
	for range 2 {
		if got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", prompt, key); got.outcome != "completed" {
			t.Fatalf("got %+v, want outcome completed", got)
		}
	}
	if n := len(f.bills()); n != 1 {
		t.Errorf("%d bills, want 1", n)
	}
}

// TestReservationRunsAtMostOnce sends a non-idempotent request with a fault at each
// step in turn, then sends it again with the same key and no fault. It must never
// run twice, and a request that was answered as refused must not have run.
func TestReservationRunsAtMostOnce(t *testing.T) {
	reserved := func(w http.ResponseWriter, r *http.Request) { answerStatus(201, false)(w, r) }
	for _, c := range []struct {
		name    string
		fault   func(f *fixture)
		outcome string
		again   string
	}{
		{"no fault", func(*fixture) {}, "completed", "already_run"},
		{"claim's reply lost", func(f *fixture) { f.log.LoseReplies(1) }, "completed", "already_run"},
		{"claim lost before effect", func(f *fixture) { f.log.LoseAppends(1) }, "completed", "already_run"},
		{"claim refused by the log once", func(f *fixture) { f.log.RefuseAppends(1) }, "refused", "completed"},
		{"log down", func(f *fixture) { f.log.SetDown(true) }, "refused", "completed"},
		{"not fresh on arrival", func(f *fixture) { f.gate.refuse(decision.ReasonNotFresh, 0) }, "refused", "completed"},
		{"not fresh at dispatch", func(f *fixture) { f.gate.refuse(decision.ReasonNotFresh, 1) }, "refused", "completed"},
		{"not fresh after the claim", func(f *fixture) { f.gate.refuse(decision.ReasonNotFresh, 2) }, "refused", "completed"},
		{"backend server refuses", func(f *fixture) { f.setBackend(answerStatus(503, true)) }, "refused", "completed"},
		{"backend server dies", func(f *fixture) { f.setBackend(closeConnection) }, "unknown", "already_run"},
		{"backend server fails", func(f *fixture) { f.setBackend(answerStatus(500, false)) }, "failed", "already_run"},
		{"wrong nonce", func(f *fixture) { f.setBackend(wrongNonce) }, "unknown", "already_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.setBackend(reserved)
			c.fault(f)
			key := uuid.Must(uuid.NewV7()).String()
			first := f.call(context.Background(), http.MethodPost, "/services/shop/reservations", `{}`, key)
			if first.outcome != c.outcome {
				t.Errorf("outcome %q, want %q: %s", first.outcome, c.outcome, first.body)
			}
			f.clearFaults(reserved)
			before := f.executions.Load()
			if first.outcome == "refused" && before != 0 {
				t.Errorf("answered as refused, but it ran %d times, want 0", before)
			}
			again := f.retryUntilAccepted(key)
			if again.outcome != c.again {
				t.Errorf("again: outcome %q, want %q: %s", again.outcome, c.again, again.body)
			}
			if n := f.executions.Load(); n > 1 {
				t.Errorf("ran %d times, want at most once", n)
			}
		})
	}
}

// retryUntilAccepted sends a reservation again until it is not refused, as a caller
// that follows Retry-After does. For a moment after a fault the log client is in
// backoff, and requests are refused.
func (f *fixture) retryUntilAccepted(key string) callerResponse {
	f.t.Helper()
	var got callerResponse
	f.eventually("the reservation to be accepted", func() bool {
		got = f.call(context.Background(), http.MethodPost, "/services/shop/reservations", `{}`, key)
		return got.outcome != "refused"
	})
	return got
}

// TestCallerDisconnectFreesTheSlot disconnects after the first token of a stream.
// The engine's request must be cancelled, else it would keep a slot occupied, and
// the tokens generated so far must be billed once.
func TestCallerDisconnectFreesTheSlot(t *testing.T) {
	f := newFixture(t)
	ended := make(chan struct{})
	f.setBackend(func(w http.ResponseWriter, r *http.Request) {
		chatStream(token1)(w, r)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp := f.open(ctx, http.MethodPost, "/v1/chat/completions", streamed, "")
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(token1))); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-ended
	f.eventually("the ticket to close", func() bool { return f.driver.OpenRequests() == 0 })
	f.eventually("the bill", func() bool { return len(f.bills()) == 1 })
}

// TestCallerThatDoesNotReadFreesTheSlot opens a stream and never reads it, while the
// engine writes more than the buffers in between can take. After the write timeout
// the engine's request must be cancelled, else it would keep a slot occupied.
func TestCallerThatDoesNotReadFreesTheSlot(t *testing.T) {
	f := newFixtureWith(t, 50*time.Millisecond)
	largeEvent := `{"choices":[{"delta":{"content":"` + strings.Repeat("x", 64<<10) + `"}}]}`
	cancelled := make(chan struct{})
	f.setBackend(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "data: "+largeEvent+"\n\n")
		}
		close(cancelled)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teamKey + "\r\n"
	if _, err := io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(streamed))+"\r\n\r\n"+streamed); err != nil {
		t.Fatal(err)
	}
	<-cancelled
	f.eventually("the ticket to close", func() bool { return f.driver.OpenRequests() == 0 })
}
