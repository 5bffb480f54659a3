package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// stormChanges configurations come in quick succession, stormGap apart; keysPerTenant is how many keys each of the
	// tenants has.
	stormChanges  = 44
	stormGap      = 80 * time.Millisecond
	tenants       = 10
	keysPerTenant = 200
	// afterRevocation is how long after the revocation the instance is turned away.
	afterRevocation = 5300 * time.Millisecond
)

// largeConfig is a configuration with many keys; withRevoked keeps the key that is taken away later.
func largeConfig(version int, withRevoked bool) map[string]any {
	c := config(version)
	var list []map[string]any
	for t := range tenants {
		var keys []string
		for k := range keysPerTenant {
			keys = append(keys, fmt.Sprintf("k%03d%05dsanb89u6wsjn", t, k))
		}
		if t == 0 && withRevoked {
			keys = append(keys, revokedKey)
		}
		list = append(list, map[string]any{"name": fmt.Sprintf("tenant%d", t), "apiKeys": keys, "priority": 1})
	}
	c["tenants"] = list
	return c
}

// partialRead takes a key away after several other changes, while the store turns the instance away. When the store
// serves the instance again, its first read has only a part of what was written.
func partialRead(b *bed) (bool, error) {
	all := &runs{}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := b.startServer(id, "ububiko", "v1", b.plainServer(id, 10*time.Millisecond, all)); err != nil {
			return false, err
		}
	}
	version := 7
	if err := b.store.PutJSON("keyed.op", "config", largeConfig(version, true)); err != nil {
		return false, err
	}
	i, err := b.startInstance()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.store.busy.Store(true)
		b.rec.printf("the store turns the instance away with 503")
	}
	for range stormChanges {
		version += 2
		if err := b.store.PutJSON("keyed.op", "config", largeConfig(version, true)); err != nil {
			return false, err
		}
		b.rec.printf("the store acknowledges version %d", version)
		time.Sleep(stormGap)
	}
	version += 2
	if err := b.store.PutJSON("keyed.op", "config", largeConfig(version, false)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	b.rec.printf("the store acknowledges version %d, which takes a key away", version)
	time.Sleep(time.Until(acknowledged.Add(revokeBound + 100*time.Millisecond)))
	senders := b.sendSteadily(i, 200)
	time.Sleep(time.Until(acknowledged.Add(afterRevocation)))
	b.store.busy.Store(false)
	b.rec.printf("the store serves the instance")
	time.Sleep(1500 * time.Millisecond)
	sent := senders()
	late := 0
	for _, r := range all.list() {
		if after := sent[r.id].Sub(acknowledged); after > revokeBound {
			late++
			b.rec.printf("broken: %s was sent %.3f s after the acknowledgement, with the key that was taken away, and ran at %s", r.id, after.Seconds(), r.server)
		}
	}
	b.rec.printf("%d runs of requests that were sent later than %v after the acknowledgement", late, revokeBound)
	return late == 0, nil
}

// sendSteadily sends requests with the key that is taken away, perSecond of them. The function that it returns ends
// that, and returns when each was sent.
func (b *bed) sendSteadily(i *instance, perSecond int) func() map[string]time.Time {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			r := request{id: fmt.Sprintf("%016x", n), method: "POST", path: "/settle/2f", key: revokedKey, body: "{}", deadline: 1500 * time.Millisecond}
			wg.Add(1)
			go func() {
				defer wg.Done()
				mu.Lock()
				sent[r.id] = time.Now()
				mu.Unlock()
				out := i.send(context.Background(), r)
				b.rec.printf("client gets %d for %s, sent %d ms before, error %v", out.status, r.id, out.took.Milliseconds(), out.err)
			}()
		}
	}()
	return func() map[string]time.Time {
		close(stop)
		wg.Wait()
		return sent
	}
}
