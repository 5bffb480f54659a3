package passthrough

import (
	"context"
	"errors"
	"fmt"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/grant"
)

// grantRefusedError means that the holder of a rate-limited server has no turn in time; after is when it may have one, 0
// if no holder has answered.
type grantRefusedError struct{ after time.Duration }

// Error implements error.
func (e grantRefusedError) Error() string {
	if e.after == 0 {
		return "no holder of the backend server's rate has answered"
	}
	return fmt.Sprintf("the rate of the backend server is used up for another %v", e.after)
}

// awaitGrant asks the server's holders for a grant, if there are any to ask, and waits for its turn. It returns a
// grantRefusedError if there is no turn in time, errDeclined if the server gets no requests, or ctx's error.
func (a *attempt) awaitGrant(ctx context.Context) error {
	if len(a.holders) == 0 && a.grantWait == 0 {
		return nil
	}
	if len(a.holders) > 0 {
		got, err := a.exchange.handler.grants.Ask(ctx, a.holders, a.grantRequest)
		switch {
		case errors.Is(err, grant.ErrDeclined):
			return errDeclined
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return grantRefusedError{}
		case !got.Given:
			return grantRefusedError{after: max(got.Wait, time.Microsecond)}
		}
		a.grantWait = got.Wait
	}
	sleep(ctx, a.grantWait, nil)
	a.startedAt = a.exchange.handler.clock.Now()
	return ctx.Err()
}

// grantDecider decides about grants by decision/passthrough.
type grantDecider struct{ driver *Driver }

// Grant implements grant.Decider.
func (d grantDecider) Grant(in passthrough.GrantRequest) (passthrough.Grant, bool) {
	return d.driver.grant(in)
}

// SeniorHolders implements grant.Decider.
func (d grantDecider) SeniorHolders(server string) []string { return d.driver.seniorHolders(server) }
