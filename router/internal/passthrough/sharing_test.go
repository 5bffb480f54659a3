package passthrough

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/platform/standin"
	"masticplank.example/router/internal/relay"
)

// countedLog counts the calls to a topic.
type countedLog struct {
	*fakeLog
	reads, appends int
}

func (l *countedLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *countedLog) Newest(ctx context.Context) (keyedlog.Snapshot, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	return l.fakeLog.Newest(ctx)
}

func (l *countedLog) Append(ctx context.Context, at keyedlog.Position, records ...keyedlog.Record) error {
	l.mu.Lock()
	l.appends++
	l.mu.Unlock()
	return l.fakeLog.Append(ctx, at, records...)
}

// fakeStore is a store with one list of instances per failure domain.
type fakeStore struct {
	fakeLog
	mu      sync.Mutex
	domains map[string]*countedLog
}

func (s *fakeStore) Operator() keyedlog.Log     { return &s.fakeLog }
func (s *fakeStore) Servers() keyedlog.Log      { return &s.fakeLog }
func (s *fakeStore) Status() keyedlog.Log       { return &s.fakeLog }
func (s *fakeStore) Observations() keyedlog.Log { return &s.fakeLog }

func (s *fakeStore) Instances(domain string) keyedlog.Log { return s.domain(domain) }

func (s *fakeStore) domain(name string) *countedLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains == nil {
		s.domains = map[string]*countedLog{}
	}
	if s.domains[name] == nil {
		s.domains[name] = &countedLog{fakeLog: &fakeLog{}}
	}
	return s.domains[name]
}

// startPeer starts the sharing of an instance on a port of its own.
func startPeer(t *testing.T, st Store, clock Clock, name string, cores float64) *sharing {
	t.Helper()
	tel := &telemetry{clock: clock, config: NewConfigState(clock, time.Second), registry: metrics.NewRegistry()}
	cfg := seam.Settings{Instance: name, Domain: "a", Domains: []string{"a", "b"}, PeerAddr: freePort(t), Cores: cores,
		Bounds: seam.Bounds{RevocationDelay: time.Second, Drain: time.Second}}
	sh := newSharing(cfg, st, fakeRecords{}, tel, clock)
	if err := sh.listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sh.client.Close)
	return sh
}

// TestFollowersAreAnnouncedInOneCall guards against overloading the store when many instances start: a
// collector announces the small instances that start after it in one call, and each reads only the list
// of its own failure domain.
func TestFollowersAreAnnouncedInOneCall(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	collector := startPeer(t, st, clock, "strong", 0.8)
	collector.join(t.Context(), false)
	const count = 20
	var followers []*sharing
	for i := range count {
		sh := startPeer(t, st, clock, fmt.Sprint("small", i), 0.2)
		sh.join(t.Context(), false)
		followers = append(followers, sh)
	}
	own, other := st.domain("a"), st.domain("b")
	if own.appends != 1 {
		t.Errorf("%d appends after all instances joined, want the collector's own only", own.appends)
	}
	collector.writeFollowers(t.Context())
	if own.appends != 2 || len(own.records) != 1+count {
		t.Errorf("%d appends wrote %d instances, want two appends that write all", own.appends, len(own.records))
	}
	if own.reads != 1+count || other.reads != 0 {
		t.Errorf("%d reads of the own domain's list, %d of another's, want one by each instance and none", own.reads, other.reads)
	}
	if !followers[0].readMembers(t.Context(), "a") || !followers[0].listed.Load() {
		t.Error("a follower does not find its own entry")
	}
}

// TestInstanceReannouncesIfCollectorLostIt checks that an instance announces itself again if its
// collector ends before it writes the announcement.
func TestInstanceReannouncesIfCollectorLostIt(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	collector := startPeer(t, st, clock, "strong", 0.8)
	collector.join(t.Context(), false)
	sh := startPeer(t, st, clock, "small", 0.2)
	sh.join(t.Context(), false)
	collector.takeHeldRecords(topicInstances) // the announcement is lost
	clock.advance(reannounceAfter + time.Second)
	sh.reannounceIfMissing(t.Context())
	collector.writeFollowers(t.Context())
	if n := len(st.domain("a").records); n != 2 {
		t.Errorf("%d instances are listed, want 2", n)
	}
}

// TestInstanceReannouncesAfterRestore checks that an instance announces itself again after a restore
// that lost its entry, and does not if the entry is still there.
func TestInstanceReannouncesAfterRestore(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	own := st.domain("a")
	own.era = 1
	sh := startPeer(t, st, clock, "strong", 0.8)
	reader := sh.reader(t.Context())
	sh.join(t.Context(), false)
	mustRead(t, reader)
	for _, keep := range []int{1, 0} {
		before := own.appends
		own.restore(keep)
		mustRead(t, reader)
		if announced := own.appends - before; announced != 1-keep || len(own.records) != 1 {
			t.Errorf("%d records kept: announced %d times, %d records, want one record, announced only if it was lost", keep, announced, len(own.records))
		}
	}
	if sh.members.FleetSize() == 0 || len(sh.members.DomainNames()) != 1 {
		t.Errorf("members %v, want this instance alone", sh.members.DomainNames())
	}
}

// freePort returns a loopback address with an unused port.
func freePort(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestTunnelPeersAreFoundInTheOwnRegion guards against instances that know no peer but those of their failure
// domain, all of which may be cut off with them, and against requests that leave their region through a peer.
func TestTunnelPeersAreFoundInTheOwnRegion(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	for _, domain := range []string{"a", "b", "c"} {
		entry := fmt.Sprintf(`{"name":"edge-%s","domain":%q,"address":"10.0.0.1:1","cores":1,"tunnel":"10.0.0.1:2"}`, domain, domain)
		st.domain(domain).add("edge-"+domain, entry)
	}
	sh := newRegionSharing(t, st, clock)
	if !sh.readMembers(t.Context(), "a") || !sh.readMembers(t.Context(), "c") {
		t.Fatal("the lists of instances cannot be read")
	}
	if known := sh.tunnelPeers.Names(); !slices.Equal(known, []string{"edge-a"}) {
		t.Errorf("peers %v, want those of the own region", known)
	}
	for range 20 {
		sh.findTunnelPeers()
	}
	waitForPeers(t, sh, st.domain("b"))
}

// TestCollectorPassesOnTheListsOfItsRegion guards against instances that do not know the instances of the region's other
// failure domains, although their collector does, or read their lists from the store.
func TestCollectorPassesOnTheListsOfItsRegion(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	st.domain("b").add("edge-b", `{"name":"edge-b","domain":"b","address":"10.0.0.1:1","cores":1,"tunnel":"10.0.0.1:2"}`)
	collector, follower := newRegionSharing(t, st, clock), newRegionSharing(t, st, clock)
	collector.readMembers(t.Context(), "b")
	if err := collector.listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	follower.members.Add(relay.Member{Name: "collector", Domain: "a", Address: collector.self.Address, Cores: 2})
	got := ""
	follower.onRemotePeers = func(domain string, names []string) { got = fmt.Sprint(domain, names) }
	follower.askRegion(t.Context(), []string{"b"})
	follower.passOnRegion([]string{"b"})
	if want := "b[edge-b]"; got != want {
		t.Errorf("found %q, want %q", got, want)
	}
	if _, ok := follower.tunnelPeers.Address("edge-b"); !ok {
		t.Error("the instance of the other failure domain cannot be asked")
	}
	if reads := st.domain("b").readCount(); reads != 1 {
		t.Errorf("%d reads of the list, want that of the collector", reads)
	}
}

// TestListsOfTheRegionAreReadIfNobodyHasThem guards against an instance that needs the instances of another failure domain,
// and whose collector gives no answer; and against one that reads the lists again and again.
func TestListsOfTheRegionAreReadIfNobodyHasThem(t *testing.T) {
	st, clock := &fakeStore{}, newFakeClock()
	st.domain("b").add("edge-b", `{"name":"edge-b","domain":"b","address":"10.0.0.1:1","cores":1,"tunnel":"10.0.0.1:2"}`)
	sh := newRegionSharing(t, st, clock)
	sh.members.Add(relay.Member{Name: "collector", Domain: "a", Address: freePort(t), Cores: 2})
	sh.askRegion(t.Context(), []string{"b"})
	if reads := st.domain("b").readCount(); reads != 0 {
		t.Errorf("%d reads of a list that is not needed, want none", reads)
	}
	sh.lacksRemotePeers = func() bool { return true }
	for range 20 {
		sh.askRegion(t.Context(), []string{"b"})
	}
	if got := sh.members.RemoteNames("b"); !slices.Equal(got, []string{"edge-b"}) {
		t.Errorf("found %v, want edge-b", got)
	}
	if reads := st.domain("b").readCount(); reads != 1 {
		t.Errorf("%d reads at once, want 1", reads)
	}
	clock.advance(regionReadInterval)
	sh.askRegion(t.Context(), []string{"b"})
	if reads := st.domain("b").readCount(); reads != 2 {
		t.Errorf("%d reads after %v, want 2", reads, regionReadInterval)
	}
}

// newRegionSharing returns the sharing of an instance of failure domain a, whose region has b as well but not c.
func newRegionSharing(t *testing.T, st *fakeStore, clock *fakeClock) *sharing {
	t.Helper()
	tel := &telemetry{clock: clock, config: NewConfigState(clock, time.Second), registry: metrics.NewRegistry()}
	sh := newSharing(seam.Settings{Instance: "self", Domain: "a", Domains: []string{"a", "b", "c"}, RegionDomains: []string{"a", "b"},
		PeerAddr: freePort(t), Bounds: seam.Bounds{RevocationDelay: time.Second, Drain: time.Second}}, st, fakeRecords{}, tel, clock)
	t.Cleanup(sh.client.Close)
	return sh
}

// waitForPeers waits until peers of another failure domain are known, by one read of its list.
func waitForPeers(t *testing.T, sh *sharing, list *countedLog) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); len(sh.tunnelPeers.Names()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("peers %v, want those of the other failure domain too", sh.tunnelPeers.Names())
		}
	}
	if reads := list.readCount(); reads != 1 {
		t.Errorf("%d reads of the other failure domain's list by 20 searches at once, want 1", reads)
	}
}
