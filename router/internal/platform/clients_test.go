package platform

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/standin/listsvc"
	"masticplank.example/router/internal/standin/rating"
	"masticplank.example/router/internal/wire"
)

// TestListClient checks the fields of a fetched list, and that an outage is an error
// rather than an empty list, which would remove every backend server.
func TestListClient(t *testing.T) {
	svc := listsvc.New(listsvc.Config{List: wire.InstanceList{
		Servers:   []wire.ListedServer{{ID: "e1", Addr: "127.0.0.1:1", Slots: 4, Leaving: true}},
		Instances: []wire.ListedInstance{{ID: "i1", Domain: "gasabo"}},
	}})
	server := httptest.NewServer(svc)
	defer server.Close()
	client := NewListClient(server.URL + "/")
	list, err := client.Fetch(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(list.Servers) != 1 || !list.Servers[0].Leaving || list.Instances[0].Domain != "gasabo" {
		t.Errorf("list %+v, want one leaving server and an instance in gasabo", list)
	}
	svc.Faults.Set(listsvc.Faults{Common: faults.Common{Down: true}})
	if list, err := client.Fetch(context.Background()); err == nil {
		t.Errorf("down: got %+v, want an error", list)
	}
}

// TestUnchangedListIsNotSentAgain counts the whole lists that were sent: an
// unchanged one must be answered by 304 without a body.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	svc := listsvc.New(listsvc.Config{List: wire.InstanceList{Servers: []wire.ListedServer{{ID: "e1"}}}})
	var whole int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		svc.ServeHTTP(rec, r)
		if rec.Code == http.StatusOK {
			whole++
		}
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer server.Close()
	client := NewListClient(server.URL)
	for i, want := range []string{"e1", "e1", "e2", "e2"} {
		if i == 2 {
			svc.Update(func(l *wire.InstanceList) { l.Servers[0].ID = "e2" })
		}
		list, err := client.Fetch(context.Background())
		if err != nil || list.Servers[0].ID != want {
			t.Errorf("fetch %d: %+v, %v", i, list, err)
		}
	}
	if whole != 2 {
		t.Errorf("%d whole lists sent, want 2", whole)
	}
}

// TestRatingClient checks that a rating service that fails, or returns a score out of
// range, gives an error and no score.
func TestRatingClient(t *testing.T) {
	tests := []struct {
		name   string
		faults rating.Faults
		score  float64
		fails  bool
	}{
		{name: "no fault", score: 0.75},
		{name: "wrong", faults: rating.Faults{Wrong: true}, score: 0.25},
		{name: "set", faults: rating.Faults{Scores: map[string]float64{"m@1": 0.1}}, score: 0.1},
		{name: "out of range", faults: rating.Faults{OutOfRange: 1}, fails: true},
		{name: "failing", faults: rating.Faults{Fail: 1}, fails: true},
		{name: "down", faults: rating.Faults{Common: faults.Common{Down: true}}, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			svc := rating.New(rating.Config{})
			svc.Faults.Set(tt.faults)
			server := httptest.NewServer(svc)
			defer server.Close()
			score, err := NewRatingClient(server.URL).Rate(context.Background(), wire.RateRequest{
				Version: "m@1",
				Answer:  "q=0.750 some words",
			})
			if (err != nil) != tt.fails || score != tt.score {
				t.Errorf("score %v, error %v", score, err)
			}
		})
	}
}

// TestDecodeScoreRejectsInvalidScores guards against counting a missing score as 0, and
// against using one that is out of range.
func TestDecodeScoreRejectsInvalidScores(t *testing.T) {
	for _, body := range []string{``, `{}`, `{"score":null}`, `{"score":-0.1}`, `{"score":1.1}`, `{"score":"1"}`} {
		if score, err := decodeScore([]byte(body)); err == nil {
			t.Errorf("%q: accepted as score %v, want an error", body, score)
		}
	}
}
