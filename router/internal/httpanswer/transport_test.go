package httpanswer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer starts a server that calls answer with each connection once it has read the head of a request.
func startServer(t *testing.T, answer func(c *net.TCPConn, req *http.Request)) (url string) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer(c, req)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a request with a body of the size and returns the answer's body.
func post(t *testing.T, client *http.Client, url string, size int) (string, error) {
	t.Helper()
	resp, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestPartOfAnAnswerWithoutALengthIsNotComplete guards against an answer that is cut off by a reset which only the
// goroutine that writes the request gets.
func TestPartOfAnAnswerWithoutALengthIsNotComplete(t *testing.T) {
	url := startServer(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	client := NewClient(5 * time.Second)
	for range 20 {
		if got, err := post(t, client, url, 8<<20); err == nil {
			t.Fatalf("got %q as a whole answer, want an error", got)
		}
	}
}

// TestAnswerWithoutALengthIsWhole guards against answers that end with their connection and are taken for broken.
func TestAnswerWithoutALengthIsWhole(t *testing.T) {
	url := startServer(t, func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.Close()
	})
	client := NewClient(5 * time.Second)
	for _, size := range []int{0, 1, 1 << 20, 8 << 20} {
		if got, err := post(t, client, url, size); got != "whole" || err != nil {
			t.Errorf("%d bytes: got %q, %v, want the whole answer", size, got, err)
		}
	}
}

// TestEndCheckerKeepsItsError guards against a reader that asks again and gets an orderly end.
func TestEndCheckerKeepsItsError(t *testing.T) {
	resp := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("half"))}
	CheckEnd(resp, func() error { return net.ErrClosed })
	if _, err := io.ReadAll(resp.Body); !errors.Is(err, ErrRequestUnwritten) {
		t.Fatalf("error %v, want %v", err, ErrRequestUnwritten)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); !errors.Is(err, ErrRequestUnwritten) {
		t.Errorf("asked again: %v, want %v", err, ErrRequestUnwritten)
	}
}
