package relay

import (
	"context"
	"maps"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

func loadRow(key uint32, requests int, prefill time.Duration) passthrough.PeerLoad {
	return passthrough.PeerLoad{Key: key, Requests: requests, PrefillTime: prefill}
}

// TestLoadsArePackedAndUnpacked checks that loads are the same after packing and unpacking, and
// that a truncated row is an error.
func TestLoadsArePackedAndUnpacked(t *testing.T) {
	rows := []passthrough.PeerLoad{loadRow(0, 1, 0), loadRow(7, 300, 90*time.Second), loadRow(1<<32-1, 0, time.Millisecond)}
	got, err := unpackLoads(packLoads(rows))
	if err != nil || !reflect.DeepEqual(got, rows) {
		t.Errorf("unpacked %+v, error %v, want the rows that were packed", got, err)
	}
	for cut := range packLoads(rows[1:2]) {
		if cut == 0 {
			continue
		}
		if _, err := unpackLoads(packLoads(rows[1:2])[:cut]); err == nil {
			t.Errorf("%d bytes of a row were accepted", cut)
		}
	}
}

// TestTokensArePackedBesideLoads checks that tokens are the same after packing and unpacking, but for rounding, that reports
// without them are read, and that damaged ones are an error.
func TestTokensArePackedBesideLoads(t *testing.T) {
	rows := []passthrough.PeerLoad{{Key: 1, Tokens: 54_656}, {Key: 2}, {Key: 3, Tokens: 64}}
	packed := packTokens(rows)
	got := []passthrough.PeerLoad{{Key: 1}, {Key: 2}, {Key: 3}}
	if err := unpackTokens(packed, got); err != nil || !reflect.DeepEqual(got, rows) {
		t.Errorf("unpacked %+v, error %v, want the rows that were packed", got, err)
	}
	if err := unpackTokens(nil, got); err != nil || packTokens(rows[1:2]) != nil {
		t.Errorf("error %v, want none for a report without tokens, and none sent if there are none", err)
	}
	for _, damaged := range [][]byte{packed[:len(packed)-1], append(packed, 1), {255}} {
		if err := unpackTokens(damaged, got); err == nil {
			t.Errorf("%v was accepted", damaged)
		}
	}
	if sum := sumLoads(rows, rows); sum[0].Tokens != 2*54_656 {
		t.Errorf("the sum has %d tokens, want twice 54,656", sum[0].Tokens)
	}
}

// FuzzUnpackLoads guards against a panic or a negative sum because of a damaged report.
func FuzzUnpackLoads(f *testing.F) {
	f.Add(packLoads([]passthrough.PeerLoad{loadRow(7, 300, time.Second)}))
	f.Add([]byte{1, 2, 3, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := unpackLoads(data)
		if err != nil {
			return
		}
		for _, row := range sumLoads(rows, rows) {
			if row.Requests < 0 || row.PrefillTime < 0 {
				t.Errorf("row %+v, want no negative value", row)
			}
		}
	})
}

// exchangeInstance is an instance that exchanges load reports.
type exchangeInstance struct {
	loads *LoadExchange
	own   []passthrough.PeerLoad
	got   []passthrough.PeerLoad
	// instances is the number of instances that got covers.
	instances int
	// limits are what backend servers stated to this instance, othersLimits what they stated to
	// others.
	limits []passthrough.PeerLimit
	// lost is the version of the configuration that the store lacks, as known to this instance;
	// othersLost, as known to others.
	lost, othersLost uint64
	othersLimits     []passthrough.PeerLimit
	// leaving are processes that stated to this instance that they are leaving, othersLeaving those that
	// stated it to others.
	leaving, othersLeaving []uint64
	// brittle and othersBrittle are the same for services that are brittle.
	brittle, othersBrittle map[string]float64
	// crashes and othersCrashes are the same for crashed servers.
	crashes, othersCrashes passthrough.CrashEvidence
}

// startExchanges starts instances of several failure domains, given by the first letter of their
// names. The first of all ranks first.
func startExchanges(t *testing.T, names ...string) map[string]*exchangeInstance {
	t.Helper()
	members := make([]Member, 0, len(names))
	listeners := map[string]net.Listener{}
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = l
		members = append(members, Member{Name: name, Domain: name[:1], Address: l.Addr().String(), Cores: float64(len(names) - i)})
	}
	out := map[string]*exchangeInstance{}
	for _, self := range members {
		known := NewMembers(self, 2, time.Now)
		for _, m := range members {
			known.Add(m)
		}
		client := NewClient(known, time.Now)
		n := &exchangeInstance{}
		n.loads = NewLoadExchange(client, func() Report {
			return Report{Loads: n.own, Limits: n.limits, Leaving: n.leaving, Brittle: n.brittle, Crashes: n.crashes, LostConfigVersion: n.lost, Instances: 1}
		}, func(others Report) {
			n.got, n.instances, n.othersLimits, n.othersLost = others.Loads, others.Instances, others.Limits, others.LostConfigVersion
			n.othersLeaving, n.othersBrittle, n.othersCrashes = others.Leaving, others.Brittle, others.Crashes
		})
		srv := NewServer(time.Now, nil, nil, func() int { return len(names) })
		srv.LoadExchange = n.loads
		ctx, stop := context.WithCancel(t.Context())
		go srv.Serve(ctx, listeners[self.Name])
		t.Cleanup(func() { stop(); client.Close() })
		out[self.Name] = n
	}
	return out
}

// TestLoadsReachAllInstances checks with two failure domains of two instances each that every
// instance gets the sum of the others' loads, from its own failure domain and the other one, and
// never counts its own.
func TestLoadsReachAllInstances(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	for i, name := range names {
		nodes[name].own = []passthrough.PeerLoad{loadRow(1, 1<<i, time.Duration(1<<i)*time.Second)}
	}
	for range 3 { // up to the first collector and down again
		for _, name := range names {
			nodes[name].loads.exchange(t.Context())
		}
	}
	for i, name := range names {
		want := 1 + 2 + 4 + 8 - 1<<i
		got := nodes[name].got
		if nodes[name].instances != len(names)-1 {
			t.Errorf("%s got the reports of %d instances, want all others", name, nodes[name].instances)
		}
		if len(got) != 1 || got[0].Requests != want || got[0].PrefillTime != time.Duration(want)*time.Second {
			t.Errorf("%s got the sum %+v, want %d requests and as many seconds of prefill time", name, got, want)
		}
	}
}

// TestReportsExpire checks that the load of an instance that stopped reporting expires, and that an
// unreadable report is rejected.
func TestReportsExpire(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "a1", Domain: "a", Address: "x:1"}, 1, func() time.Time { return now })
	l := NewLoadExchange(NewClient(members, func() time.Time { return now }), func() Report { return Report{Instances: 1} }, func(Report) {})
	if _, err := l.handleReport(loadsParams{Name: "a2", Rows: packLoads([]passthrough.PeerLoad{loadRow(1, 2, time.Second)})}); err != nil {
		t.Fatal(err)
	}
	if sum := l.sum(l.liveReports("", true)).Loads; len(sum) != 1 || sum[0].Requests != 2 {
		t.Errorf("sum %+v, want two requests", sum)
	}
	now = now.Add(l.reportTTL() + time.Millisecond)
	if sum := l.sum(l.liveReports("", true)).Loads; len(sum) != 0 {
		t.Errorf("sum %+v with an expired report, want none", sum)
	}
	from := ""
	l.OnUnreadable = func(name string, _ error) { from = name }
	if _, err := l.handleReport(loadsParams{Name: "a2", Rows: []byte{1}}); err == nil || from != "a2" {
		t.Errorf("an unreadable report was accepted, or not passed to OnUnreadable: %v, from %q", err, from)
	}
}

// TestNewestLimitReachesAll has servers state a limit, and its end, to instances of two failure
// domains: all must learn the newest statement, with its age.
func TestNewestLimitReachesAll(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	nodes["a2"].limits = []passthrough.PeerLimit{{Key: 1, Limit: passthrough.RateLimit{Limited: true, PerSecond: 1.4}, Age: 5 * time.Second}}
	nodes["b2"].limits = []passthrough.PeerLimit{{Key: 1, Age: time.Second}, {Key: 2, Limit: passthrough.RateLimit{Limited: true}, Age: time.Second}}
	for range 3 { // up to the first collector and down again
		for _, name := range names {
			nodes[name].loads.exchange(t.Context())
		}
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		got := nodes[name].othersLimits
		if len(got) != 2 || got[0].Limit.Limited || !got[1].Limit.Limited || got[0].Age < time.Second || got[0].Age > 3*time.Second {
			t.Errorf("%s got %+v, want no limit for server 1, 1 to 3 s old, and one for server 2", name, got)
		}
	}
	if got := nodes["b2"].othersLimits; len(got) != 1 || got[0].Limit.PerSecond != 1.4 || got[0].Age < 5*time.Second {
		t.Errorf("b2 got %+v, want only a2's limit of 1.4, at least 5 s old", got)
	}
}

// TestBrittleServicesReachAll guards against instances that do not learn which services' servers have stated to
// others that they are brittle.
func TestBrittleServicesReachAll(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	nodes["a2"].brittle = map[string]float64{"shop": 3}
	exchange := func() {
		for range 3 { // up to the first collector and down again
			for _, name := range names {
				nodes[name].loads.exchange(t.Context())
			}
		}
	}
	exchange()
	for _, name := range names {
		want := map[string]float64{"shop": 3}
		if name == "a2" {
			want = map[string]float64{} // its own statement does not come back
		}
		if got := nodes[name].othersBrittle; !maps.Equal(got, want) {
			t.Errorf("%s got %v, want %v", name, got, want)
		}
	}
	nodes["a2"].brittle = nil
	exchange()
	for _, name := range names {
		if got := nodes[name].othersBrittle; len(got) != 0 {
			t.Errorf("%s got %v after the end, want nothing", name, got)
		}
	}
}

// TestCrashEvidenceReachesAll guards against instances that do not learn of the crashes, answers and verdicts of
// others, and against counts of requests that are not added up.
func TestCrashEvidenceReachesAll(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	now := time.Now()
	crash := func(process, request uint64) []passthrough.ServerCrash {
		return []passthrough.ServerCrash{{Process: process, At: now, Suspects: []passthrough.CrashSuspect{{Request: request, Parts: []uint64{9}, Sent: now}}}}
	}
	nodes["a2"].crashes = passthrough.CrashEvidence{Crashes: crash(1, 11), Answers: []passthrough.PartAnswer{{Part: 3, Sent: now}}, Candidates: []passthrough.PartCandidate{{Part: 5, Named: now}}, Waiting: passthrough.CrashOutcomes{Answered: 10, Lost: 1}, Begun: passthrough.CrashOutcomes{Answered: 7}}
	nodes["b2"].crashes = passthrough.CrashEvidence{Crashes: crash(1, 12), Verdicts: []passthrough.PartVerdict{{Parts: []uint64{4}, Since: now, LastSeen: now}}, Waiting: passthrough.CrashOutcomes{Answered: 20, Lost: 2}, Begun: passthrough.CrashOutcomes{Lost: 5}}
	for range 3 { // up to the first collector and down again
		for _, name := range names {
			nodes[name].loads.exchange(t.Context())
		}
	}
	for _, name := range []string{"a1", "b1"} {
		got := nodes[name].othersCrashes
		if len(got.Crashes) != 1 || len(got.Crashes[0].Suspects) != 2 || len(got.Answers) != 1 || len(got.Candidates) != 1 || len(got.Verdicts) != 1 || got.Waiting != (passthrough.CrashOutcomes{Answered: 30, Lost: 3}) || got.Begun != (passthrough.CrashOutcomes{Answered: 7, Lost: 5}) {
			t.Errorf("%s got %+v, want one crash with two suspects, one answer, one candidate, one verdict, 30 answered and 3 lost", name, got)
		}
	}
}

// TestLeavingServersReachAll guards against instances that do not learn which servers have stated to others
// that they are leaving.
func TestLeavingServersReachAll(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	nodes["a2"].leaving, nodes["b2"].leaving = []uint64{7, 1<<64 - 1}, []uint64{7, 9}
	for range 3 { // up to the first collector and down again
		for _, name := range names {
			nodes[name].loads.exchange(t.Context())
		}
	}
	all := []uint64{7, 9, 1<<64 - 1}
	for name, want := range map[string][]uint64{"a1": all, "a2": {7, 9}, "b1": all, "b2": {7, 1<<64 - 1}} {
		if got := nodes[name].othersLeaving; !slices.Equal(got, want) {
			t.Errorf("%s got the processes %v, want %v", name, got, want)
		}
	}
}

// TestLostConfigurationReachesAll checks that all instances learn the highest version that the
// store lacks.
func TestLostConfigurationReachesAll(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2"}
	nodes := startExchanges(t, names...)
	nodes["a2"].lost, nodes["b2"].lost = 7, 9
	for range 3 { // up to the first collector and down again
		for _, name := range names {
			nodes[name].loads.exchange(t.Context())
		}
	}
	for name, want := range map[string]uint64{"a1": 9, "a2": 9, "b1": 9, "b2": 7} {
		if got := nodes[name].othersLost; got != want {
			t.Errorf("%s got version %d, want %d", name, got, want)
		}
	}
}

// TestLimitsArePackedAndUnpacked checks that limits are the same after packing and unpacking, and
// that a truncated row is an error.
func TestLimitsArePackedAndUnpacked(t *testing.T) {
	rows := []passthrough.PeerLimit{
		{Key: 0, Age: 3 * time.Second}, {Key: 7, Limit: passthrough.RateLimit{Limited: true}},
		{Key: 1<<32 - 1, Limit: passthrough.RateLimit{Limited: true, PerSecond: 1.4}, Age: time.Millisecond},
	}
	got, err := unpackLimits(packLimits(rows))
	if err != nil || !reflect.DeepEqual(got, rows) {
		t.Errorf("unpacked %+v, error %v, want the rows that were packed", got, err)
	}
	for cut := 1; cut < len(packLimits(rows[2:])); cut++ {
		if _, err := unpackLimits(packLimits(rows[2:])[:cut]); err == nil {
			t.Errorf("%d bytes of a row were accepted", cut)
		}
	}
}

// FuzzUnpackLimits guards against a panic, or a negative limit or age, because of a damaged report.
func FuzzUnpackLimits(f *testing.F) {
	f.Add(packLimits([]passthrough.PeerLimit{{Key: 7, Limit: passthrough.RateLimit{Limited: true, PerSecond: 2}, Age: time.Second}}))
	f.Add([]byte{1, 2, 3, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := unpackLimits(data)
		if err != nil {
			return
		}
		for _, row := range newestLimits(rows, addAge(rows, time.Second)) {
			if row.Age < 0 || row.Limit.PerSecond < 0 {
				t.Errorf("row %+v, want no negative value", row)
			}
		}
	})
}
