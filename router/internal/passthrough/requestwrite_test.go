package passthrough

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// writeTarget writes a request with the target and returns what a server reads.
func writeTarget(t *testing.T, target string) *http.Request {
	t.Helper()
	var out bytes.Buffer
	w := requestWrite{}
	w.begin()
	req := &http.Request{Method: http.MethodPost, Host: "a.example", Header: http.Header{"X-Y": {"1"}},
		URL: &url.URL{Scheme: "http", Host: "127.0.0.1:1", Path: "/"}, Body: io.NopCloser(strings.NewReader("body")), ContentLength: 4}
	w.run(&out, req, target)
	if w.err != nil || w.written != int64(out.Len()) {
		t.Fatalf("%q: %d bytes of %d, %v", target, w.written, out.Len(), w.err)
	}
	got, err := http.ReadRequest(bufio.NewReader(&out))
	if err != nil {
		t.Fatalf("%q: %v", target, err)
	}
	body, err := io.ReadAll(got.Body)
	if string(body) != "body" || err != nil || got.Header.Get("X-Y") != "1" || got.Host != "a.example" {
		t.Fatalf("%q: host %s, %v, body %q, %v", target, got.Host, got.Header, body, err)
	}
	return got
}

// TestTargetReachesTheServerUnchanged guards against a target that the server gets as another path, query or host.
func TestTargetReachesTheServerUnchanged(t *testing.T) {
	for _, target := range []string{"/", "//fi50/2f", "///", "/a//b/../c", "/a%2Fb;c=%3f?", "/?a=1&a=1??", "/\xe4\xff", "/a?b#c", "/:80@x/", "//a:b@c:80/d?e"} {
		if got := writeTarget(t, target); got.RequestURI != target {
			t.Errorf("the server gets %q, want %q", got.RequestURI, target)
		}
	}
}

// FuzzTarget checks that each target that a caller can send reaches the server unchanged.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "//fi50/2f", "/a?b=%2f;c", "/\xff"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		line := "POST " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
		sent, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line)))
		if err != nil || !strings.HasPrefix(sent.RequestURI, "/") {
			return // not a target that reaches a server
		}
		if got := writeTarget(t, sent.RequestURI); got.RequestURI != sent.RequestURI {
			t.Errorf("the server gets %q, want %q", got.RequestURI, sent.RequestURI)
		}
	})
}
