package demo

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	bills "masticplank.example/coordination/ledger"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/service"
	"masticplank.example/router/internal/wire"
)

// validRun returns a session request, a reservation sent twice, and a request
// for a model that is not allowed, with results that keep all promises.
func validRun() (*checker, []result) {
	teams := demoTeams()
	session := &request{
		kind: kindSession,
		team: teams[0],
		key:  "s",
		chat: wire.ChatRequest{Messages: []wire.Message{{Role: "user", Content: "x"}}, MaxTokens: 5},
	}
	twice := &request{index: 1, kind: kindDuplicate, team: teams[2], key: "t", path: "/reservations", body: "b"}
	forbidden := &request{index: 2, kind: kindForbidden, team: teams[1], key: "f", chat: session.chat}
	reserved, _ := json.Marshal(service.Response{Path: twice.path, Key: twice.key, Body: twice.body, Run: 1})
	began := time.Unix(100, 0)
	results := []result{
		{
			request: session, start: began, outcome: "completed", status: http.StatusOK, version: versionOld,
			text: "q=0.880" + engine.ExpectedText(versionOld, session.chat.Messages, 5),
		},
		{request: twice, start: began, outcome: "completed", status: http.StatusCreated, body: reserved},
		{request: twice, start: began, outcome: "already_run", status: http.StatusConflict, code: "already_run"},
		{request: forbidden, start: began, outcome: "refused", status: http.StatusForbidden, code: "model_not_allowed"},
	}
	c := &checker{
		withdrawnAt: began.Add(time.Second),
		caller: &caller{pins: map[string][]map[string]string{
			"weavers": {{modelLarge: versionOld, modelSmall: versionSmall}},
		}},
		bills: billExport{byRequest: map[string][]bills.Bill{
			"s": {{Team: "weavers", RequestID: "s", Version: versionOld, OutputTokens: 5}},
			"t": {{Team: "clerks", RequestID: "t", Service: serviceShop}},
		}},
		runs:       map[string]int{"t": 1},
		violations: map[string][]string{},
	}
	return c, results
}

// A check that misses a violation makes the demo report a broken promise as
// held, so each promise that the checker checks is broken here at least once.
func TestEachBrokenPromiseIsReported(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(c *checker, r []result)
		want   []string
	}{
		{"valid run", func(*checker, []result) {}, nil},
		{"truncated answer", func(_ *checker, r []result) { r[0].text = r[0].text[:20] }, []string{promiseWhole}},
		{"another's reservation", func(_ *checker, r []result) { r[1].body = []byte(`{"key":"z"}`) }, []string{promiseWhole}},
		{"connection lost without faults", func(_ *checker, r []result) { r[2].outcome = outcomeConnectionLost }, []string{promiseAnswered}},
		{"forbidden model was run", func(_ *checker, r []result) {
			r[3].outcome, r[3].code, r[3].version, r[3].status = "completed", "", versionOld, http.StatusOK
			r[3].text = r[0].text
		}, []string{promiseAnswered, promiseAllowed, promiseBilled}},
		{"ran after the withdrawal", func(_ *checker, r []result) { r[0].start = r[0].start.Add(time.Minute) }, []string{promiseWithdrawn}},
		{"session moved", func(c *checker, _ []result) { c.caller.pins["weavers"][0][modelLarge] = versionNew }, []string{promiseSession}},
		{"bill lost", func(c *checker, _ []result) { delete(c.bills.byRequest, "s") }, []string{promiseBilled}},
		{"billed twice", func(c *checker, _ []result) {
			c.bills.byRequest["s"] = append(c.bills.byRequest["s"], c.bills.byRequest["s"]...)
		}, []string{promiseBilled}},
		{"wrong version billed", func(c *checker, _ []result) { c.bills.byRequest["s"][0].Version = versionSmall }, []string{promiseBilled}},
		{"bill for an unknown request", func(c *checker, _ []result) { c.bills.byRequest["?"] = []bills.Bill{{RequestID: "?"}} }, []string{promiseBilled}},
		{"refused but billed", func(c *checker, _ []result) { c.bills.byRequest["f"] = []bills.Bill{{RequestID: "f"}} }, []string{promiseNotRun}},
		{"refused but run", func(c *checker, r []result) {
			r[1].outcome, r[2].outcome = "refused", "refused"
			delete(c.bills.byRequest, "t")
		}, []string{promiseNotRun}},
		{"reported as failed but run", func(c *checker, r []result) {
			c.faults = true
			r[1].outcome, r[1].code = "failed", "backend_server_crashed"
		}, []string{promiseNoFalseFailure}},
		{"ran twice", func(c *checker, _ []result) { c.runs["t"] = 2 }, []string{promiseAtMostOnce}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, results := validRun()
			tt.mutate(c, results)
			c.check(results)
			got := slices.Sorted(maps.Keys(c.violations))
			if want := slices.Sorted(slices.Values(tt.want)); !slices.Equal(got, want) {
				t.Errorf("violations %v, want those of %v", c.violations, want)
			}
			report := newReport(results, c.bills, c.violations)
			if report.Held() != (len(tt.want) == 0) {
				t.Errorf("report.Held() = %v, want true for the valid run only", report.Held())
			}
		})
	}
}

// A failure must be reproducible by its seed: only the keys may differ between two
// loads with the same seed.
func TestLoadIsTheSameForTheSameSeed(t *testing.T) {
	a, b := generateLoad(300, 7), generateLoad(300, 7)
	kinds := map[kind]int{}
	for i := range a {
		kinds[a[i].kind]++
		if a[i].kind != b[i].kind || a[i].path != b[i].path || a[i].chat.Model != b[i].chat.Model {
			t.Fatalf("request %d differs with the same seed", i)
		}
		if a[i].key == b[i].key {
			t.Fatalf("request %d has the same key in both loads", i)
		}
	}
	if len(kinds) != len(loadMix) {
		t.Errorf("kinds %v, want all those of loadMix", kinds)
	}
}

// An index of percentile that is off by one would shift all reported latencies.
func TestPercentileByNearestRank(t *testing.T) {
	var all []time.Duration
	for i := 100; i > 0; i-- {
		all = append(all, time.Duration(i)*time.Millisecond)
	}
	for q, want := range map[float64]float64{0: 1, 0.5: 50, 0.95: 95, 0.99: 99, 1: 100} {
		if got := percentile(all, q); got != want {
			t.Errorf("percentile %v: %v, want %v", q, got, want)
		}
	}
}
