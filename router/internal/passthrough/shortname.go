package passthrough

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxNameBytes is the length up to which a name that a caller chooses is kept as it is.
const maxNameBytes = 128

// shortName returns a name that a caller chooses, such as an id or a session, in a form that tables may keep: a long one is
// replaced by its hash, the same at all instances.
//
// Load: callers whose names fill a head, each used once. Harm prevented: tables bounded by their number of rows, and messages
// to other instances, take hundreds of megabytes.
func shortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return "sha256:" + hex.EncodeToString(sum[:])
}
