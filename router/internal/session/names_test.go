package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// fakeStore is a log that settles every Put at once: the first one wins.
type fakeStore struct {
	node.Store
	registers map[record.Key]fold.Register
	// outcome replaces the outcome of Put if it is set.
	outcome  node.Outcome
	released []record.Nonce
	puts     int
}

func (f *fakeStore) Lookup(k record.Key) (fold.Register, bool) {
	r, ok := f.registers[k]
	return r, ok
}

func (f *fakeStore) Put(_ context.Context, r record.Record) node.Result {
	f.puts++
	if f.outcome != 0 {
		return node.Result{Outcome: f.outcome}
	}
	if won, ok := f.registers[r.Key]; ok {
		return node.Result{Outcome: node.OutcomeLost, Register: won}
	}
	f.registers[r.Key] = fold.Register{Key: r.Key, Nonce: r.Nonce, Value: r.Value}
	return node.Result{Outcome: node.OutcomeWon, Register: f.registers[r.Key]}
}

func (f *fakeStore) Release(_ record.Key, n record.Nonce) { f.released = append(f.released, n) }

// racingStore hides the winner from Lookup, as at an instance that has not
// folded it yet.
type racingStore struct{ *fakeStore }

func (racingStore) Lookup(record.Key) (fold.Register, bool) { return fold.Register{}, false }

// TestFirstPinStays pins a named session again with other versions, also at an
// instance that has not folded the first pins yet. The session must keep the first
// ones; another team's session of the same name must not get them.
func TestFirstPinStays(t *testing.T) {
	store := &fakeStore{registers: map[record.Key]fold.Register{}}
	ctx := context.Background()
	first, err := NewNamedSessions(store, time.Hour).Pin(ctx, "patrons", "tapis:12", map[string]string{"laine": "laine@2"})
	if err != nil || first.Pins["laine"] != "laine@2" {
		t.Fatalf("got %+v, error %v, want a pin to laine@2", first, err)
	}
	later := map[string]string{"laine": "laine@3"}
	for name, s := range map[string]node.Store{"folded": store, "racing": racingStore{store}} {
		got, err := NewNamedSessions(s, time.Hour).Pin(ctx, "patrons", "tapis:12", later)
		if err != nil || got.Pins["laine"] != "laine@2" || got.RolloutPosition != first.RolloutPosition {
			t.Errorf("%s: got %+v, error %v, want the first pin to laine@2 and its position", name, got, err)
		}
	}
	other, err := NewNamedSessions(store, time.Hour).Pin(ctx, "ventes", "tapis:12", later)
	if err != nil || other.Pins["laine"] != "laine@3" {
		t.Errorf("other team's session of that name: got %+v, error %v, want its own pin to laine@3", other, err)
	}
}

// TestUndecidedPinIsReleased checks that pins whose outcome is unknown are released,
// so that they cannot win after the caller was told that the session is undecided.
// Void pins need no release.
func TestUndecidedPinIsReleased(t *testing.T) {
	for outcome, releases := range map[node.Outcome]int{node.OutcomeUnknown: 1, node.OutcomeVoid: 0} {
		store := &fakeStore{outcome: outcome}
		_, err := NewNamedSessions(store, time.Hour).Pin(context.Background(), "t", "s", nil)
		if !errors.Is(err, &Error{Reason: ReasonUndecided}) || len(store.released) != releases {
			t.Errorf("outcome %d: got error %v and %d releases, want ReasonUndecided and a release only if unknown", outcome, err, len(store.released))
		}
	}
}

// TestPinRejectsBadNamesAndRegisters checks that nothing is written for a name that
// cannot be part of a key, and that a register which does not hold this session is
// not taken for it.
func TestPinRejectsBadNamesAndRegisters(t *testing.T) {
	store := &fakeStore{registers: map[record.Key]fold.Register{
		RegisterKey("t", "odd"):   {Value: []byte(`{"x":1}`)},
		RegisterKey("t", "alien"): {Value: []byte(`{"team":"u","sid":"alien","pins":{},"share":0}`)},
	}}
	for name, want := range map[string]Reason{
		"": ReasonBadName, "a/b": ReasonBadName, "a b": ReasonBadName, "é": ReasonBadName,
		"odd": ReasonBadRegister, "alien": ReasonBadRegister,
	} {
		_, err := NewNamedSessions(store, time.Hour).Pin(context.Background(), "t", name, nil)
		if !errors.Is(err, &Error{Reason: want}) {
			t.Errorf("%q: got %v, want %s", name, err, want)
		}
	}
	if store.puts != 0 {
		t.Errorf("%d puts for rejected names, want none", store.puts)
	}
}
