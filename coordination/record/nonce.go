package record

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

// NewNonce returns a random nonce (a UUIDv4). A proposal takes a new one; a
// retry of it keeps the old.
func NewNonce() Nonce {
	return Nonce(uuid.New())
}

// NonceFrom returns the nonce of a proposal that is the same whoever makes it,
// and however often, such as one publication of a manifest. Such a nonce must
// not be released by a process that gives up: the others' retries would be void
// as well.
func DeriveNonce(parts ...string) Nonce {
	h := sha256.New()
	for _, p := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	var n Nonce
	copy(n[:], h.Sum(nil))
	return n
}
