package api

import (
	"context"
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/outcome"
)

const (
	// claimTimeout bounds the wait for the own claim to come back from the log:
	// many group commits, and short beside what a caller waits.
	claimTimeout = 3 * time.Second
	// claimLifetime is two claim windows and the skew, past which the key's own
	// time makes a second claim void.
	claimLifetime = 24*time.Hour + time.Minute
)

// claim is a won claim of a non-idempotent request.
type claim struct {
	key   record.Key
	nonce record.Nonce
}

// takeClaim proposes the claim and waits for the log's verdict. It returns nil
// once the claim is won, else the request's final answer. The request has not
// been sent anywhere yet, so every answer but already_run is "not run", and a
// claim whose outcome is unknown is released first: a late Put of a released
// nonce never wins, and only this process could have acted on it.
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

// keyOutsideWindow explains a void claim; it decides nothing.
func (x *exchange) keyOutsideWindow() bool {
	age := time.Since(x.key.timestamp)
	return age > claimLifetime/2-time.Minute || age < -time.Second
}

// releaseClaim lets the caller send the request again after a refusal: the
// decision refuses only what was provably not run.
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
