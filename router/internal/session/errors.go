package session

import "fmt"

// Reason is why a session was not accepted. The text is stable; it is part of
// the message that the caller gets.
type Reason string

// Reasons for which a session is not accepted.
const (
	// ReasonNoKeys: the settings have no session key, so nothing can be signed.
	ReasonNoKeys Reason = "no_session_keys"
	// ReasonOutOfBounds: the session to be issued or pinned violates a bound or
	// rule.
	ReasonOutOfBounds Reason = "session_out_of_bounds"
	// ReasonMalformed: not a token, too long, or signed contents that no
	// instance issues.
	ReasonMalformed Reason = "token_malformed"
	// ReasonUnknownKey: signed by a key that is not, or no longer, in the key
	// ring.
	ReasonUnknownKey Reason = "token_key_unknown"
	// ReasonBadSignature: the signature does not match.
	ReasonBadSignature Reason = "token_signature"
	// ReasonExpired: the token has expired.
	ReasonExpired Reason = "token_expired"
	// ReasonOtherTeam: the session belongs to another team.
	ReasonOtherTeam Reason = "token_of_another_team"
	// ReasonBadName: the caller's session name is not allowed.
	ReasonBadName Reason = "session_name_malformed"
	// ReasonUndecided: the log did not accept the proposed pins, or did not
	// settle in time who set the pins. The proposal is void; the same request
	// may be sent again.
	ReasonUndecided Reason = "session_undecided"
	// ReasonBadRegister: the register holds a value that no instance writes.
	ReasonBadRegister Reason = "session_register_malformed"
)

// Error says why a session was not accepted. Compare it by errors.Is with an
// Error that has the same Reason.
type Error struct {
	Reason Reason
	// Detail is for people; it never contains a token.
	Detail string
}

// Error implements error; it returns the reason and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return "session: " + string(e.Reason)
	}
	return fmt.Sprintf("session: %s: %s", e.Reason, e.Detail)
}

// Is reports whether target is an Error with the same reason.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Reason == e.Reason
}

func newError(reason Reason, detail string) error {
	return &Error{Reason: reason, Detail: detail}
}
