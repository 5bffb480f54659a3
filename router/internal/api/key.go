package api

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// idempotencyKey is a request's Idempotency-Key.
type idempotencyKey struct {
	id string
	// timestamp is the time in the UUIDv7; the claim window counts from it.
	timestamp time.Time
	// generated is set if the caller sent no key and one was made here.
	generated bool
}

// readIdempotencyKey reads the caller's Idempotency-Key, a UUIDv7. If there is
// none it generates one, unless the call requires the caller's: only the caller
// knows that two requests are the same.
func readIdempotencyKey(r *http.Request, required bool) (idempotencyKey, *outcome.Outcome) {
	text := r.Header.Get(wire.HeaderIdempotencyKey)
	if text == "" && required {
		o := routerRefusal("key_required", "this call is not idempotent: send a UUIDv7 as "+wire.HeaderIdempotencyKey)
		return idempotencyKey{}, &o
	}
	if text == "" {
		return generateKey(), nil
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		o := routerRefusal("key_malformed", wire.HeaderIdempotencyKey+" is not a UUIDv7")
		return idempotencyKey{}, &o
	}
	return idempotencyKey{id: id.String(), timestamp: keyTime(id)}, nil
}

func generateKey() idempotencyKey {
	id := uuid.Must(uuid.NewV7())
	return idempotencyKey{id: id.String(), timestamp: keyTime(id), generated: true}
}

func keyTime(id uuid.UUID) time.Time {
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos)
}
