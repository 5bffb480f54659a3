package logsvc

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/router/internal/standin/standintest"
	"masticplank.example/router/internal/wire"
)

func appendEntry(t *testing.T, s *Server, ctx context.Context) standintest.Response {
	t.Helper()
	return standintest.Do(s, standintest.Call{Method: http.MethodPost, Path: "/append", Body: "x", Context: ctx})
}

func read(t *testing.T, s *Server, query string) (int, wire.LogPage) {
	t.Helper()
	reply := standintest.Do(s, standintest.Call{Method: http.MethodGet, Path: "/read?" + query})
	var page wire.LogPage
	if err := json.Unmarshal([]byte(reply.Body), &page); err != nil {
		t.Fatal(err)
	}
	return reply.Status, page
}

// A reader that was away for longer than the retention must get 410 with the first
// kept offset, not a page with missing entries.
func TestRetentionTrimsByTheLogsOwnClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Retention: time.Hour})
		appendEntry(t, s, nil)
		time.Sleep(40 * time.Minute)
		appendEntry(t, s, nil)
		if status, page := read(t, s, "from=0"); status != http.StatusOK || len(page.Entries) != 2 {
			t.Fatalf("before the retention: status %d, page %+v; want 200 with 2 entries", status, page)
		}
		time.Sleep(40 * time.Minute)
		if status, page := read(t, s, "from=0"); status != http.StatusGone || page.First != 1 || page.Head != 2 {
			t.Errorf("after the retention of the first entry: status %d, page %+v; want 410 with first 1, head 2", status, page)
		}
		time.Sleep(time.Hour)
		if status, page := read(t, s, "from=2"); status != http.StatusOK || page.First != 2 || page.Head != 2 {
			t.Errorf("all trimmed: status %d, page %+v; want 200 with first and head 2", status, page)
		}
	})
}

// If the log's clock is set back, an entry must not get an earlier time than the one
// before it.
func TestEntryTimesNeverDecreaseEvenIfTheClockDoes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{Now: func() time.Time { return now }})
	appendEntry(t, s, nil)
	now = time.Unix(900, 0)
	appendEntry(t, s, nil)
	_, page := read(t, s, "from=0")
	if page.Entries[1].Time.Before(page.Entries[0].Time) {
		t.Errorf("times decrease: %v, then %v", page.Entries[0].Time, page.Entries[1].Time)
	}
}

// A long poll without a new entry must end after wait_ms with the head, which
// readers need to know that they are up to date.
func TestLongPollEndsWithAnEmptyPageAndTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		began := time.Now()
		status, page := read(t, s, "from=0&wait_ms=5000")
		if status != http.StatusOK || len(page.Entries) != 0 || page.Head != 0 {
			t.Errorf("status %d, page %+v; want 200 with no entries and head 0", status, page)
		}
		if waited := time.Since(began); waited != 5*time.Second {
			t.Errorf("waited %s, want 5s", waited)
		}
	})
}

// The fault LateEffectMS must simulate the worst case of a lost reply: the append
// does take effect, but only long after its caller has timed out.
func TestAppendTakesEffectAfterItsCallerTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		standintest.SetFaults(s, `{"late_effect_ms":10000}`)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go appendEntry(t, s, ctx)
		<-ctx.Done()
		if _, page := read(t, s, "from=0"); page.Head != 0 {
			t.Errorf("the append took effect before late_effect_ms had passed: page %+v, want head 0", page)
		}
		time.Sleep(10 * time.Second)
		if _, page := read(t, s, "from=0"); page.Head != 1 {
			t.Errorf("the append did not take effect: page %+v, want head 1", page)
		}
	})
}

// A misspelled fault must be refused: a test would otherwise run without the fault
// and pass.
func TestMalformedRequestsAndFaultsChangeNothing(t *testing.T) {
	s := New(Config{})
	for _, query := range []string{"", "from=-1", "from=0&limit=x", "from=0&wait_ms=-1"} {
		reply := standintest.Do(s, standintest.Call{Method: http.MethodGet, Path: "/read?" + query})
		if reply.Status != http.StatusBadRequest {
			t.Errorf("%q: status %d, want 400", query, reply.Status)
		}
	}
	standintest.SetFaults(s, `{"down":true}`)
	if reply := standintest.SetFaults(s, `{"dwon":false}`); reply.Status != http.StatusBadRequest {
		t.Errorf("unknown fault: status %d, want 400", reply.Status)
	}
	if !s.Faults.Get().Down {
		t.Error("a refused body changed the faults")
	}
	if reply := appendEntry(t, s, nil); !reply.Aborted {
		t.Errorf("append while down: %+v, want an aborted connection", reply)
	}
}
