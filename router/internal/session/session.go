// Package session keeps a caller's session on the versions that it began with.
//
// A session is carried by a signed token, so that instances store nothing for
// it. For callers that send only a name, it is held in a first-writer-wins
// register of the platform's log. In both cases the pins are set once and never
// change; they expire with the session.
package session

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Session is the content of a token or a register.
type Session struct {
	// Team owns the session; no other team may use it.
	Team string `json:"team"`
	// ID is unique within the team: generated for a token, or the caller's
	// name.
	ID string `json:"sid"`
	// Pins maps each model to the version ("model@version") that answers for
	// it.
	Pins map[string]string `json:"pins"`
	// RolloutPosition is the session's position in a roll-out, in [0,1).
	RolloutPosition float64 `json:"share"`
}

// Bounds on a session, so that neither a token nor a register gets too large to
// be carried and checked with every request.
const (
	// MaxIDBytes bounds a session's id or name.
	MaxIDBytes = 128
	// MaxPins bounds the pins: four times the models of the largest deployment
	// that is planned for.
	MaxPins = 64
	// maxNameBytes bounds the name of a team, model or version.
	maxNameBytes = 128
)

// RolloutPosition distributes sessions evenly over [0,1). A session has the
// same position at every instance, so that raising a version's share only adds
// sessions to it.
func RolloutPosition(team, id string) float64 {
	const bits = 53 // significant bits of a float64
	sum := xxhash.Sum64String(team + "\x00" + id)
	return float64(sum>>(64-bits)) / (1 << bits)
}

// Pin returns the version that the session has for model; false if it has none.
func (s Session) Pin(model string) (version string, ok bool) {
	version, ok = s.Pins[model]
	return version, ok
}

// violation describes the first bound or rule that s violates; empty if none.
func (s Session) violation() string {
	switch {
	case s.Team == "" || len(s.Team) > maxNameBytes:
		return "team missing or too long"
	case !ValidName(s.ID):
		return "id missing, too long or with characters that are not allowed"
	case len(s.Pins) > MaxPins:
		return "too many pins"
	case !(s.RolloutPosition >= 0 && s.RolloutPosition < 1):
		return "share out of range"
	}
	for model, version := range s.Pins {
		if !isVersionOf(model, version) {
			return "pin of a model to what is no version of it"
		}
	}
	return ""
}

func isVersionOf(model, version string) bool {
	short := len(model) <= maxNameBytes && len(version) <= maxNameBytes
	return short && model != "" && strings.HasPrefix(version, model+"@")
}

// ValidName reports whether a caller's session name can be part of a register's
// key: 1 to MaxIDBytes of letters, digits, ".", "_", ":" and "-".
func ValidName(name string) bool {
	if name == "" || len(name) > MaxIDBytes {
		return false
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.IndexByte("._:-", c) >= 0
	}
}
