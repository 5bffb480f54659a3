package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	badPart = "bad0bad0"
	// Requests with the part that crashes engines come every badEvery for badFor; sound ones every soundEvery.
	badEvery   = time.Second
	badFor     = 40 * time.Second
	soundEvery = 100 * time.Millisecond
	// An engine sends an event every eventEvery, events in all.
	eventEvery = 25 * time.Millisecond
	events     = 12
	// lateBadRequests is how many requests with the part may reach engines later than stableBound after the fifth crash.
	lateBadRequests = 3
	fifthCrash      = 5
)

// eventsBeforeCrash is how many events an engine has written on the bad part when it crashes.
const eventsBeforeCrash = 1

// engine is a sound model engine, which the bad part crashes when it has written eventsBeforeCrash events.
type engine struct {
	bed    *bed
	id     string
	seen   *crashesSeen
	server *crashingServer
}

// crashesSeen are the times of crashes, and of the arrivals of requests with the bad part.
type crashesSeen struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals map[string]time.Time
}

// arrived records a request with the bad part; one that goes on at another engine is the same request.
func (c *crashesSeen) arrived(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[id] = time.Now()
}

func (c *crashesSeen) crashed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	return len(c.crashes)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, attempt := w.Header(), r.Header.Get("Attempt-Id")
	if r.Header.Get("Expected-Instance") != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	bad := strings.Contains(r.Header.Get("Prefix-Hash"), badPart+":")
	if bad {
		e.seen.arrived(attempt)
		e.bed.rec.printf("engine %s gets %s with the bad part, after event %q", e.id, attempt, r.Header.Get("Last-Event-Id"))
	}
	h.Set("Attempt-Id", attempt)
	h.Set("Response-Signature", "signed."+e.id)
	h.Set("Instance-Load", "1,0,48")
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n < events; n++ {
		if bad && e.bed.trouble && n == first+eventsBeforeCrash {
			time.Sleep(crashDelay)
			number := e.seen.crashed()
			e.bed.rec.printf("engine %s crashes on %s, at event %d: crash %d", e.id, attempt, n, number)
			e.server.crash()
			return
		}
		time.Sleep(eventEvery)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		if out.Flush() != nil {
			return
		}
	}
}

// crashingPart sends requests of which no two are alike, with a part that crashes each engine that begins to write an
// answer on it, beside sound requests of the same caller.
func crashingPart(b *bed) (bool, error) {
	seen := &crashesSeen{arrivals: map[string]time.Time{}}
	for n := range 12 {
		e := &engine{bed: b, id: fmt.Sprintf("i-%d", n+1), seen: seen}
		if err := b.startCrashingServer(e.id, "umwanditsi", func(s *crashingServer) http.Handler { e.server = s; return e }); err != nil {
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
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	served, total := 0, 0
	var mu sync.Mutex
	send := func(id, parts string, sound bool) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out := i.send(context.Background(), request{id: id, method: "POST", path: "/summary/2f", key: keptKey, body: id, deadline: 10 * time.Second,
				header: map[string]string{"Prefix-Hash": parts, "Token-Usage": "400,40", "Model-Id": "daka510000"}})
			whole := strings.Count(out.body, "data: ")
			mu.Lock()
			defer mu.Unlock()
			if sound {
				total++
				if out.err == nil && out.status == http.StatusOK && whole == events {
					served++
				}
				return
			}
			b.rec.printf("client gets %d with %d events for %s, error %v", out.status, whole, id, out.err)
		}()
	}
	began := time.Now()
	for n, bad := 0, 0; time.Since(began) < badFor; n++ {
		send(fmt.Sprintf("%016x", n), fmt.Sprintf("f0f0:120,aa%02d:80,%x:200", n%5, n), true)
		if time.Since(began) >= time.Duration(bad)*badEvery {
			send(fmt.Sprintf("c%015x", bad), fmt.Sprintf("f0f0:120,%s:80,%x:200", badPart, 0xc0000+bad), false)
			bad++
		}
		time.Sleep(soundEvery)
	}
	wg.Wait()
	b.rec.printf("%d of %d sound requests were served", served, total)
	return seen.held(b), nil
}

// held reports whether no more than lateBadRequests reached engines later than stableBound after the fifth crash.
func (c *crashesSeen) held(b *bed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= fifthCrash {
		for _, at := range c.arrivals {
			if at.Sub(c.crashes[fifthCrash-1]) > stableBound {
				late++
			}
		}
	}
	b.rec.printf("%d crashes; %d requests with the part reached engines, %d of them later than %v after the fifth crash", len(c.crashes), len(c.arrivals), late, stableBound)
	return late <= lateBadRequests
}
