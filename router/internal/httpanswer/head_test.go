package httpanswer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

const testMaxHead = 4 << 10

// malformed are answers whose heads net/http tolerates or passes on, by what is wrong with them.
var malformed = map[string]string{
	"status 000":                        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab",
	"status 000 before another head":    "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"status 99":                         "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nab",
	"status 101 that was not asked for": "HTTP/1.1 101 Switching\r\n\r\nab",
	"status 600":                        "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nab",
	"signed status":                     "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nab",
	"two blanks before the status":      "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nab",
	"version 2.7":                       "HTTP/2.7 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"control byte in the reason":        "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nab",
	"blank in a name":                   "HTTP/1.1 200 OK\r\nFo o: 1\r\nContent-Length: 2\r\n\r\nab",
	"blank after a name":                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nabcd",
	"blank after the encoding's name":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"blank before the first field":      "HTTP/1.1 200 OK\r\n Foo: 1\r\nContent-Length: 2\r\n\r\nab",
	"folded line":                       "HTTP/1.1 200 OK\r\nFoo: 1\r\n Content-Length: 2\r\n\r\nab",
	"tab in a name":                     "HTTP/1.1 200 OK\r\nFo\to: 1\r\nContent-Length: 2\r\n\r\nab",
	"control byte in a name":            "HTTP/1.1 200 OK\r\nFo\x01o: 1\r\nContent-Length: 2\r\n\r\nab",
	"byte above 0x7f in a name":         "HTTP/1.1 200 OK\r\nFo\xe4o: 1\r\nContent-Length: 2\r\n\r\nab",
	"control byte in a value":           "HTTP/1.1 200 OK\r\nFoo: 1\x002\r\nContent-Length: 2\r\n\r\nab",
	"bare carriage return":              "HTTP/1.1 200 OK\r\nFoo: 1\r2\r\nContent-Length: 2\r\n\r\nab",
	"empty name":                        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nab",
	"no colon":                          "HTTP/1.1 200 OK\r\nFoo\r\nContent-Length: 2\r\n\r\nab",
	"length beside chunks":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"bad name in an informational head": "HTTP/1.1 102 Processing\r\nFo o: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"no head":                           "some bytes\r\n\r\n",
}

// wellFormed are answers with the body ab.
var wellFormed = map[string]string{
	"length":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A!#$%&'*+-.^_`|~9: a\tb \xe4\r\nEmpty:\r\n\r\nab",
	"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"end of connection":   "HTTP/1.1 200 OK\r\n\r\nab",
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\nab",
	"no reason":           "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab",
	"lines without CR":    "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
	"informational heads": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 599 Last\r\nContent-Length: 2\r\n\r\nab",
}

// readAnswer reads the final head and the body of an answer by a HeadReader.
func readAnswer(from io.Reader) (*http.Response, string, error) {
	heads := NewHeadReader(from, testMaxHead)
	r := bufio.NewReader(heads)
	for {
		resp, err := http.ReadResponse(r, nil)
		if refused := heads.Err(); refused != nil {
			return nil, "", refused
		}
		if err != nil {
			return nil, "", err
		}
		if resp.StatusCode >= http.StatusOK {
			text, err := io.ReadAll(resp.Body)
			return resp, string(text), err
		}
	}
}

// TestMalformedHeadsAreRefused guards against bytes that are no answer and are passed on as one, or with a body that is not
// the server's.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for name, text := range malformed {
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			if resp, body, err := readAnswer(from); !errors.Is(err, ErrMalformedHead) {
				t.Errorf("%s: got %+v with %q, error %v, want %v", name, resp, body, err, ErrMalformedHead)
			}
		}
	}
	for name, text := range wellFormed {
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			if _, body, err := readAnswer(from); body != "ab" || err != nil {
				t.Errorf("%s: got %q, error %v, want ab", name, body, err)
			}
		}
	}
}

// TestClientsRefuseMalformedHeads guards against clients of net/http's transport that do without the check, or check one
// answer of a connection only.
func TestClientsRefuseMalformedHeads(t *testing.T) {
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answers := make(chan string, 3)
			url := startServer(t, func(c *net.TCPConn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, <-answers)
			})
			client := NewClient(5 * time.Second)
			for range 2 {
				answers <- wellFormed["length"]
				if got, err := post(t, client, url, 10); got != "ab" || err != nil {
					t.Fatalf("a sound answer: got %q, %v", got, err)
				}
			}
			answers <- text
			if got, err := post(t, client, url, 10); err == nil {
				t.Errorf("got %q as an answer, want an error", got)
			}
		})
	}
}

// TestHeadWithoutEndIsGivenUp guards against a head that takes the memory of the process.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"line":                "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*testMaxHead),
		"fields":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", testMaxHead),
		"informational heads": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", testMaxHead),
	} {
		if _, _, err := readAnswer(strings.NewReader(text)); !errors.Is(err, ErrHeadTooLong) {
			t.Errorf("%s: error %v, want %v", name, err, ErrHeadTooLong)
		}
	}
}

// FuzzHeads checks that what the reader lets pass is an answer that net/http reads in the only way: with names that are
// tokens, and a status that a final answer may have.
func FuzzHeads(f *testing.F) {
	for _, texts := range []map[string]string{malformed, wellFormed} {
		for _, text := range texts {
			f.Add([]byte(text), 1)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, step int) {
		resp, body, err := readAnswer(&stepReader{text, max(step%len("HTTP/1.1 200 OK"), 1)})
		whole, wholeBody, wholeErr := readAnswer(strings.NewReader(string(text)))
		if (err == nil) != (wholeErr == nil) || err == nil && (body != wholeBody || resp.StatusCode != whole.StatusCode) {
			t.Fatalf("in steps: %q, %v; at once: %q, %v", body, err, wholeBody, wholeErr)
		}
		if err != nil {
			return
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\r\n:") || name == "" {
				t.Errorf("field %q", name)
			}
		}
	})
}

// stepReader reads a text in steps.
type stepReader struct {
	text []byte
	step int
}

// Read implements io.Reader.
func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.step)], r.text)
	r.text = r.text[n:]
	return n, nil
}
