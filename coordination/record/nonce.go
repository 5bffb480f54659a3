package record

import "github.com/google/uuid"

// NewNonce returns a random nonce (a UUIDv4). A proposal takes a new one; a
// retry of it keeps the old.
func NewNonce() Nonce {
	return Nonce(uuid.New())
}
