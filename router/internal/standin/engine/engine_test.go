package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/router/internal/standin/standintest"
	"masticplank.example/router/internal/wire"
)

// testVersion has durations of different magnitude, so that a measured sum shows how
// often each is in it.
func testVersion() Version {
	return Version{
		ID:         "m@1",
		Quality:    0.7,
		FirstToken: 10 * time.Millisecond,
		PerBlock:   100 * time.Millisecond,
		InterToken: time.Millisecond,
	}
}

func newEngine(cfg Config) *Server {
	cfg.Versions = []Version{testVersion(), {ID: "m@2", Quality: 0.9}}
	return New(cfg)
}

func user(text string) []wire.Message { return []wire.Message{{Role: "user", Content: text}} }

func chat(ctx context.Context, s *Server, r wire.ChatRequest) standintest.Response {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	header := http.Header{}
	header.Set(wire.HeaderAttempt, "n1")
	return standintest.Do(s, standintest.Call{
		Method:  http.MethodPost,
		Path:    "/v1/chat/completions",
		Body:    string(body),
		Header:  header,
		Context: ctx,
	})
}

// readStream concatenates a stream's text. It also returns the event ids in
// order and whether the usage and the end marker were received.
func readStream(t *testing.T, body string) (text string, ids []int, whole bool) {
	t.Helper()
	var usage *wire.Usage
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var id int
		var data string
		if _, err := fmt.Sscanf(event, "id: %d", &id); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		ids = append(ids, id)
		_, data, _ = strings.Cut(event, "data: ")
		if data == wire.StreamEnd {
			return text, ids, usage != nil
		}
		var chunk wire.ChatResponse
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
		usage = chunk.Usage
	}
	return text, ids, false
}

func readPlain(t *testing.T, body string) wire.ChatResponse {
	t.Helper()
	var answer wire.ChatResponse
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	return answer
}

// Callers in other tests compare answers with ExpectedText. A plain answer and a
// stream must both match it, and answers to other prompts must not.
func TestPlainAndStreamedAnswersAreEqualAndAsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{})
		for _, maxTokens := range []int{0, 1, 2, 40} {
			for _, version := range []string{"m@1", "m@2"} {
				r := wire.ChatRequest{Model: version, Messages: user("rug"), MaxTokens: maxTokens}
				reply := chat(t.Context(), s, r)
				plain := readPlain(t, reply.Body)
				if !IsExpectedAnswer(plain.Choices[0].Message.Content, version, r.Messages, maxTokens) {
					t.Errorf("plain answer %q, want the expected answer", plain.Choices[0].Message.Content)
				}
				if reply.Header.Get(wire.HeaderAttempt) != "n1" || plain.Usage.CompletionTokens == 0 {
					t.Errorf("nonce %q, want n1; usage %+v, want completion tokens", reply.Header.Get(wire.HeaderAttempt), plain.Usage)
				}
				r.Stream = true
				text, ids, whole := readStream(t, chat(t.Context(), s, r).Body)
				if !whole || text != plain.Choices[0].Message.Content {
					t.Errorf("stream %q, complete %v; want the text of the plain answer, complete", text, whole)
				}
				for i, id := range ids {
					if i != id {
						t.Fatalf("ids %v, want consecutive ids from 0", ids)
					}
				}
			}
		}
		other := ExpectedText("m@1", user("rag"), 40)
		if other == ExpectedText("m@1", user("rug"), 40) || other == ExpectedText("m@2", user("rag"), 40) {
			t.Error("answers to different prompts or of different versions are equal")
		}
	})
}

// A request that is refused as not run may be retried elsewhere, so it must not have
// started, and the refusal must echo its nonce.
func TestRefusalsSayNotRunAndStartNothing(t *testing.T) {
	good := wire.ChatRequest{Model: "m@1", Messages: user("x")}
	tests := []struct {
		name    string
		faults  string
		request wire.ChatRequest
		status  int
		leaving bool
	}{
		{name: "leaving", faults: `{"leaving":true}`, request: good, status: 503, leaving: true},
		{name: "busy", faults: `{"busy":1}`, request: good, status: 429},
		{name: "unknown version", faults: `{}`, request: wire.ChatRequest{Model: "m@3"}, status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEngine(Config{})
			standintest.SetFaults(s, tt.faults)
			reply := chat(t.Context(), s, tt.request)
			if reply.Status != tt.status || reply.Header.Get(wire.HeaderNotRun) != "true" || reply.Header.Get(wire.HeaderAttempt) != "n1" {
				t.Errorf("reply %+v, want a refusal as not run with nonce n1 and the status of the case", reply)
			}
			if got := reply.Header.Get(wire.HeaderLeaving) == "true"; got != tt.leaving {
				t.Errorf("refused as leaving: %v, want the opposite", got)
			}
			if stats := s.Stats(); stats.Started != 0 || stats.Refused != 1 {
				t.Errorf("stats %+v, want none started and one refused", stats)
			}
		})
	}
}

// Each fault must damage exactly one answer, in the way that its name says: tests of
// the router rely on what the caller then sees.
func TestFaultsOfOneAnswer(t *testing.T) {
	tests := []struct {
		faults string
		stream bool
		// aborted and nonce are those of the response. expected is true if the text
		// is the expected answer, complete if the response was received to its end,
		// duplicated if an event id was sent twice.
		aborted    bool
		nonce      string
		expected   bool
		complete   bool
		duplicated bool
	}{
		{faults: `{"truncate":1}`, stream: true, aborted: true, nonce: "n1"},
		{faults: `{"truncate":1}`, aborted: true, nonce: "n1"},
		{faults: `{"end_early":1}`, stream: true, nonce: "n1"},
		{faults: `{"lost_reply":1}`, aborted: true},
		{faults: `{"lost_reply":1}`, stream: true, aborted: true, nonce: "n1", expected: true},
		{faults: `{"wrong_nonce":1}`, nonce: foreignNonce, expected: true, complete: true},
		{faults: `{"crossed":1}`, nonce: foreignNonce, complete: true},
		{faults: `{"duplicate_chunk":1}`, stream: true, nonce: "n1", complete: true, duplicated: true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.faults, tt.stream), func(t *testing.T) {
			s := New(Config{Versions: []Version{{ID: "m@1"}}})
			standintest.SetFaults(s, tt.faults)
			r := wire.ChatRequest{Model: "m@1", Messages: user("x"), Stream: tt.stream}
			reply := chat(t.Context(), s, r)
			if reply.Aborted != tt.aborted || reply.Header.Get(wire.HeaderAttempt) != tt.nonce {
				t.Errorf("aborted %v, nonce %q, want those of the case", reply.Aborted, reply.Header.Get(wire.HeaderAttempt))
			}
			var text string
			var ids []int
			complete := false
			if tt.stream {
				text, ids, complete = readStream(t, reply.Body)
			} else if !tt.aborted {
				text, complete = readPlain(t, reply.Body).Choices[0].Message.Content, true
			}
			if complete != tt.complete || IsExpectedAnswer(text, "m@1", r.Messages, 0) != tt.expected {
				t.Errorf("complete %v, expected answer %v", complete, !tt.expected)
			}
			if duplicated := len(ids) > 0 && ids[len(ids)-1] == len(ids)-2; duplicated != tt.duplicated {
				t.Errorf("ids %v, want one of them twice under the fault duplicate_chunk, and none otherwise", ids)
			}
			// The fault is injected once; the next answer is correct.
			next := readPlain(t, chat(t.Context(), s, wire.ChatRequest{Model: "m@1", Messages: user("x")}).Body)
			if !IsExpectedAnswer(next.Choices[0].Message.Content, "m@1", r.Messages, 0) {
				t.Error("the next answer is not the expected one")
			}
		})
	}
}

// A cached prompt must get its first token earlier and be reported as cached in the
// usage; otherwise prefix affinity would have no effect in the tests.
func TestCachedPrefixShortensTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{})
		r := wire.ChatRequest{Model: "m@1", Messages: user(strings.Repeat("12345678", 24)), MaxTokens: 1}
		blocks := len(wire.PromptBlocks(r.Messages))
		for i, want := range []time.Duration{
			10*time.Millisecond + time.Duration(blocks)*100*time.Millisecond,
			10 * time.Millisecond,
		} {
			began := time.Now()
			answer := readPlain(t, chat(t.Context(), s, r).Body)
			if took := time.Since(began); took != want {
				t.Errorf("request %d took %s, want %s", i, took, want)
			}
			if cached := answer.Usage.CachedTokens; cached != i*blocks*wire.BlockTokens() {
				t.Errorf("request %d: %d cached tokens, want none for request 0 and all for request 1", i, cached)
			}
		}
	})
}

// The router follows the cache by its events: an eviction must be reported, and an
// event that was lost must leave a gap in the sequence numbers.
func TestCacheIsBoundedAndReportsEvictions(t *testing.T) {
	c := newPrefixCache(2)
	keepEvent := func() bool { return false }
	c.lookupAndAdd([]uint64{1, 2}, keepEvent)
	c.lookupAndAdd([]uint64{3}, keepEvent)
	if cached := c.lookupAndAdd([]uint64{1}, func() bool { return true }); cached != 0 {
		t.Error("the oldest block is still cached, want it evicted")
	}
	c.lookupAndAdd([]uint64{4}, keepEvent)
	events := c.eventsBetween(0, c.lastSeq())
	if len(events) != 3 || events[1].Removed[0] != 1 || events[2].Seq != 4 {
		t.Errorf("events %+v, want 3: the second one with block 1 removed, the third one with number 4", events)
	}
}

// At most Slots requests may run, the others wait by priority, and one beyond the
// queue limit is refused at once.
func TestBatchIsBoundedAndQueuesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{Slots: 1, QueueLimit: 2})
		ended := make(chan string, 4)
		send := func(name string, priority int) {
			r := wire.ChatRequest{Model: "m@1", Messages: user(name), MaxTokens: 5, Priority: priority}
			reply := chat(t.Context(), s, r)
			ended <- fmt.Sprint(name, reply.Status)
		}
		go send("first", 0)
		synctest.Wait()
		go send("low", 0)
		synctest.Wait()
		go send("high", 5)
		synctest.Wait()
		if running, queued := s.slots.load(); running != 1 || queued != 2 {
			t.Errorf("running %d, queued %d, want 1 and 2", running, queued)
		}
		send("over", 9)
		for _, want := range []string{"over429", "first200", "high200", "low200"} {
			if got := <-ended; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
	})
}

// A slot or a place in the queue that stays taken after its caller disconnected would
// make the engine refuse others.
func TestDisconnectedCallerCancelsItsRequestAndFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{Slots: 1})
		ctx, cancel := context.WithCancel(t.Context())
		go chat(ctx, s, wire.ChatRequest{Model: "m@1", Messages: user("x"), MaxTokens: 1000, Stream: true})
		synctest.Wait()
		waiting, abandon := context.WithCancel(t.Context())
		go chat(waiting, s, wire.ChatRequest{Model: "m@1", Messages: user("y")})
		time.Sleep(50 * time.Millisecond)
		abandon()
		cancel()
		synctest.Wait()
		if running, queued := s.slots.load(); running != 0 || queued != 0 {
			t.Errorf("running %d, queued %d, want none", running, queued)
		}
		if stats := s.Stats(); stats.Cancelled != 1 || stats.Started != 1 || stats.Tokens >= 1000 {
			t.Errorf("stats %+v, want one request started and cancelled, with fewer than 1000 tokens", stats)
		}
	})
}

// A crash must abort running and queued requests alike, release their slots, and end
// after the downtime.
func TestCrashAbortsAllRequestsAndTheEngineRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{Slots: 2})
		standintest.SetFaults(s, `{"crash_on_mark":true,"crash_ms":3000}`)
		aborted := make(chan bool, 2)
		for _, name := range []string{"running", "running too", "queued"} {
			go func() {
				aborted <- chat(t.Context(), s, wire.ChatRequest{Model: "m@1", Messages: user(name), MaxTokens: 10_000}).Aborted
			}()
			synctest.Wait()
		}
		// Called directly here; below, a prompt with the mark causes the crash.
		s.Crash()
		for range 3 {
			if !<-aborted {
				t.Error("the crash did not abort a request")
			}
		}
		if reply := chat(t.Context(), s, wire.ChatRequest{Model: "m@1", Messages: user("x")}); !reply.Aborted {
			t.Errorf("served while down: %+v, want an aborted connection", reply)
		}
		time.Sleep(3 * time.Second)
		marked := wire.ChatRequest{Model: "m@1", Messages: user("a " + CrashMark)}
		if reply := chat(t.Context(), s, marked); !reply.Aborted {
			t.Errorf("prompt with the crash mark: %+v, want an aborted connection", reply)
		}
		time.Sleep(3 * time.Second)
		if reply := chat(t.Context(), s, wire.ChatRequest{Model: "m@1", Messages: user("x")}); reply.Status != http.StatusOK {
			t.Errorf("after the downtime: %+v, want status 200", reply)
		}
		if running, _ := s.slots.load(); running != 0 {
			t.Errorf("%d slots are still held", running)
		}
	})
}

// A resumed stream must continue right after Last-Event-ID, without repeated or
// missing tokens.
func TestStreamResumesAfterTheLastEvent(t *testing.T) {
	s := newEngine(Config{})
	r := wire.ChatRequest{Model: "m@2", Messages: user("x"), MaxTokens: 20, Stream: true}
	text, _, _ := readStream(t, chat(t.Context(), s, r).Body)
	body, _ := json.Marshal(r)
	reply := standintest.Do(s, standintest.Call{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: string(body),
		Header: http.Header{"Last-Event-Id": {"9"}},
	})
	rest, ids, whole := readStream(t, reply.Body)
	if !whole || ids[0] != 10 || !strings.HasSuffix(text, rest) || rest == text {
		t.Errorf("resumed with %q (ids %v) of %q, want all after event 9", rest, ids, text)
	}
}

// A load report must be as old as ReportLag allows, and an order with an older
// fencing number must be refused only if the engine checks these numbers.
func TestLoadReportLagsAndOrdersAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngine(Config{ReportLag: time.Second, CheckFencing: true})
		report := func() (out wire.LoadReport) {
			reply := standintest.Do(s, standintest.Call{Method: http.MethodGet, Path: "/load?since=0"})
			if err := json.Unmarshal([]byte(reply.Body), &out); err != nil {
				t.Fatal(err)
			}
			return out
		}
		report()
		order := func(fencing, versions string) int {
			return standintest.Do(s, standintest.Call{
				Method: http.MethodPut, Path: "/orders", Body: `{"versions":[` + versions + `]}`,
				Header: http.Header{wire.HeaderFencing: {fencing}},
			}).Status
		}
		for _, tt := range []struct {
			fencing, versions string
			want              int
		}{
			{"7", `"m@2"`, 200}, {"7", `"m@2"`, 200}, {"6", `"m@1"`, 409}, {"8", `"m@9"`, 409}, {"x", ``, 400},
		} {
			if got := order(tt.fencing, tt.versions); got != tt.want {
				t.Errorf("order %+v: status %d, want the last number of the case", tt, got)
			}
		}
		standintest.SetFaults(s, `{"leaving":true}`)
		if r := report(); r.Leaving || len(r.Versions) != 2 {
			t.Errorf("report before the lag: %+v, want it not leaving with two versions", r)
		}
		time.Sleep(time.Second)
		if r := report(); !r.Leaving || len(r.Versions) != 1 {
			t.Errorf("report after the lag: %+v, want it leaving with one version", r)
		}
		ignoring := newEngine(Config{})
		ignoring.orders.apply(wire.Order{Versions: []string{"m@2"}}, 7)
		if code, _ := ignoring.orders.apply(wire.Order{Versions: []string{"m@1"}}, 6); code != "" {
			t.Errorf("an engine that ignores fencing numbers refused: %s", code)
		}
	})
}

// A bad version is simulated by its error rate and quality; other versions must not
// be affected.
func TestErrorRateAndQualityByVersion(t *testing.T) {
	s := New(Config{Versions: []Version{{ID: "bad@1"}, {ID: "good@1"}}, Seed: 1})
	standintest.SetFaults(s, `{"error_rate":{"bad@1":0.5},"quality":{"good@1":0.125}}`)
	failed := 0
	for range 200 {
		if chat(t.Context(), s, wire.ChatRequest{Model: "bad@1", Messages: user("x")}).Status == http.StatusInternalServerError {
			failed++
		}
	}
	if failed < 80 || failed > 120 {
		t.Errorf("%d of 200 failed, want 80 to 120", failed)
	}
	answer := readPlain(t, chat(t.Context(), s, wire.ChatRequest{Model: "good@1", Messages: user("x")}).Body)
	text := answer.Choices[0].Message.Content
	if quality, _, ok := ParseAnswer(text); !ok || quality != 0.125 || !IsExpectedAnswer(text, "good@1", user("x"), 0) {
		t.Errorf("answer %q, want the expected answer with quality 0.125", text)
	}
}
