package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	keptKey    = "n2ctnfzs989anu6wsjnb"
	revokedKey = "anfqasnmgkcuyj8pjbvk"
	// copyAge is how old the copy is from which the store comes back, awayFor how long it is away, and rewriteAfter how
	// long after that the operator has written its configuration again.
	copyAge      = 2 * time.Second
	awayFor      = 2500 * time.Millisecond
	rewriteAfter = 4 * time.Second
)

// revokeDrill takes a key away. With the disruption, the store is away right after it has acknowledged that, and comes
// back from a copy that lacks it, until the operator writes it again.
func revokeDrill(b *bed) (bool, error) {
	all := &runs{}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := b.startServer(id, "ububiko", "v1", b.plainServer(id, 20*time.Millisecond, all)); err != nil {
			return false, err
		}
	}
	if err := b.store.PutJSON("keyed.op", "config", config(7, keptKey, revokedKey)); err != nil {
		return false, err
	}
	i, err := b.startInstance()
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(20 * time.Millisecond)
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
				b.rec.printf("client sends %s with the key that is taken away", r.id)
				out := i.send(context.Background(), r)
				b.rec.printf("client gets %d for %s after %d ms, error %v", out.status, r.id, out.took.Milliseconds(), out.err)
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	backup := b.store.Backup()
	b.rec.printf("a copy of the store is made")
	time.Sleep(copyAge)
	if b.trouble {
		b.store.setAway(true) // from here on no answer leaves the store but that to the operator
	}
	if err := b.store.PutJSON("keyed.op", "config", config(9, keptKey)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	b.rec.printf("the store acknowledges version 9, which takes a key away")
	if b.trouble {
		b.rec.printf("the store is away")
		time.Sleep(awayFor)
		b.store.Restore(backup)
		b.store.setAway(false)
		b.rec.printf("the store is back from the copy, without version 9")
		time.Sleep(rewriteAfter)
		if err := b.store.PutJSON("keyed.op", "config", config(9, keptKey)); err != nil {
			return false, err
		}
		b.rec.printf("the operator has written version 9 again")
	}
	time.Sleep(time.Until(acknowledged.Add(revokeBound + 3*time.Second)))
	close(stop)
	wg.Wait()
	late := 0
	for _, r := range all.list() {
		mu.Lock()
		at := sent[r.id]
		mu.Unlock()
		if after := at.Sub(acknowledged); after > revokeBound {
			late++
			b.rec.printf("broken: %s was sent %.3f s after the acknowledgement, with the key that was taken away, and ran at %s", r.id, after.Seconds(), r.server)
		}
	}
	b.rec.printf("%d runs, %d of requests that were sent later than %v after the acknowledgement", len(all.list()), late, revokeBound)
	return late == 0, nil
}
