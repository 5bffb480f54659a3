package listsvc

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/router/internal/standin/standintest"
	"masticplank.example/router/internal/wire"
)

func servers(t *testing.T, s *Server) []string {
	t.Helper()
	reply := standintest.Do(s, standintest.Call{Method: http.MethodGet, Path: "/instances"})
	var list wire.InstanceList
	if err := json.Unmarshal([]byte(reply.Body), &list); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, server := range list.Servers {
		ids = append(ids, server.ID)
	}
	return ids
}

func do(t *testing.T, s *Server, method, path, body string, want int) {
	t.Helper()
	reply := standintest.Do(s, standintest.Call{Method: method, Path: path, Body: body})
	if reply.Status != want {
		t.Fatalf("%s %s: status %d, want %d: %s", method, path, reply.Status, want, reply.Body)
	}
}

// With the fault LagMS, readers must get the list as it was LagMS ago: changes are
// neither visible earlier nor lost.
func TestListChangesShowAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		do(t, s, http.MethodPut, "/servers/a", `{"addr":"127.0.0.1:1"}`, http.StatusNoContent)
		do(t, s, http.MethodPut, "/instances/i", `{"peer":"127.0.0.1:2"}`, http.StatusNoContent)
		standintest.SetFaults(s, `{"lag_ms":3000}`)
		if got := servers(t, s); len(got) != 0 {
			t.Errorf("servers %v, want none before the lag of the addition", got)
		}
		time.Sleep(2 * time.Second)
		do(t, s, http.MethodDelete, "/servers/a", "", http.StatusNoContent)
		time.Sleep(2 * time.Second)
		if got := servers(t, s); len(got) != 1 {
			t.Errorf("servers %v, want the one added, before the lag of its deletion", got)
		}
		time.Sleep(2 * time.Second)
		if got := servers(t, s); len(got) != 0 {
			t.Errorf("servers %v, want none after the lag of the deletion", got)
		}
	})
}

// A PUT for a known ID must replace the entry instead of adding a second one, and a
// body with an unknown field must change nothing.
func TestListEntriesAreReplacedByID(t *testing.T) {
	s := New(Config{})
	do(t, s, http.MethodPut, "/instances", `{"servers":[{"id":"a"},{"id":"b"}]}`, http.StatusNoContent)
	do(t, s, http.MethodPut, "/servers/a", `{"leaving":true}`, http.StatusNoContent)
	do(t, s, http.MethodPut, "/servers/c", `{"slot":4}`, http.StatusBadRequest)
	if got := servers(t, s); len(got) != 2 {
		t.Errorf("servers %v, want 2", got)
	}
}
