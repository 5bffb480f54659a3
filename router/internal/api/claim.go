package api

import (
	"context"
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/outcome"
)

const (
	// claimTimeout bounds the wait until a claim, or the pins of a named session,
	// are read back from the log. It is as long as many group commits, and short
	// compared with callers' deadlines.
	claimTimeout = 3 * time.Second
	// claimLifetime is at least the sum of twice the claim window and the clock
	// skew, which is 24 h 30 s with the fold's defaults. After that, the timestamp
	// in the key makes a second claim void. The record merely states this lifetime:
	// the fold computes from its own configuration when a claim expires.
	claimLifetime = 24*time.Hour + time.Minute
)

// claim identifies a won claim of a non-idempotent request.
type claim struct {
	key   record.Key
	nonce record.Nonce
}

// acquireClaim writes the claim to the log and waits for its result. It returns
// nil once the claim is won, else the request's final answer. The request has not
// been sent to any server yet, so every answer except already_run means "not
// run". To keep that true, a claim whose outcome is unknown is released before the
// answer: a late Put of a released nonce never wins, and only this process could
// have acted on it.
func (x *exchange) acquireClaim(ctx context.Context) *outcome.Outcome {
	c := &claim{
		key:   record.Key(string(record.ClassClaim) + "/" + x.caller.team.ID + "/" + x.key.id),
		nonce: record.NewNonce(),
	}
	if _, taken := x.s.Store.Lookup(c.key); taken {
		return alreadyRun()
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := x.s.Store.Put(ctx, record.Record{
		Kind:     record.KindPut,
		Key:      c.key,
		Nonce:    c.nonce,
		Lifetime: claimLifetime,
		KeyTime:  x.key.timestamp,
	})
	switch result.Outcome {
	case node.OutcomeWon:
		x.claimed = c
		return nil
	case node.OutcomeLost:
		return alreadyRun()
	case node.OutcomeVoid:
		if x.keyOutsideWindow() {
			return claimRefusal("key_expired", "the Idempotency-Key's time is outside the claim window; use a new one")
		}
		return claimRefusal("claim_failed", "the log did not take the claim")
	default:
		x.s.Store.Release(c.key, c.nonce)
		return claimRefusal("claim_failed", "the log did not answer in time")
	}
}

// keyOutsideWindow reports whether the key's timestamp is outside the claim window,
// approximately and by this process's clock. It only chooses the code and message of
// the refusal after a void claim; the fold itself decides by the log's time and its
// own bounds.
func (x *exchange) keyOutsideWindow() bool {
	age := time.Since(x.key.timestamp)
	return age > claimLifetime/2-time.Minute || age < -time.Second
}

// releaseClaim releases the claim after a refusal by package decision, so that the
// caller may send the request again. That is safe since package decision refuses
// only what provably did not run.
func (x *exchange) releaseClaim() {
	if x.claimed == nil {
		return
	}
	x.s.Store.Release(x.claimed.key, x.claimed.nonce)
	x.claimed = nil
}

func alreadyRun() *outcome.Outcome {
	return &outcome.Outcome{
		Kind:    outcome.AlreadyRun,
		Code:    "already_run",
		Message: "a request with this Idempotency-Key was taken before; it is not run again",
	}
}

func claimRefusal(code, message string) *outcome.Outcome {
	return &outcome.Outcome{Kind: outcome.Refused, Code: code, Message: message, RetryAfter: retryDelay}
}
