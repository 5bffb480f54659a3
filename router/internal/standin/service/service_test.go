package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"masticplank.example/router/internal/standin/standintest"
	"masticplank.example/router/internal/wire"
)

func reserve(s *Server, key string) standintest.Response {
	header := http.Header{}
	header.Set(wire.HeaderIdempotencyKey, key)
	header.Set(wire.HeaderAttempt, "n1")
	return standintest.Do(s, standintest.Call{Method: http.MethodPost, Path: "/reservations", Body: `{"wool":3}`, Header: header})
}

// Tests of at-most-once execution rely on the count of runs under each fault: a
// fault after the effect counts one run, a refusal or a fault before it none.
func TestRunsAreCountedUnderEveryFault(t *testing.T) {
	tests := []struct {
		faults  string
		runs    int
		aborted bool
		status  int
		notRun  bool
	}{
		{faults: `{}`, runs: 1, status: http.StatusCreated},
		{faults: `{"down":true}`, aborted: true},
		{faults: `{"leaving":true}`, status: http.StatusServiceUnavailable, notRun: true},
		{faults: `{"busy":1}`, status: http.StatusTooManyRequests, notRun: true},
		{faults: `{"lost_reply":1}`, runs: 1, aborted: true},
		{faults: `{"truncate":1}`, runs: 1, aborted: true},
		{faults: `{"fail_after":1}`, runs: 1, status: http.StatusInternalServerError},
	}
	for _, tt := range tests {
		t.Run(tt.faults, func(t *testing.T) {
			s := New(Config{})
			standintest.SetFaults(s, tt.faults)
			reply := reserve(s, "k")
			if reply.Aborted != tt.aborted || (!tt.aborted && reply.Status != tt.status) {
				t.Errorf("reply %+v, want the status of the case or an aborted connection, as the case says", reply)
			}
			if got := reply.Header.Get(wire.HeaderNotRun) == "true"; got != tt.notRun {
				t.Errorf("header Masticplank-Not-Run set: %v, want the opposite", got)
			}
			if nonce := reply.Header.Get(wire.HeaderAttempt); tt.notRun && nonce != "n1" {
				t.Errorf("refused with nonce %q, want n1", nonce)
			}
			if got := s.Stats().Runs["k"]; got != tt.runs {
				t.Errorf("%d runs, want %d", got, tt.runs)
			}
		})
	}
}

// Callers tell a second run and the answer to another call by the response, so it
// must state the number of the run and echo the call.
func TestResponsesStateTheRunAndTheCall(t *testing.T) {
	s := New(Config{Name: "shop"})
	reserve(s, "k")
	reply := reserve(s, "k")
	var answer Response
	if err := json.Unmarshal([]byte(reply.Body), &answer); err != nil {
		t.Fatal(err)
	}
	if answer.Run != 2 || answer.Key != "k" || answer.Body != `{"wool":3}` || reply.Header.Get(wire.HeaderAttempt) != "n1" {
		t.Errorf("answer %+v, header %v; want run 2 of key k with its body and nonce n1", answer, reply.Header)
	}
	get := standintest.Do(s, standintest.Call{Method: http.MethodGet, Path: "/stock/blue?size=2"})
	if get.Status != http.StatusOK || !strings.Contains(get.Body, `"path":"/stock/blue"`) {
		t.Errorf("read %+v, want status 200 and the path of the call", get)
	}
	if stats := s.Stats(); stats.Reads != 1 || len(stats.Runs) != 1 {
		t.Errorf("stats %+v, want one read and the runs of one key", stats)
	}
}
