package passthrough

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// readStatus returns the status of the next response.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal("no response: ", err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestRefusalWithLongBodyReachesCallerThatCloses guards against a connection that is reset before its caller has read the
// refusal, as the rest of the body is unread.
func TestRefusalWithLongBodyReachesCallerThatCloses(t *testing.T) {
	const length = 200 << 10
	for name, tt := range map[string]struct {
		host, encoding, body string
		status               int
	}{
		"too large":   {"a.example", fmt.Sprint("Content-Length: ", length), strings.Repeat("x", length), http.StatusRequestEntityTooLarge},
		"unsized":     {"a.example", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("x", length)), http.StatusRequestEntityTooLarge},
		"no route":    {"b.example", fmt.Sprint("Content-Length: ", length), strings.Repeat("x", length), http.StatusServiceUnavailable},
		"half a body": {"b.example", fmt.Sprint("Content-Length: ", length), strings.Repeat("x", length/2), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, _ := newServedHandler(t, signedHeaders{}, nil)
			c := dialHandler(t, serveCallers(t, h))
			if _, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s\r\n\r\n", tt.host, tt.encoding); err != nil {
				t.Fatal(err)
			}
			for half := range slices.Chunk([]byte(tt.body), (len(tt.body)+1)/2) { // the request is refused before the body arrives
				time.Sleep(20 * time.Millisecond)
				if _, err := c.Write(half); err != nil {
					t.Fatal(err)
				}
			}
			if got := readStatus(t, c); got != tt.status {
				t.Errorf("status %d, want %d", got, tt.status)
			}
		})
	}
}

// TestRefusalAsksForNoBody guards against a refused caller that is told to send the body with which it waits.
func TestRefusalAsksForNoBody(t *testing.T) {
	h, _, _ := newServedHandler(t, signedHeaders{}, nil)
	c := dialHandler(t, serveCallers(t, h))
	if _, err := fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: b.example\r\nExpect: 100-continue\r\nContent-Length: 900\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := readStatus(t, c); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", got, http.StatusServiceUnavailable)
	}
}
