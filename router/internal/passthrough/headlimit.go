package passthrough

import (
	"errors"
	"io"
)

// errHeadTooLong means that the head of a response, with the informational ones before it, exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// headLimit bounds what is read of a connection until the head of the response is complete.
//
// Load: a server in trouble that sends bytes without end. Harm prevented: the head takes the memory of the process.
type headLimit struct {
	io.Reader
	// left is how much may still be read.
	left int
	// complete is true once the head has been read: then there is no bound.
	complete bool
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.complete {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
