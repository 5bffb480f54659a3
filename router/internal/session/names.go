package session

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// NamedSessions pins sessions that callers identify only by name. The pins are
// in the register "session/<team>/<name>": the first writer in the log's order
// sets them, whichever instance it is. Safe for concurrent use.
type NamedSessions struct {
	store node.Store
	ttl   time.Duration
}

// NewNamedSessions returns NamedSessions whose pins expire ttl after the first
// use.
func NewNamedSessions(store node.Store, ttl time.Duration) *NamedSessions {
	return &NamedSessions{store: store, ttl: ttl}
}

// RegisterKey is the key of a named session's register.
func RegisterKey(team, name string) record.Key {
	return record.Key(string(record.ClassSession) + "/" + team + "/" + name)
}

// Lookup returns the session whose pins this instance has already folded; false
// if there are none.
func (n *NamedSessions) Lookup(team, name string) (Session, bool, error) {
	if !ValidName(name) {
		return Session{}, false, newError(ReasonBadName, "")
	}
	register, ok := n.store.Lookup(RegisterKey(team, name))
	if !ok {
		return Session{}, false, nil
	}
	s, err := decodeRegister(register.Value, team, name)
	return s, err == nil, err
}

// Pin returns the session's pins: those in the log, or the given pins if none
// are set yet. It waits for the log. After ReasonUndecided the given pins are
// void, and the request, which has not begun, may be sent again.
func (n *NamedSessions) Pin(ctx context.Context, team, name string, pins map[string]string) (Session, error) {
	s, ok, err := n.Lookup(team, name)
	if err != nil || ok {
		return s, err
	}
	proposal := Session{Team: team, ID: name, Pins: pins, RolloutPosition: RolloutPosition(team, name)}
	if violation := proposal.violation(); violation != "" {
		return Session{}, newError(ReasonOutOfBounds, violation)
	}
	return n.propose(ctx, proposal)
}

func (n *NamedSessions) propose(ctx context.Context, proposal Session) (Session, error) {
	value, err := json.Marshal(proposal)
	if err != nil {
		return Session{}, trace.Wrap(err)
	}
	put := record.Record{
		Kind:     record.KindPut,
		Key:      RegisterKey(proposal.Team, proposal.ID),
		Nonce:    record.Nonce(uuid.New()),
		Value:    value,
		Lifetime: n.ttl,
	}
	result := n.store.Put(ctx, put)
	switch result.Outcome {
	case node.OutcomeWon:
		return proposal, nil
	case node.OutcomeLost:
		return decodeRegister(result.Register.Value, proposal.Team, proposal.ID)
	case node.OutcomeUnknown:
		// A released proposal can never win later. Otherwise the caller's next
		// try could get pins that were chosen under an older manifest.
		n.store.Release(put.Key, put.Nonce)
	}
	return Session{}, newError(ReasonUndecided, "")
}

// decodeRegister reads and validates a register's value: any writer to the log
// may have written it.
func decodeRegister(value []byte, team, name string) (Session, error) {
	var s Session
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Session{}, newError(ReasonBadRegister, "not JSON of a session")
	}
	if violation := s.violation(); violation != "" {
		return Session{}, newError(ReasonBadRegister, violation)
	}
	if s.Team != team || s.ID != name {
		return Session{}, newError(ReasonBadRegister, "of another session")
	}
	return s, nil
}
