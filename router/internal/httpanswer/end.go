package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrRequestUnwritten means that an answer without a length ended with its connection while the request was not written
// whole, so that the answer may have been cut off. It is returned by the reads of its body.
var ErrRequestUnwritten = errors.New("the answer ended with its connection, and the request was not written whole")

// EndsWithConnection reports whether only the end of its connection ends the answer: it has neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// CheckEnd makes the body of an answer that ends with its connection fail at the end, unless written returns nil then.
// written ends the writing of the request, if that goes on, and returns nil if the request was written whole.
//
// Load: a server answers a long upload at once without a length, and resets the connection while the upload is
// written. Harm prevented: the kernel reports a reset once, to the goroutine that writes; the one that reads finds an
// orderly end, and takes a part of the answer for all of it.
func CheckEnd(resp *http.Response, written func() error) {
	if EndsWithConnection(resp) && resp.Body != http.NoBody {
		resp.Body = &endChecker{ReadCloser: resp.Body, written: written}
	}
}

// endChecker is the body of an answer that ends with its connection.
type endChecker struct {
	io.ReadCloser
	written func() error
	ended   bool
	err     error
}

// Read implements io.Reader.
func (c *endChecker) Read(p []byte) (int, error) {
	if c.ended {
		return 0, c.err
	}
	n, err := c.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.ended, c.err = true, io.EOF
	if cause := c.written(); cause != nil {
		c.err = fmt.Errorf("%w: %w", ErrRequestUnwritten, cause)
	}
	return n, c.err
}
