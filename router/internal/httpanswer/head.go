package httpanswer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

var (
	// ErrMalformedHead means that the bytes where the head of an answer is due are none. The request may have run.
	ErrMalformedHead = errors.New("malformed head of an answer")
	// ErrHeadTooLong means that the head of an answer, with the informational ones before it, exceeds its bound.
	ErrHeadTooLong = errors.New("the head of the answer is too long")
)

// HeadReader reads a connection and checks the heads of the answers on it as they pass. It refuses what net/http tolerates:
// any three digits as a status, blanks in the names of fields, folded lines, framing that an HTTP/1.0 answer cannot have, and
// a length beside chunks. Only Expect may be called beside Read.
//
// Load: a server in trouble whose bytes look like an answer by chance. Harm prevented: a line with the length or the
// encoding of the body is skipped, and the caller gets other bytes than the server's; or bytes without end, as long as
// they look like a head, take the memory of the process.
type HeadReader struct {
	from     io.Reader
	maxBytes int
	expected atomic.Bool
	state    headState
	// left is how many bytes the heads of this answer may still have; line is what has come of the current line.
	left int
	line []byte
	head head
	err  error
}

// headState is what the next bytes of a connection are part of.
type headState uint8

const (
	inBody headState = iota
	inStatusLine
	inFields
)

// head is what is known of the head that is read.
type head struct {
	status             int
	http10             bool
	hasLength, chunked bool
}

// NewHeadReader returns a reader that expects the head of an answer. maxBytes bounds it, with the informational heads before
// it.
func NewHeadReader(from io.Reader, maxBytes int) *HeadReader {
	r := &HeadReader{from: from, maxBytes: maxBytes}
	r.Expect()
	return r
}

// Expect says that what is read next is the head of another answer.
func (r *HeadReader) Expect() { r.expected.Store(true) }

// Err returns the error for which the head was refused, nil for none. net/http may return another one, for the part of the
// line that it got before.
func (r *HeadReader) Err() error { return r.err }

// Read implements io.Reader.
func (r *HeadReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(p)
	if r.expected.Swap(false) {
		r.state, r.left, r.line = inStatusLine, r.maxBytes, nil
	}
	if refused := r.check(p[:n]); refused != nil {
		r.err = refused
		return 0, refused
	}
	return n, err
}

// check checks what was read.
func (r *HeadReader) check(read []byte) error {
	for len(read) > 0 && r.state != inBody {
		end := bytes.IndexByte(read, '\n') + 1
		whole := end > 0
		if !whole {
			end = len(read)
		}
		if r.left -= end; r.left < 0 {
			return ErrHeadTooLong
		}
		r.line = append(r.line, read[:end]...)
		read = read[end:]
		if !whole {
			return nil
		}
		line := strings.TrimSuffix(strings.TrimSuffix(string(r.line), "\n"), "\r")
		r.line = r.line[:0]
		if err := r.checkLine(line); err != nil {
			return err
		}
	}
	return nil
}

// checkLine checks a line of a head.
func (r *HeadReader) checkLine(line string) error {
	switch {
	case r.state == inStatusLine:
		r.state = inFields
		return r.head.setStatusLine(line)
	case line != "":
		return r.head.addField(line)
	}
	const firstFinal = 200
	r.state = inBody
	if r.head.status < firstFinal {
		r.state = inStatusLine
		return nil
	}
	r.line = nil
	return r.head.checkFraming()
}

// setStatusLine begins a head with its first line.
func (h *head) setStatusLine(line string) error {
	version, status, ok := parseStatusLine(line)
	if !ok {
		return fmt.Errorf("%w: status line %.40q", ErrMalformedHead, line)
	}
	*h = head{status: status, http10: version == '0'}
	return nil
}

// parseStatusLine returns the digit of HTTP/1.0 or HTTP/1.1, and the status of an answer to a request that asks for no other
// protocol.
func parseStatusLine(line string) (version byte, status int, ok bool) {
	const prefix, versionAt, statusAt, reasonAt = "HTTP/1.", 7, 9, 12
	if len(line) < reasonAt || !strings.HasPrefix(line, prefix) || line[statusAt-1] != ' ' {
		return 0, 0, false
	}
	version = line[versionAt]
	reason := line[reasonAt:]
	if version != '0' && version != '1' || reason != "" && reason[0] != ' ' || !isFieldValue(reason) {
		return 0, 0, false
	}
	n, err := strconv.ParseUint(line[statusAt:reasonAt], 10, 16)
	const first, beyond = 100, 600
	return version, int(n), err == nil && n >= first && n < beyond && n != http.StatusSwitchingProtocols
}

// addField adds a line with a field.
func (h *head) addField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) || !isFieldValue(value) {
		return fmt.Errorf("%w: field %.40q", ErrMalformedHead, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
	h.chunked = h.chunked || strings.EqualFold(name, "Transfer-Encoding")
	return nil
}

// checkFraming checks that the head says how its body ends in one way.
func (h *head) checkFraming() error {
	if h.chunked && (h.hasLength || h.http10) {
		return fmt.Errorf("%w: Transfer-Encoding beside a length, or in an HTTP/1.0 answer", ErrMalformedHead)
	}
	return nil
}

// isToken reports whether the text may be the name of a field.
func isToken(s string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	for i := range len(s) {
		c := s[i]
		if c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || strings.IndexByte(marks, c) >= 0 {
			continue
		}
		return false
	}
	return s != ""
}

// isFieldValue reports whether the text has no control bytes other than tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
