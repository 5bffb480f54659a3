package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/decision"
	"masticplank.example/platform/standin"
	"masticplank.example/router/internal/wire"
)

// startServer starts a server that answers with f and counts its requests.
func startServer(t *testing.T, f http.HandlerFunc) (url string, count *atomic.Int64) {
	t.Helper()
	count = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		f(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, count
}

// echoNonce copies the attempt's nonce to the answer.
func echoNonce(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
}

// closeConnection closes the connection after the request was read.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

// closedPort returns the URL of a port on which nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + addr
}

// TestResults goes through the ways in which an attempt can end. A request whose
// attempt is reported as not run may be sent again and would run twice if the report
// were wrong. That result is therefore allowed only if nothing was written or the
// backend server itself reported it.
func TestResults(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    decision.AttemptResult // 0 for a complete answer
	}{
		{"complete answer", func(w http.ResponseWriter, r *http.Request) { echoNonce(w, r); _, _ = io.WriteString(w, "ok") }, 0},
		{"no connection", nil, decision.AttemptNotRun},
		{"refused by the backend server", func(w http.ResponseWriter, r *http.Request) {
			echoNonce(w, r)
			w.Header().Set(wire.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, decision.AttemptNotRun},
		{"another attempt's refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderAttempt, "other")
			w.Header().Set(wire.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, decision.AttemptUnknown},
		{"wrong nonce", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire.HeaderAttempt, "other") }, decision.AttemptUnknown},
		{"no nonce", func(http.ResponseWriter, *http.Request) {}, decision.AttemptUnknown},
		{"connection closed before an answer", closeConnection, decision.AttemptCrashed},
		{"connection closed in the body", func(w http.ResponseWriter, r *http.Request) {
			echoNonce(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, decision.AttemptCrashed},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := closedPort(t)
			if c.handler != nil {
				url, _ = startServer(t, c.handler)
			}
			client := NewClient(0)
			defer client.Close()
			if got := runAttempt(client, url); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func runAttempt(client *Client, url string) decision.AttemptResult {
	ctx := context.Background()
	resp, err := client.Send(ctx, Call{Method: http.MethodPost, URL: url, Nonce: "n1", Idempotent: true})
	if err == nil {
		defer resp.Body.Close()
		_, err = ReadAll(ctx, resp, func(int64) bool { return true })
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Result
	}
	return 0
}

// TestNonIdempotentIsSentOnce breaks connections that could be reused. net/http
// takes a request with an Idempotency-Key for replayable and resends it by itself
// when a reused connection breaks, which would run the request twice.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	var breakConnections atomic.Bool
	url, count := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if breakConnections.Load() {
			closeConnection(w, r)
			return
		}
		echoNonce(w, r)
	})
	client := NewClient(0)
	defer client.Close()
	call := Call{Method: http.MethodPost, URL: url, Nonce: "n1", Header: http.Header{wire.HeaderIdempotencyKey: {"k"}}}
	for range 3 {
		resp, err := client.Send(context.Background(), call)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	breakConnections.Store(true)
	before := count.Load()
	if _, err := client.Send(context.Background(), call); err == nil {
		t.Fatal("no error from a closed connection, want one")
	}
	if got := count.Load() - before; got != 1 {
		t.Errorf("sent %d times, want 1", got)
	}
}

// TestCancelledBeforeAConnectionIsNotRun guards against reporting the outcome of an
// attempt as unknown although nothing was sent, which would keep the request from
// being sent again.
func TestCancelledBeforeAConnectionIsNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	url, count := startServer(t, echoNonce)
	client := NewClient(0)
	defer client.Close()
	_, err := client.Send(ctx, Call{Method: http.MethodPost, URL: url, Nonce: "n"})
	var failure *Failure
	if !errors.As(err, &failure) || failure.Result != decision.AttemptNotRun || count.Load() != 0 {
		t.Errorf("got error %v after %d requests, want AttemptNotRun after none", err, count.Load())
	}
}

// TestHeadWithoutEndIsGivenUp guards against a backend server that sends a head without end, which would take the
// instance's memory.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	closed := make(chan struct{}, 10)
	url, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("x", 4096))
		}
		closed <- struct{}{}
	})
	client := NewClient(0)
	defer client.Close()
	if got := runAttempt(client, url); got == 0 {
		t.Error("the attempt has succeeded")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}
