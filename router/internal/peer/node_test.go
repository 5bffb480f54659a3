package peer

import (
	"bytes"
	"context"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/wire"
)

// TestRoundReportsHeadsOfPeers checks that a round passes on the head reported
// by each peer, and that a request does not count as a report.
func TestRoundReportsHeadsOfPeers(t *testing.T) {
	fleet := newFleet(t, 3, nil)
	fleet[1].store.set(func(s *fakeStore) { s.status.Head, s.status.LastHeadRead = 70, testTime.Add(-time.Second) })
	fleet[2].store.set(func(s *fakeStore) { s.status.LogReachable, s.status.LastHeadRead = false, time.Time{} })
	fleet[0].runRound()
	if len(fleet[0].vouches) != 2 {
		t.Fatalf("%d reports, want 2", len(fleet[0].vouches))
	}
	for range 2 {
		v := <-fleet[0].vouches
		switch v.Peer {
		case "i1":
			if v.Head != 70 || v.HeadAge != time.Second || !v.LogReachable {
				t.Errorf("got %+v, want head 70 read 1 s ago, log reachable", v)
			}
		case "i2":
			if v.LogReachable || v.HeadAge != maxAge {
				t.Errorf("got %+v, want a head age of maxAge, log unreachable", v)
			}
		}
	}
	if len(fleet[1].vouches)+len(fleet[2].vouches) != 0 {
		t.Error("a request was taken for a report of the head")
	}
}

// TestCallDurationAddsToHeadAge checks that a delayed answer does not make a
// head look too recent.
func TestCallDurationAddsToHeadAge(t *testing.T) {
	v := StatusReport{HeadAgeMS: 400}.vouch(300 * time.Millisecond)
	if v.HeadAge != 700*time.Millisecond {
		t.Errorf("got age %v, want 700ms", v.HeadAge)
	}
	if v := (StatusReport{HeadAgeMS: -5}).vouch(-1); v.HeadAge != 0 {
		t.Errorf("negative age: got %v, want 0", v.HeadAge)
	}
	if v := (StatusReport{HeadAgeMS: 1 << 62}).vouch(0); v.HeadAge != maxAge {
		t.Errorf("huge age: got %v, want maxAge", v.HeadAge)
	}
}

// TestAnswerFromAnotherInstanceIsRejected checks that an instance at a reused
// address does not vouch for the instance that is listed there.
func TestAnswerFromAnotherInstanceIsRejected(t *testing.T) {
	fleet := newFleet(t, 2, nil)
	stale := []wire.ListedInstance{{ID: "gone", Peer: fleet[1].self.Peer}}
	fleet[0].Instances = func() []wire.ListedInstance { return stale }
	fleet[0].runRound()
	if len(fleet[0].vouches) != 0 || fleet[0].answered["gone"] {
		t.Error("accepted a report from an instance that is not listed at that address")
	}
}

// TestStateIsRestoredFromPeerFurthestAhead checks that an instance restores a
// peer's state only while it cannot read the log, and only a valid one.
func TestStateIsRestoredFromPeerFurthestAhead(t *testing.T) {
	state := append([]byte("good"), bytes.Repeat([]byte("s"), 2*maxPieceBytes)...)
	for _, c := range []struct {
		name      string
		reachable bool
		snapshot  []byte
		want      []byte
	}{
		{"log unreachable", false, state, state},
		{"log reachable", true, state, nil},
		{"invalid state", false, []byte("evil"), nil},
	} {
		fleet := newFleet(t, 3, nil)
		fleet[0].store.set(func(s *fakeStore) { s.status.LogReachable = c.reachable; s.digest.NextOffset = 5 })
		fleet[1].store.set(func(s *fakeStore) { s.digest.NextOffset = 8 })
		fleet[2].store.set(func(s *fakeStore) {
			s.digest, s.snapshot = fold.Digest{NextOffset: 9, Generation: 1}, c.snapshot
		})
		fleet[0].runRound()
		if !bytes.Equal(fleet[0].store.restored, c.want) {
			t.Errorf("%s: restored %d bytes, want %d", c.name, len(fleet[0].store.restored), len(c.want))
		}
		if fleet[1].store.restored != nil || fleet[2].store.restored != nil {
			t.Errorf("%s: a peer restored an older state", c.name)
		}
	}
}

// TestLargeTransfersAreRateLimited checks that an instance that alone cannot
// reach the log does not fetch the whole state of a peer in each round.
func TestLargeTransfersAreRateLimited(t *testing.T) {
	fleet := newFleet(t, 2, nil)
	fleet[0].store.set(func(s *fakeStore) { s.status.LogReachable = false })
	fleet[1].store.set(func(s *fakeStore) {
		s.digest.NextOffset, s.snapshot = 9, append([]byte("good"), make([]byte, maxTransferRate/2)...)
	})
	for i, c := range []struct {
		elapsed time.Duration
		want    bool
	}{{0, true}, {250 * time.Millisecond, false}, {240 * time.Millisecond, false}, {20 * time.Millisecond, true}} {
		fleet[0].store.set(func(s *fakeStore) { s.restored = nil })
		fleet[0].advance(c.elapsed)
		fleet[0].runRound()
		if got := fleet[0].store.restored != nil; got != c.want {
			t.Errorf("round %d: restored %v, want %v", i, got, c.want)
		}
	}
}

// TestAllPeersAreQueriedWhileLogIsUnreachable checks that an instance that
// cannot read the log queries more peers than the chosen ones.
func TestAllPeersAreQueriedWhileLogIsUnreachable(t *testing.T) {
	fleet := newFleet(t, 8, nil)
	fleet[0].store.set(func(s *fakeStore) { s.status.LogReachable = false })
	fleet[0].runRound()
	reporting := map[string]bool{}
	for range len(fleet[0].vouches) {
		reporting[(<-fleet[0].vouches).Peer] = true
	}
	if len(reporting) != 7 {
		t.Errorf("got reports of %v, want all 7", reporting)
	}
}

// TestDivergedStateIsLoggedOnce checks that different states at one offset are
// logged, but not again in each round, and that peers that are no longer listed
// are forgotten.
func TestDivergedStateIsLoggedOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		other fold.Digest
		want  int
	}{
		{"equal", fold.Digest{NextOffset: 5, Hash: 1}, 0},
		{"other offset", fold.Digest{NextOffset: 6, Hash: 2}, 0},
		{"other hash", fold.Digest{NextOffset: 5, Hash: 2}, 1},
	} {
		fleet := newFleet(t, 2, nil)
		var out bytes.Buffer
		fleet[0].Log = logging.New(&out, settings.Default().Log)
		fleet[0].store.set(func(s *fakeStore) { s.digest = fold.Digest{NextOffset: 5, Hash: 1} })
		fleet[1].store.set(func(s *fakeStore) { s.digest = c.other })
		for range 3 {
			fleet[0].runRound()
		}
		if got := strings.Count(out.String(), logging.EventStateDiverged.Name); got != c.want {
			t.Errorf("%s: logged %d times, want %d: %s", c.name, got, c.want, out.String())
		}
		fleet[0].Instances = func() []wire.ListedInstance { return nil }
		fleet[0].runRound()
		if len(fleet[0].answered) != 0 {
			t.Errorf("%s: keeps peers that are no longer listed", c.name)
		}
	}
}

// TestSnapshotPiecesAreConsistent checks that the pieces of a transfer come
// from one snapshot although the state advances in between, and that impossible
// pieces are rejected.
func TestSnapshotPiecesAreConsistent(t *testing.T) {
	store := &fakeStore{digest: fold.Digest{NextOffset: 4}, snapshot: make([]byte, maxPieceBytes+1)}
	s := &snapshotCache{store: store}
	first, err := s.piece(FetchParams{After: 3}, testTime)
	if err != nil || first.Total != maxPieceBytes+1 || len(first.Data) != maxPieceBytes {
		t.Fatalf("first piece: got %d of %d bytes, error %v, want maxPieceBytes of maxPieceBytes+1", len(first.Data), first.Total, err)
	}
	store.set(func(f *fakeStore) { f.digest.NextOffset, f.snapshot = 9, []byte("newer") })
	rest, err := s.piece(FetchParams{After: 3, Snapshot: 4, Offset: maxPieceBytes}, testTime)
	if err != nil || len(rest.Data) != 1 {
		t.Errorf("second piece: got %d bytes, error %v, want 1 byte", len(rest.Data), err)
	}
	for name, p := range map[string]FetchParams{
		"another snapshot": {Snapshot: 5, Offset: 1},
		"beyond the end":   {Snapshot: 4, Offset: 1 << 40},
		"before the start": {Snapshot: 4, Offset: -1},
		"not ahead":        {After: 9},
	} {
		if _, err := s.piece(p, testTime); err == nil {
			t.Errorf("%s: no error, want one", name)
		}
	}
	s.expire(testTime.Add(snapshotTTL))
	if s.data != nil {
		t.Error("snapshot kept after its TTL")
	}
	for name, got := range map[string]FetchResult{
		"total too large":     {Total: 1 << 60, Data: []byte("x")},
		"empty piece":         {Total: 5},
		"more than the total": {Total: 1, Data: []byte("xx")},
		"other snapshot":      {Snapshot: 2, Total: 9, Data: []byte("x")},
	} {
		if checkPiece(FetchParams{Snapshot: 1, Offset: 1}, got) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestManifestWonIsPushed checks that a manifest that won is announced at once:
// an instance that cannot reach the log restores the state from a peer, one
// that reads the log does nothing. The interval is an hour, so no regular round
// runs.
func TestManifestWonIsPushed(t *testing.T) {
	fleet := newFleet(t, 3, nil)
	fleet[0].runRound() // chooses the peers
	disconnected, connected := fleet[1].store, fleet[2].store
	disconnected.set(func(s *fakeStore) { s.status.LogReachable, s.onRestore = false, make(chan struct{}, 1) })
	fleet[0].store.set(func(s *fakeStore) {
		s.digest, s.snapshot = fold.Digest{NextOffset: 9, Generation: 3}, []byte("good")
	})
	fleet[0].store.watch(fold.Change{Verdict: fold.VerdictLost})
	fleet[0].store.watch(fold.Change{Verdict: fold.VerdictWon})
	<-disconnected.onRestore
	fleet[0].Push(context.Background()) // returns once both have answered
	connected.set(func(s *fakeStore) {
		if s.restored != nil || len(fleet[2].roundRequested) != 0 {
			t.Error("a push affected an instance that reads the log")
		}
	})
}

// TestManifestAnnouncementsAreRateLimited checks that a peer that keeps
// announcing new manifests causes at most one round a second.
func TestManifestAnnouncementsAreRateLimited(t *testing.T) {
	store := &fakeStore{}
	n := New(Config{}, Deps{Store: store, Events: discardEvents{}})
	for i := range 5 {
		if _, err := n.handleManifest(ManifestParams{From: "x", Generation: uint64(i) + 1}); err != nil {
			t.Fatal(err)
		}
		if want := 1 - min(i, 1); len(n.roundRequested) != want {
			t.Errorf("push %d: %d rounds requested, want %d", i, len(n.roundRequested), want)
		}
		if i == 0 {
			<-n.roundRequested
		}
	}
}

// TestVerdictReachesEveryInstanceOnce checks that a verdict is pushed to all
// instances, and that none gets it twice or gets its own.
func TestVerdictReachesEveryInstanceOnce(t *testing.T) {
	fleet := newFleet(t, 8, nil)
	for _, inst := range fleet {
		inst.runRound()
	}
	want := decision.VersionVerdict{Version: "résumé@7", Bad: true, Until: testTime.Add(time.Minute)}
	fleet[0].ShareVerdict(want)
	for _, inst := range fleet[1:] {
		got, ok := (<-inst.events).(decision.VersionVerdict)
		if !ok || got.Version != want.Version || !got.Bad || !got.Until.Equal(want.Until) {
			t.Errorf("%s: got %+v, want the shared verdict", inst.self.ID, got)
		}
	}
	for _, inst := range fleet {
		inst.runRound()
		if len(inst.events) != 0 {
			t.Errorf("%s got the verdict again, or its own", inst.self.ID)
		}
	}
}

// TestRoundExchangesHealthItems checks that peers with different items have the
// same ones after a round, even if nothing was pushed.
func TestRoundExchangesHealthItems(t *testing.T) {
	fleet := newFleet(t, 2, nil)
	// The instances have no peers yet, so nothing is pushed.
	fleet[0].ShareLeaving("moteur-3")
	fleet[0].ShareLeaving("moteur-3")
	fleet[1].ShareQuarantine(decision.Quarantine{Fingerprint: 77, Until: testTime.Add(time.Minute)})
	fleet[0].runRound()
	if got := <-fleet[1].events; got != (decision.ServerLeaving{Server: "moteur-3"}) {
		t.Errorf("got %+v, want moteur-3 leaving", got)
	}
	if got, ok := (<-fleet[0].events).(decision.RequestQuarantined); !ok || got.Fingerprint != 77 {
		t.Errorf("got %+v, want a quarantine of fingerprint 77", got)
	}
	if fleet[0].healthItems.hash(testTime) != fleet[1].healthItems.hash(testTime) {
		t.Error("health items still differ")
	}
}

// TestHealthSetKeepsLatestAndRejectsInvalid checks that the latest item on an
// ID counts, that a batch with an invalid item is rejected as a whole, and that
// items expire.
func TestHealthSetKeepsLatestAndRejectsInvalid(t *testing.T) {
	item := func(stamp, life time.Duration, bad bool) HealthItem {
		at := testTime.Add(stamp)
		return HealthItem{Kind: HealthVerdict, ID: "m@2", Bad: bad, Timestamp: at.UnixMilli(), Until: at.Add(life).UnixMilli(), Origin: "i9"}
	}
	set := newHealthSet()
	old, newer := item(-2*time.Second, time.Minute, true), item(-time.Second, time.Minute, false)
	for _, items := range [][]HealthItem{{old}, {newer}, {old}} {
		if _, err := set.merge(items, testTime); err != nil {
			t.Fatal(err)
		}
	}
	if got := set.all(testTime); !reflect.DeepEqual(got, []HealthItem{newer}) {
		t.Errorf("got %+v, want only the newer item", got)
	}
	before := set.hash(testTime)
	for name, bad := range map[string]HealthItem{
		"timestamp in the future": item(time.Hour, time.Minute, true),
		"lifetime too long":       item(0, maxItemLifetime+time.Second, true),
		"unknown kind":            {Kind: "root", ID: "x", Timestamp: 1, Until: 2, Origin: "i"},
		"no id":                   {Kind: HealthLeaving, Timestamp: 1, Until: 2, Origin: "i"},
		"no origin":               {Kind: HealthLeaving, ID: "x", Timestamp: 1, Until: 2},
		"invalid fingerprint":     {Kind: HealthQuarantine, ID: "x", Timestamp: 1, Until: 2, Origin: "i"},
	} {
		good := item(0, time.Minute, true)
		if _, err := set.merge([]HealthItem{good, bad}, testTime); err == nil || set.hash(testTime) != before {
			t.Errorf("%s: error %v, want an error and no item added", name, err)
		}
	}
	if len(set.all(testTime.Add(2*time.Minute))) != 0 || set.hash(testTime) != 0 {
		t.Error("items are kept after they have expired")
	}
}

// TestFullHealthSetsConverge checks that full sets keep the same items whatever
// the order of arrival. Otherwise peers would exchange all items in every
// round.
func TestFullHealthSetsConverge(t *testing.T) {
	var items []HealthItem
	for i := range maxHealthItems + 50 {
		at := testTime.UnixMilli() - int64(i)
		items = append(items, HealthItem{Kind: HealthLeaving, ID: string(rune('a' + i)), Timestamp: at, Until: at + 60_000, Origin: "i"})
	}
	x, y := newHealthSet(), newHealthSet()
	for i := range items {
		if _, err := x.merge(items[i:i+1], testTime); err != nil {
			t.Fatal(err)
		}
		if _, err := y.merge(items[len(items)-1-i:][:1], testTime); err != nil {
			t.Fatal(err)
		}
	}
	if len(x.entries) != maxHealthItems || x.hash(testTime) != y.hash(testTime) {
		t.Errorf("%d items, equal hashes: %v; want maxHealthItems and equal hashes", len(x.entries), x.hash(testTime) == y.hash(testTime))
	}
}

// TestBillIsHeldInTwoFailureDomainsAndFlushedByBoth checks that a copy is kept
// in another failure domain, that no bill with an unknown outcome is dropped,
// and that retries put the same record.
func TestBillIsHeldInTwoFailureDomainsAndFlushedByBoth(t *testing.T) {
	fleet := newFleet(t, 8, nil)
	fleet[0].runRound() // records which peers answer
	var all []record.Record
	for n := range byte(20) {
		all = append(all, testBill(n))
		if err := fleet[0].Hold(context.Background(), testBill(n)); err != nil {
			t.Fatal(err)
		}
	}
	if got := fleet[0].HeldBills(); got != 20 {
		t.Errorf("%d held, want 20", got)
	}
	copies := 0
	for _, inst := range fleet[1:] {
		copies += inst.HeldBills()
		if inst.self.Domain == fleet[0].self.Domain && inst.HeldBills() > 0 {
			t.Errorf("%s in the same failure domain holds a copy", inst.self.ID)
		}
	}
	if copies != 20 {
		t.Errorf("%d copies, want 20", copies)
	}
	fleet[0].store.set(func(s *fakeStore) { s.outcome = node.OutcomeUnknown })
	fleet[0].runRound()
	if fleet[0].HeldBills() != 20 {
		t.Error("bills with an unknown outcome were dropped")
	}
	total := 0
	for _, inst := range fleet {
		inst.store.set(func(s *fakeStore) { s.outcome = node.OutcomeLost })
		inst.runRound()
		total += inst.HeldBills()
	}
	if total != 0 {
		t.Errorf("%d bills left after the flush, want 0", total)
	}
	// The first flush stopped at an unknown outcome. The second put all bills,
	// the first one again under the same nonce.
	puts := fleet[0].store.puts
	if len(puts) != 21 || !sameBills(puts[1:], all) || !sameBills(puts[:1], []record.Record{secondPut(puts)}) {
		t.Errorf("%d puts, want 21, the retry with the same record as the first try", len(puts))
	}
}

// secondPut is the second Put of the key that was put first.
func secondPut(puts []record.Record) record.Record {
	i := slices.IndexFunc(puts[1:], func(r record.Record) bool { return r.Key == puts[0].Key })
	return puts[1+i]
}

func sameBills(a, b []record.Record) bool {
	seen := map[record.Nonce]bool{}
	for _, r := range a {
		seen[r.Nonce] = true
	}
	for _, r := range b {
		if !seen[r.Nonce] {
			return false
		}
	}
	return len(a) == len(b)
}

// TestHoldFailsWithoutASecondCopy checks that a bill is not held if no peer
// keeps a copy or this instance has no room: a single copy would be lost with
// its instance. It also checks when HeldBillsFull is true.
func TestHoldFailsWithoutASecondCopy(t *testing.T) {
	fleet := newFleet(t, 2, nil)
	for name, list := range map[string][]wire.ListedInstance{
		"no peers":         {fleet[0].self},
		"unreachable peer": {fleet[0].self, {ID: "dead", Peer: "127.0.0.1:1", Domain: "gasabo"}},
	} {
		fleet[0].Instances = func() []wire.ListedInstance { return list }
		if err := fleet[0].Hold(context.Background(), testBill(1)); err == nil || fleet[0].HeldBills() != 0 {
			t.Errorf("%s: got error %v with %d held, want an error and none", name, err, fleet[0].HeldBills())
		}
	}
	fleet[0].Instances = func() []wire.ListedInstance { return []wire.ListedInstance{fleet[0].self, fleet[1].self} }
	release := fleet[1].fillBills(t)
	if err := fleet[0].Hold(context.Background(), testBill(1)); err == nil || fleet[0].HeldBills() != 0 {
		t.Errorf("full peer: got error %v with %d held, want an error and none", err, fleet[0].HeldBills())
	}
	release()
	if fleet[0].HeldBillsFull(0) {
		t.Error("full with no bill held")
	}
	if !fleet[0].HeldBillsFull(maxHeldBills) {
		t.Error("not full, with room for no more bills than there are open requests")
	}
	fleet[0].fillBills(t)
	if !fleet[0].HeldBillsFull(0) {
		t.Error("not full with all room reserved")
	}
	if err := fleet[0].Hold(context.Background(), testBill(1)); err == nil || fleet[1].HeldBills() != 0 {
		t.Errorf("full here: got error %v with %d copies, want an error and none", err, fleet[1].HeldBills())
	}
}

// TestFailedHoldKeepsThePeersCopy checks that an instance that keeps the copy
// of a bill does not drop it when the caller's second try reaches that instance
// and its own Hold fails. Otherwise the request would stay unbilled if the
// first instance dies.
func TestFailedHoldKeepsThePeersCopy(t *testing.T) {
	fleet := newFleet(t, 2, nil)
	if err := fleet[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	fleet[1].Instances = func() []wire.ListedInstance { return nil }
	if err := fleet[1].Hold(context.Background(), testBill(1)); err == nil || fleet[1].HeldBills() != 1 {
		t.Errorf("got %v with %d held, want an error and the copy kept", err, fleet[1].HeldBills())
	}
}

// TestDrainLeavesNoBillBehind checks that a stopping instance passes each bill
// on, once, to the log or to a peer. A bill left behind would be held only by
// an instance that is gone.
func TestDrainLeavesNoBillBehind(t *testing.T) {
	for name, reachable := range map[string]bool{"into the log": true, "to a peer": false} {
		fleet := newFleet(t, 2, nil)
		if err := fleet[0].heldBills.AcceptCopy(testBill(1)); err != nil {
			t.Fatal(err)
		}
		fleet[0].store.set(func(s *fakeStore) { s.status.LogReachable = reachable })
		if left := fleet[0].Drain(context.Background()); left != 0 {
			t.Errorf("%s: %d left, want 0", name, left)
		}
		if got := len(fleet[0].store.puts) + fleet[1].HeldBills(); got != 1 {
			t.Errorf("%s: bill passed on %d times, want 1", name, got)
		}
	}
}
