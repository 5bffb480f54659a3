package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// The new version is ordered to be in place after rolloutTime. The operator orders the old one again orderBackAfter.
	rolloutTime    = 16 * time.Second
	orderBackAfter = 2 * time.Second
	ordersPerS     = 40
	// The bounds of the settings.
	canaryShare     = 0.15
	canaryTolerance = 30
	rollbackBound   = 5 * time.Second
	badAnswers      = 50
	oldVersion      = "v1"
	newVersion      = "v2"
)

// versionRuns are the runs and the bad answers by version.
type versionRuns struct {
	mu     sync.Mutex
	ran    map[string][]time.Time
	bad    []time.Time
	number int
}

// orderedBack rolls out a version that fails every other request. With the disruption, the operator orders the old version
// again while the roll-out is in progress.
func orderedBack(b *bed) (bool, error) {
	seen := &versionRuns{ran: map[string][]time.Time{}}
	start := func(version string, count int) error {
		for n := range count {
			id := fmt.Sprintf("i-%s-%d", version, n+1)
			if _, err := b.startServer(id, "ububiko", version, b.versionedServer(id, version, seen)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start(oldVersion, 3); err != nil {
		return false, err
	}
	if err := b.store.PutJSON("keyed.op", "config", config(7, keptKey)); err != nil {
		return false, err
	}
	i, err := b.startInstance()
	if err != nil {
		return false, err
	}
	stop := b.sendOrders(i)
	time.Sleep(4 * time.Second)
	order := func(target string) error {
		b.rec.printf("the operator orders %s", target)
		return b.store.PutJSON("keyed.op", "rollout/ububiko", map[string]any{"service": "ububiko", "target": target, "durationS": rolloutTime.Seconds()})
	}
	ordered := time.Now()
	if err := order(newVersion); err != nil {
		return false, err
	}
	if err := start(newVersion, 3); err != nil {
		return false, err
	}
	if b.trouble {
		time.Sleep(time.Until(ordered.Add(orderBackAfter)))
		if err := order(oldVersion); err != nil {
			return false, err
		}
	}
	status := b.store.watchStatus(b.rec, "rollout/ububiko")
	time.Sleep(time.Until(ordered.Add(rolloutTime)))
	stop()
	status()
	return seen.held(b, ordered), nil
}

// versionedServer is a server of a version; the new one fails every other request.
func (b *bed) versionedServer(id, version string, seen *versionRuns) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, attempt := w.Header(), r.Header.Get("Attempt-Id")
		if r.Header.Get("Expected-Instance") != id {
			h.Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		seen.mu.Lock()
		seen.ran[version] = append(seen.ran[version], time.Now())
		seen.number++
		fails := version == newVersion && seen.number%2 == 0
		seen.mu.Unlock()
		b.rec.printf("server %s of %s runs %s, fails: %v", id, version, attempt, fails)
		time.Sleep(40 * time.Millisecond)
		h.Set("Attempt-Id", attempt)
		h.Set("Response-Signature", "signed."+id)
		h.Set("Instance-Load", "1,0,6")
		if !fails {
			_, _ = fmt.Fprintf(w, "answer of %s to %s", id, attempt)
			return
		}
		seen.mu.Lock()
		seen.bad = append(seen.bad, time.Now())
		seen.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
	})
}

// sendOrders sends requests that may run once, ordersPerS of them. The function that it returns ends that.
func (b *bed) sendOrders(i *instance) func() {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Second / ordersPerS)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := request{id: fmt.Sprintf("%016x", n), method: "POST", path: "/settle/2f", key: keptKey, body: fmt.Sprint(n), deadline: 1500 * time.Millisecond}
				out := i.send(context.Background(), r)
				b.rec.printf("client gets %d for %s, error %v", out.status, r.id, out.err)
			}()
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

// watchStatus records each change of a state that the system writes. The function that it returns ends that.
func (f *storeFront) watchStatus(rec *record, key string) func() {
	done := make(chan struct{})
	go func() {
		last := ""
		for {
			if now := string(f.Newest("keyed.status", key)); now != last {
				last = now
				rec.printf("status/%s is %s", key, now)
			}
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() { close(done) }
}

// held reports whether the bad version got no more than its share by the deadline.
func (v *versionRuns) held(b *bed, ordered time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := map[string]int{}
	late := 0
	for version, times := range v.ran {
		for _, at := range times {
			if at.After(ordered) {
				count[version]++
			}
			if version == newVersion && len(v.bad) >= badAnswers && at.Sub(v.bad[badAnswers-1]) > rollbackBound {
				late++
			}
		}
	}
	allowed := int(canaryShare*float64(count[oldVersion]+count[newVersion])) + canaryTolerance
	b.rec.printf("from the order to its deadline the bad version got %d of %d requests, %d are allowed; %d bad answers; %d requests later than %v after the 50th",
		count[newVersion], count[oldVersion]+count[newVersion], allowed, len(v.bad), late, rollbackBound)
	return count[newVersion] <= allowed && late == 0
}
