package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a kind of request.
type kind struct {
	name    string
	path    string
	method  string
	key     string
	headers map[string]string
	body    string
	// deadline is how long the client waits.
	deadline time.Duration
}

// outcome counts how the requests of a kind ended, in a part of the case.
type outcome struct {
	asked, served int
	// byStatus counts the final statuses; 0 stands for a connection that ended without an answer.
	byStatus map[int]int
}

// results are the outcomes by kind, or by kind and part.
type results struct {
	mu sync.Mutex
	of map[string]*outcome
}

func (r *results) add(name string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of == nil {
		r.of = map[string]*outcome{}
	}
	o := r.of[name]
	if o == nil {
		o = &outcome{byStatus: map[int]int{}}
		r.of[name] = o
	}
	o.asked++
	o.byStatus[status]++
	if status == http.StatusOK {
		o.served++
	}
}

// share is the share of the requests of a kind that was served.
func (r *results) share(name string) float64 {
	o := r.of[name]
	if o == nil || o.asked == 0 {
		return 0
	}
	return float64(o.served) / float64(o.asked)
}

// total is the share of all requests that was served.
func (r *results) total() float64 {
	asked, served := 0, 0
	for _, o := range r.of {
		asked, served = asked+o.asked, served+o.served
	}
	return float64(served) / float64(max(asked, 1))
}

// clients send requests.
type clients struct {
	http   *http.Client
	note   func(string, ...any)
	nextID atomic.Int64
}

func (c *setting) newClients() *clients {
	return &clients{note: c.note, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// retries is how often a client tries again, as in the site.
const retries = 1

// ask sends a request, and sends it again after a promise that it has not run, at the time that the answer states. It returns the
// status of the last answer, 0 for none.
func (c *clients) ask(n *node, k kind) int {
	end := time.Now().Add(k.deadline)
	for try := 0; ; try++ {
		status, retryAfter := c.tryOnce(n, k, time.Until(end))
		if status != http.StatusServiceUnavailable || try == retries || retryAfter > time.Until(end)/3 {
			return status
		}
		time.Sleep(retryAfter)
	}
}

// tryOnce sends one request and returns the status of its answer if that is complete, else 0. A 2xx counts only with the
// runner's signature.
func (c *clients) tryOnce(n *node, k kind, left time.Duration) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%016x", c.nextID.Add(1))
	c.note("%s (%s) is sent to %s", id, k.name, n.name)
	defer func() { c.note("%s (%s) is answered %d", id, k.name, status) }()
	req, err := http.NewRequest(k.method, "http://"+n.frontend+k.path, strings.NewReader(k.body))
	if err != nil {
		return 0, 0
	}
	req.Host = "ficu95.example"
	for name, value := range k.headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+k.key)
	client := *c.http
	client.Timeout = left
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	if resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get("Response-Signature") == "" {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if absent
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// send sends requests of a kind at a rate to the instances in turn, for a time, and counts their ends under name. It returns when
// the last one has ended.
func (c *clients) send(nodes []*node, k kind, name string, perSecond float64, d time.Duration, into *results) {
	var all sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]
		all.Go(func() { into.add(name, c.ask(n, k)) })
		<-tick.C
	}
	all.Wait()
}
