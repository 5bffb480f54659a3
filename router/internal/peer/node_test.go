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

func TestRoundBringsWordsOnTheHead(t *testing.T) {
	f := newFleet(t, 3, nil)
	f[1].store.set(func(s *fakeStore) { s.status.Head, s.status.LastHeadRead = 70, testTime.Add(-time.Second) })
	f[2].store.set(func(s *fakeStore) { s.status.LogReachable, s.status.LastHeadRead = false, time.Time{} })
	f[0].runRound()
	if len(f[0].vouches) != 2 {
		t.Fatalf("%d reports, want 2", len(f[0].vouches))
	}
	for range 2 {
		v := <-f[0].vouches
		switch v.Peer {
		case "i1":
			if v.Head != 70 || v.HeadAge != time.Second || !v.LogReachable {
				t.Errorf("got %+v", v)
			}
		case "i2":
			if v.LogReachable || v.HeadAge != maxAge {
				t.Errorf("got %+v", v)
			}
		}
	}
	if len(f[1].vouches)+len(f[2].vouches) != 0 {
		t.Error("a request was taken for a report of the head")
	}
}

func TestTimeOfTheCallCountsAsAge(t *testing.T) {
	v := StatusReport{HeadAgeMS: 400}.vouch(300 * time.Millisecond)
	if v.HeadAge != 700*time.Millisecond {
		t.Errorf("got %v", v.HeadAge)
	}
	if v := (StatusReport{HeadAgeMS: -5}).vouch(-1); v.HeadAge != 0 {
		t.Errorf("negative age: got %v", v.HeadAge)
	}
	if v := (StatusReport{HeadAgeMS: 1 << 62}).vouch(0); v.HeadAge != maxAge {
		t.Errorf("huge age: got %v", v.HeadAge)
	}
}

func TestAnswerUnderAnotherNameIsNoWord(t *testing.T) {
	f := newFleet(t, 2, nil)
	stale := []wire.ListedInstance{{ID: "gone", Peer: f[1].self.Peer}}
	f[0].Instances = func() []wire.ListedInstance { return stale }
	f[0].runRound()
	if len(f[0].vouches) != 0 || f[0].answered["gone"] {
		t.Error("accepted a report from an instance that is not listed at that address")
	}
}

func TestStateComesFromThePeerThatIsFurthestAheadWhileTheLogIsDown(t *testing.T) {
	state := append([]byte("good"), bytes.Repeat([]byte("s"), 2*maxPieceBytes)...)
	for _, c := range []struct {
		name      string
		reachable bool
		snapshot  []byte
		want      []byte
	}{
		{"log down", false, state, state},
		{"log reachable", true, state, nil},
		{"bad state", false, []byte("evil"), nil},
	} {
		f := newFleet(t, 3, nil)
		f[0].store.set(func(s *fakeStore) { s.status.LogReachable = c.reachable; s.digest.NextOffset = 5 })
		f[1].store.set(func(s *fakeStore) { s.digest.NextOffset = 8 })
		f[2].store.set(func(s *fakeStore) {
			s.digest, s.snapshot = fold.Digest{NextOffset: 9, Generation: 1}, c.snapshot
		})
		f[0].runRound()
		if !bytes.Equal(f[0].store.restored, c.want) {
			t.Errorf("%s: restored %d bytes, want %d", c.name, len(f[0].store.restored), len(c.want))
		}
		if f[1].store.restored != nil || f[2].store.restored != nil {
			t.Errorf("%s: a peer took over an older state", c.name)
		}
	}
}

// An instance that alone cannot reach the log must not fetch the whole state of
// a peer in each round.
func TestTransfersOfALargeStateAreApart(t *testing.T) {
	f := newFleet(t, 2, nil)
	f[0].store.set(func(s *fakeStore) { s.status.LogReachable = false })
	f[1].store.set(func(s *fakeStore) {
		s.digest.NextOffset, s.snapshot = 9, append([]byte("good"), make([]byte, maxTransferRate/2)...)
	})
	for i, c := range []struct {
		pass time.Duration
		want bool
	}{{0, true}, {250 * time.Millisecond, false}, {240 * time.Millisecond, false}, {20 * time.Millisecond, true}} {
		f[0].store.set(func(s *fakeStore) { s.restored = nil })
		f[0].advance(c.pass)
		f[0].runRound()
		if got := f[0].store.restored != nil; got != c.want {
			t.Errorf("round %d: taken over: %v, want %v", i, got, c.want)
		}
	}
}

func TestAllAreAskedWhileTheLogIsDown(t *testing.T) {
	f := newFleet(t, 8, nil)
	f[0].store.set(func(s *fakeStore) { s.status.LogReachable = false })
	f[0].runRound()
	reporting := map[string]bool{}
	for range len(f[0].vouches) {
		reporting[(<-f[0].vouches).Peer] = true
	}
	if len(reporting) != 7 {
		t.Errorf("got reports of %v, want all 7", reporting)
	}
}

func TestUnlikeStatesAtOneOffsetRaiseAnAlarm(t *testing.T) {
	for _, c := range []struct {
		name  string
		other fold.Digest
		want  int
	}{
		{"alike", fold.Digest{NextOffset: 5, Hash: 1}, 0},
		{"elsewhere", fold.Digest{NextOffset: 6, Hash: 2}, 0},
		{"unlike", fold.Digest{NextOffset: 5, Hash: 2}, 1},
	} {
		f := newFleet(t, 2, nil)
		var out bytes.Buffer
		f[0].Log = logging.New(&out, settings.Default().Log)
		f[0].store.set(func(s *fakeStore) { s.digest = fold.Digest{NextOffset: 5, Hash: 1} })
		f[1].store.set(func(s *fakeStore) { s.digest = c.other })
		for range 3 {
			f[0].runRound()
		}
		if got := strings.Count(out.String(), logging.EventStateDiverged.Name); got != c.want {
			t.Errorf("%s: %d alarms, want %d: %s", c.name, got, c.want, out.String())
		}
		f[0].Instances = func() []wire.ListedInstance { return nil }
		f[0].runRound()
		if len(f[0].answered) != 0 {
			t.Errorf("%s: keeps peers that are no longer listed", c.name)
		}
	}
}

func TestPiecesOfASnapshotBelongTogether(t *testing.T) {
	store := &fakeStore{digest: fold.Digest{NextOffset: 4}, snapshot: make([]byte, maxPieceBytes+1)}
	s := &snapshotCache{store: store}
	first, err := s.piece(FetchParams{After: 3}, testTime)
	if err != nil || first.Total != maxPieceBytes+1 || len(first.Data) != maxPieceBytes {
		t.Fatalf("got %d of %d, %v", len(first.Data), first.Total, err)
	}
	store.set(func(f *fakeStore) { f.digest.NextOffset, f.snapshot = 9, []byte("newer") })
	rest, err := s.piece(FetchParams{After: 3, Snapshot: 4, Offset: maxPieceBytes}, testTime)
	if err != nil || len(rest.Data) != 1 {
		t.Errorf("second piece: got %d bytes, %v", len(rest.Data), err)
	}
	for name, p := range map[string]FetchParams{
		"another snapshot": {Snapshot: 5, Offset: 1},
		"beyond the end":   {Snapshot: 4, Offset: 1 << 40},
		"before the start": {Snapshot: 4, Offset: -1},
		"not ahead":        {After: 9},
	} {
		if _, err := s.piece(p, testTime); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	s.expire(testTime.Add(snapshotTTL))
	if s.data != nil {
		t.Error("snapshot kept after its TTL")
	}
	for name, got := range map[string]FetchResult{
		"endless":     {Total: 1 << 60, Data: []byte("x")},
		"empty piece": {Total: 5},
		"too much":    {Total: 1, Data: []byte("xx")},
		"swapped":     {Snapshot: 2, Total: 9, Data: []byte("x")},
	} {
		if checkPiece(FetchParams{Snapshot: 1, Offset: 1}, got) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// The interval of these instances is an hour, so all messages here are pushed.
// An instance that cannot reach the log takes the state over from a peer; one
// that reads the log waits for the log.
func TestManifestWonIsPushed(t *testing.T) {
	f := newFleet(t, 3, nil)
	f[0].runRound() // chooses the peers
	disconnected, reader := f[1].store, f[2].store
	disconnected.set(func(s *fakeStore) { s.status.LogReachable, s.onRestore = false, make(chan struct{}, 1) })
	f[0].store.set(func(s *fakeStore) {
		s.digest, s.snapshot = fold.Digest{NextOffset: 9, Generation: 3}, []byte("good")
	})
	f[0].store.watch(fold.Change{Verdict: fold.VerdictLost})
	f[0].store.watch(fold.Change{Verdict: fold.VerdictWon})
	<-disconnected.onRestore
	f[0].Push(context.Background()) // returns once both have answered
	reader.set(func(s *fakeStore) {
		if s.restored != nil || len(f[2].roundRequested) != 0 {
			t.Error("a push affected an instance that reads the log")
		}
	})
}

// A peer that keeps announcing new manifests may cause at most one round a
// second.
func TestPushesCauseFewRounds(t *testing.T) {
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

func TestVerdictReachesEveryInstanceOnce(t *testing.T) {
	f := newFleet(t, 8, nil)
	for _, i := range f {
		i.runRound()
	}
	want := decision.VersionVerdict{Version: "résumé@7", Bad: true, Until: testTime.Add(time.Minute)}
	f[0].ShareVerdict(want)
	for _, i := range f[1:] {
		got, ok := (<-i.events).(decision.VersionVerdict)
		if !ok || got.Version != want.Version || !got.Bad || !got.Until.Equal(want.Until) {
			t.Errorf("%s: got %+v", i.self.ID, got)
		}
	}
	for _, i := range f {
		i.runRound()
		if len(i.events) != 0 {
			t.Errorf("%s got the verdict again, or its own", i.self.ID)
		}
	}
}

func TestBoardsThatDifferAreSwappedInARound(t *testing.T) {
	f := newFleet(t, 2, nil)
	// The instances have no peers yet, so nothing is pushed.
	f[0].ShareLeaving("moteur-3")
	f[0].ShareLeaving("moteur-3")
	f[1].ShareQuarantine(decision.Quarantine{Fingerprint: 77, Until: testTime.Add(time.Minute)})
	f[0].runRound()
	if got := <-f[1].events; got != (decision.ServerLeaving{Server: "moteur-3"}) {
		t.Errorf("got %+v", got)
	}
	if got, ok := (<-f[0].events).(decision.RequestQuarantined); !ok || got.Fingerprint != 77 {
		t.Errorf("got %+v", got)
	}
	if f[0].healthItems.hash(testTime) != f[1].healthItems.hash(testTime) {
		t.Error("health items still differ")
	}
}

func TestBoardTakesTheLatestWordAndNothingHostile(t *testing.T) {
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
		t.Errorf("got %+v", got)
	}
	before := set.hash(testTime)
	for name, bad := range map[string]HealthItem{
		"from the future": item(time.Hour, time.Minute, true),
		"for ever":        item(0, maxItemLifetime+time.Second, true),
		"unknown kind":    {Kind: "root", ID: "x", Timestamp: 1, Until: 2, Origin: "i"},
		"no id":           {Kind: HealthLeaving, Timestamp: 1, Until: 2, Origin: "i"},
		"no origin":       {Kind: HealthLeaving, ID: "x", Timestamp: 1, Until: 2},
		"no fingerprint":  {Kind: HealthQuarantine, ID: "x", Timestamp: 1, Until: 2, Origin: "i"},
	} {
		good := item(0, time.Minute, true)
		if _, err := set.merge([]HealthItem{good, bad}, testTime); err == nil || set.hash(testTime) != before {
			t.Errorf("%s: got %v, or some items were taken", name, err)
		}
	}
	if len(set.all(testTime.Add(2*time.Minute))) != 0 || set.hash(testTime) != 0 {
		t.Error("items are kept after they have expired")
	}
}

func TestFullBoardsConverge(t *testing.T) {
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
		t.Errorf("%d items; equal hashes: %v", len(x.entries), x.hash(testTime) == y.hash(testTime))
	}
}

func TestBillIsHeldInTwoFailureDomainsAndFlushedByBoth(t *testing.T) {
	f := newFleet(t, 8, nil)
	f[0].runRound() // learns who answers
	var all []record.Record
	for n := range byte(20) {
		all = append(all, testBill(n))
		if err := f[0].Hold(context.Background(), testBill(n)); err != nil {
			t.Fatal(err)
		}
	}
	if got := f[0].HeldBills(); got != 20 {
		t.Errorf("%d held, want 20", got)
	}
	copies := 0
	for _, i := range f[1:] {
		copies += i.HeldBills()
		if i.self.Domain == f[0].self.Domain && i.HeldBills() > 0 {
			t.Errorf("%s in the same failure domain holds a copy", i.self.ID)
		}
	}
	if copies != 20 {
		t.Errorf("%d copies, want 20", copies)
	}
	f[0].store.set(func(s *fakeStore) { s.outcome = node.OutcomeUnknown })
	f[0].runRound()
	if f[0].HeldBills() != 20 {
		t.Error("bills with an unknown outcome were dropped")
	}
	total := 0
	for _, i := range f {
		i.store.set(func(s *fakeStore) { s.outcome = node.OutcomeLost })
		i.runRound()
		total += i.HeldBills()
	}
	if total != 0 {
		t.Errorf("%d bills left after the flush", total)
	}
	// The first flush stopped at an unknown outcome. The second put all bills,
	// the first one again under the same nonce.
	puts := f[0].store.puts
	if len(puts) != 21 || !sameBills(puts[1:], all) || !sameBills(puts[:1], []record.Record{secondPut(puts)}) {
		t.Errorf("%d puts; a retry did not put the same record", len(puts))
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

func TestHoldFailsWithoutASecondCopy(t *testing.T) {
	f := newFleet(t, 2, nil)
	for name, list := range map[string][]wire.ListedInstance{
		"no peers":       {f[0].self},
		"peer not there": {f[0].self, {ID: "dead", Peer: "127.0.0.1:1", Domain: "gasabo"}},
	} {
		f[0].Instances = func() []wire.ListedInstance { return list }
		if err := f[0].Hold(context.Background(), testBill(1)); err == nil || f[0].HeldBills() != 0 {
			t.Errorf("%s: got %v with %d held", name, err, f[0].HeldBills())
		}
	}
	f[0].Instances = func() []wire.ListedInstance { return []wire.ListedInstance{f[0].self, f[1].self} }
	empty := f[1].fillBills(t)
	if err := f[0].Hold(context.Background(), testBill(1)); err == nil || f[0].HeldBills() != 0 {
		t.Errorf("full peer: got %v with %d held", err, f[0].HeldBills())
	}
	empty()
	if f[0].HeldBillsFull(0) {
		t.Error("full with no bill held")
	}
	if !f[0].HeldBillsFull(maxHeldBills) {
		t.Error("not full, with space for fewer bills than there are open requests")
	}
	f[0].fillBills(t)
	if !f[0].HeldBillsFull(0) {
		t.Error("not full with all space reserved")
	}
	if err := f[0].Hold(context.Background(), testBill(1)); err == nil || f[1].HeldBills() != 0 {
		t.Errorf("full here: got %v with %d copies", err, f[1].HeldBills())
	}
}

// The caller's second try reaches the instance that keeps the copy of the first
// try's bill. If its failed Hold dropped that copy, the request would stay
// unbilled when the first instance dies.
func TestFailedHoldKeepsThePeersCopy(t *testing.T) {
	f := newFleet(t, 2, nil)
	if err := f[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	f[1].Instances = func() []wire.ListedInstance { return nil }
	if err := f[1].Hold(context.Background(), testBill(1)); err == nil || f[1].HeldBills() != 1 {
		t.Errorf("got %v with %d held, want an error and the copy kept", err, f[1].HeldBills())
	}
}

func TestDrainLeavesNoBillBehind(t *testing.T) {
	for name, reachable := range map[string]bool{"into the log": true, "to a peer": false} {
		f := newFleet(t, 2, nil)
		if err := f[0].heldBills.AcceptCopy(testBill(1)); err != nil {
			t.Fatal(err)
		}
		f[0].store.set(func(s *fakeStore) { s.status.LogReachable = reachable })
		if left := f[0].Drain(context.Background()); left != 0 {
			t.Errorf("%s: %d left", name, left)
		}
		if got := len(f[0].store.puts) + f[1].HeldBills(); got != 1 {
			t.Errorf("%s: %d copies went out, want 1", name, got)
		}
	}
}
