package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/standin/logsvc"
	"masticplank.example/router/internal/wire"
)

// countEntries clears the log service's faults and returns the number of its
// entries.
func countEntries(t *testing.T, svc *logsvc.Server) int {
	t.Helper()
	svc.Faults.Set(logsvc.Faults{})
	server := httptest.NewServer(svc)
	defer server.Close()
	page, err := NewLogClient(server.URL).Read(context.Background(), 0, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Entries)
}

// TestAppendErrorsMatchEffects compares an append's error with its effect.
// ErrNotAppended is allowed only if the entry is certainly not in the log, since a
// caller is then told that its request was not run.
func TestAppendErrorsMatchEffects(t *testing.T) {
	tests := []struct {
		name   string
		faults logsvc.Faults
		size   int
		// want is nil for success.
		want        error
		wantEntries int
	}{
		{name: "no fault", wantEntries: 1},
		{name: "refused", faults: logsvc.Faults{RefuseAppends: true}, want: platformlog.ErrNotAppended},
		{name: "too large", size: logsvc.MaxAppendBytes + 1, want: platformlog.ErrNotAppended},
		{name: "lost before the effect", faults: logsvc.Faults{LostBefore: 1}, want: platformlog.ErrUnknown},
		{name: "lost reply", faults: logsvc.Faults{LostReply: 1}, want: platformlog.ErrUnknown, wantEntries: 1},
		{name: "failed after the effect", faults: logsvc.Faults{FailAppends: 1}, want: platformlog.ErrUnknown, wantEntries: 1},
		{name: "down", faults: logsvc.Faults{Common: faults.Common{Down: true}}, want: platformlog.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			svc := logsvc.New(logsvc.Config{})
			server := httptest.NewServer(svc)
			defer server.Close()
			svc.Faults.Set(tt.faults)
			_, err := NewLogClient(server.URL).Append(context.Background(), make([]byte, max(tt.size, 1)))
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			if got := countEntries(t, svc); got != tt.wantEntries {
				t.Errorf("%d entries in the log, want %d", got, tt.wantEntries)
			}
		})
	}
}

// TestAppendAboveTheRateIsNotAppended checks that the refusals of the service's rate
// limit are ErrNotAppended. As ErrUnknown they would make the outcomes of requests
// unknown that certainly had no effect.
func TestAppendAboveTheRateIsNotAppended(t *testing.T) {
	svc := logsvc.New(logsvc.Config{AppendRate: 1})
	server := httptest.NewServer(svc)
	defer server.Close()
	client := NewLogClient(server.URL)
	// The token bucket holds one: of a thousand in a row, nearly all are refused.
	done := 0
	for range 1000 {
		_, err := client.Append(context.Background(), []byte("x"))
		if err == nil {
			done++
			continue
		}
		if !errors.Is(err, platformlog.ErrNotAppended) {
			t.Fatal(err)
		}
	}
	if held := countEntries(t, svc); held != done || done == 1000 {
		t.Errorf("%d of 1000 appends succeeded, %d entries in the log; want equal numbers below 1000", done, held)
	}
}

// TestAppendWithoutConnectionIsNotAppended checks that an append for which no
// connection was made is ErrNotAppended: no byte of it can have left the process.
func TestAppendWithoutConnectionIsNotAppended(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client := NewLogClient(server.URL)
	server.Close()
	if _, err := client.Append(context.Background(), []byte("x")); !errors.Is(err, platformlog.ErrNotAppended) {
		t.Errorf("dial refused: error %v, want ErrNotAppended", err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.Append(ended, []byte("x")); !errors.Is(err, platformlog.ErrNotAppended) {
		t.Errorf("context ended before: error %v, want ErrNotAppended", err)
	}
}

// TestCancelledAppendIsUnknown cancels an append while the service works on it. The
// entry may still be appended, so the error must be ErrUnknown. An append on a pooled
// connection that the service has closed is ErrUnknown too; that is not tested here.
func TestCancelledAppendIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-release
	}))
	defer server.Close()
	defer close(release)
	if _, err := NewLogClient(server.URL).Append(ctx, []byte("x")); !errors.Is(err, platformlog.ErrUnknown) {
		t.Errorf("error %v, want ErrUnknown", err)
	}
}

// TestAmbiguousAppendAnswersAreUnknown guards against taking any refusal for proof
// that nothing was appended. Only the code not_appended proves it; a 429 without the
// code, a redirect or a malformed answer may come from an intermediary.
func TestAmbiguousAppendAnswersAreUnknown(t *testing.T) {
	notAppended, _ := json.Marshal(wire.Error{Error: wire.ErrorBody{Code: wire.CodeNotAppended}})
	tests := []struct {
		status int
		body   string
		want   error
	}{
		{200, `{"offset":7}`, nil},
		{200, `{}`, platformlog.ErrUnknown},
		{200, `not json`, platformlog.ErrUnknown},
		{200, strings.Repeat("x", maxShortBodyBytes+1), platformlog.ErrUnknown},
		{307, ``, platformlog.ErrUnknown},
		{500, `{"error":{"code":"internal"}}`, platformlog.ErrUnknown},
		{503, `Service Unavailable`, platformlog.ErrUnknown},
		{429, ``, platformlog.ErrUnknown},
		{429, string(notAppended), platformlog.ErrNotAppended},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(tt.status)
			_, _ = w.Write([]byte(tt.body))
		}))
		_, err := NewLogClient(server.URL).Append(context.Background(), []byte("x"))
		server.Close()
		if !errors.Is(err, tt.want) {
			t.Errorf("status %d %.20q: error %v, want %v", tt.status, tt.body, err, tt.want)
		}
	}
}

// TestReadPagesTrimAndPoll reads a page, at the head, below the first kept offset, by
// long poll, and while the service is down. A reader that took a trimmed offset or
// an unreachable service for an empty page would miss entries.
func TestReadPagesTrimAndPoll(t *testing.T) {
	ctx := context.Background()
	svc := logsvc.New(logsvc.Config{})
	server := httptest.NewServer(svc)
	defer server.Close()
	client := NewLogClient(server.URL)
	for _, text := range []string{"a", "b", "c"} {
		if _, err := client.Append(ctx, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	page, err := client.Read(ctx, 1, 1, 0)
	if err != nil || len(page.Entries) != 1 || string(page.Entries[0].Data) != "b" || page.Head != 3 {
		t.Fatalf("page %+v, error %v, want entry b and head 3", page, err)
	}
	if page.Entries[0].Offset != 1 || page.Entries[0].Time.IsZero() {
		t.Errorf("entry %+v, want offset 1 and a time", page.Entries[0])
	}
	if page, err = client.Read(ctx, 3, 10, 0); err != nil || len(page.Entries) != 0 || page.Head != 3 {
		t.Errorf("at the head: %+v, error %v, want no entries and head 3", page, err)
	}
	svc.Trim(2)
	page, err = client.Read(ctx, 1, 10, 0)
	if !errors.Is(err, platformlog.ErrTrimmed) || page.First != 2 || page.Head != 3 {
		t.Errorf("trimmed: %+v, error %v, want ErrTrimmed, first 2 and head 3", page, err)
	}

	polled := make(chan platformlog.Page, 1)
	go func() {
		page, err := client.Read(ctx, 3, 10, 20*time.Second)
		if err != nil {
			t.Error(err)
		}
		polled <- page
	}()
	if _, err := client.Append(ctx, []byte("d")); err != nil {
		t.Fatal(err)
	}
	if page := <-polled; len(page.Entries) != 1 || string(page.Entries[0].Data) != "d" {
		t.Errorf("long poll: %+v, want entry d", page)
	}

	svc.Faults.Set(logsvc.Faults{Common: faults.Common{Down: true}})
	if _, err := client.Read(ctx, 3, 10, 0); !errors.Is(err, platformlog.ErrUnavailable) {
		t.Errorf("down: error %v, want ErrUnavailable", err)
	}
}

// TestDecodePageRejectsInconsistentPages guards against folding a page with gaps,
// another start or offsets outside the log: the reader would differ from all other
// readers permanently.
func TestDecodePageRejectsInconsistentPages(t *testing.T) {
	tests := []struct {
		name string
		body string
		want error
	}{
		{"no gap", `{"first":0,"head":9,"entries":[{"offset":4},{"offset":5}]}`, nil},
		{"empty", `{"first":0,"head":4}`, nil},
		{"gap", `{"first":0,"head":9,"entries":[{"offset":4},{"offset":6}]}`, platformlog.ErrUnavailable},
		{"other start", `{"first":0,"head":9,"entries":[{"offset":3}]}`, platformlog.ErrUnavailable},
		{"beyond the head", `{"first":0,"head":4,"entries":[{"offset":4}]}`, platformlog.ErrUnavailable},
		{"before the first", `{"first":5,"head":9,"entries":[{"offset":4}]}`, platformlog.ErrUnavailable},
		{"first beyond head", `{"first":9,"head":4}`, platformlog.ErrUnavailable},
		{"not json", `<html>`, platformlog.ErrUnavailable},
	}
	for _, tt := range tests {
		if _, err := decodePage(http.StatusOK, []byte(tt.body), 4); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// FuzzDecodePage decodes arbitrary answers. An accepted page must have consecutive
// offsets within its bounds, and each error must be ErrUnavailable or ErrTrimmed.
func FuzzDecodePage(f *testing.F) {
	f.Add(200, uint64(4), []byte(`{"first":0,"head":9,"entries":[{"offset":4,"data":"YQ=="}]}`))
	f.Add(410, uint64(1), []byte(`{"first":5,"head":9}`))
	f.Add(200, uint64(1<<63), []byte(`{"first":18446744073709551615,"head":0}`))
	f.Fuzz(func(t *testing.T, status int, from uint64, body []byte) {
		page, err := decodePage(status, body, from)
		if err != nil {
			if !errors.Is(err, platformlog.ErrUnavailable) && !errors.Is(err, platformlog.ErrTrimmed) {
				t.Fatalf("error %v, want ErrUnavailable or ErrTrimmed", err)
			}
			return
		}
		for i, entry := range page.Entries {
			if entry.Offset != from+uint64(i) || entry.Offset >= page.Head || entry.Offset < page.First {
				t.Fatalf("entry %d of %+v has an unexpected offset", i, page)
			}
		}
	})
}
