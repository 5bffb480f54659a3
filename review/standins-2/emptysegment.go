package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// targets are what the clients ask for. The second one is what a client makes of a base address that ends with a slash and
// a path that begins with one.
var targets = []string{"/reserve/2f", "//reserve/2f", "/items/2f", "//items/2f?page=2"}

// emptySegment adds a route for the rest of a host's paths. Requests then come whose path begins with an empty segment; they
// must reach the servers as they were sent.
func emptySegment(b *bed) (bool, error) {
	var mu sync.Mutex
	ran := map[string]string{}
	for _, id := range []string{"i-1", "i-2"} {
		_, err := b.startServer(id, "ububiko", "v1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Attempt-Id")
			b.rec.printf("server %s runs %s: %s %s, host %s, path %s", id, attempt, r.Method, r.RequestURI, r.Host, r.URL.Path)
			mu.Lock()
			ran[attempt] = r.RequestURI
			mu.Unlock()
			w.Header().Set("Attempt-Id", attempt)
			w.Header().Set("Response-Signature", "signed."+id)
			_, _ = fmt.Fprintf(w, "answer of %s to %s", id, attempt)
		}))
		if err != nil {
			return false, err
		}
	}
	if err := b.store.PutJSON("keyed.op", "config", config(7, keptKey)); err != nil {
		return false, err
	}
	i, err := b.startInstance()
	if err != nil {
		return false, err
	}
	if b.trouble {
		changed := config(9, keptKey)
		rest := map[string]any{"name": "rest", "hostname": host, "pathPrefix": "/", "routeType": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "ububiko", "maxAttempts": 2, "public": false}
		changed["routes"] = append(changed["routes"].([]map[string]any), rest)
		if err := b.store.PutJSON("keyed.op", "config", changed); err != nil {
			return false, err
		}
		b.rec.printf("the store acknowledges version 9, which adds a route for all other paths of the host")
	}
	time.Sleep(applyBound + time.Second)
	sent := map[string]string{}
	for n := range 5 * len(targets) {
		id, target := fmt.Sprintf("%016x", n), targets[n%len(targets)]
		sent[id] = target
		b.rec.printf("client sends %s: GET %s", id, target)
		status, err := i.sendTarget(id, target)
		b.rec.printf("client gets %d for %s, error %v", status, id, err)
	}
	mu.Lock()
	defer mu.Unlock()
	changed := 0
	for id, target := range ran {
		if target != sent[id] {
			changed++
			b.rec.printf("broken: %s was sent as %s, and ran as %s", id, sent[id], target)
		}
	}
	b.rec.printf("%d runs, %d of them of another target than was sent", len(ran), changed)
	return changed == 0, nil
}

// sendTarget sends a request with the target as it is, and returns the status of the answer.
func (i *instance) sendTarget(id, target string) (int, error) {
	const timeout = 3 * time.Second
	c, err := net.DialTimeout("tcp", i.frontend, timeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }() // the answer has been read
	_ = c.SetDeadline(time.Now().Add(timeout))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", target, host, id, keptKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
