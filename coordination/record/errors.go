package record

import "errors"

// Errors of the codec. Encode and Decode wrap them; test with errors.Is.
var (
	// ErrMalformed means that the bytes are not a batch of the codec version
	// that this package reads.
	ErrMalformed = errors.New("record: malformed batch")
	// ErrTooLarge means that a batch exceeds one of the codec's limits.
	ErrTooLarge = errors.New("record: batch exceeds a limit")
	// ErrInvalid means that a required field of a batch or record is missing or
	// contradicts the record's kind.
	ErrInvalid = errors.New("record: invalid record")
)
