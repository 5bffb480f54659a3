package e2e

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"masticplank.example/router/internal/wire"
)

// balancer sends each request to a ready instance, as the platform's does.
type balancer struct {
	f *fleet

	mu   sync.Mutex
	live []*instance
	next int
	// cut counts answers that broke off after a connection was had: a planned
	// stop must cause none.
	cut  atomic.Int64
	done atomic.Int64
}

func (b *balancer) set(live []*instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = append([]*instance(nil), live...)
}

func (b *balancer) pick() *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.live[b.next%len(b.live)]
}

// send tries until an instance has taken the request.
func (b *balancer) send(client *http.Client, key string) {
	for {
		r := b.try(client, key)
		switch {
		case r.err != nil && !isDial(r.err):
			b.cut.Add(1)
			return
		case r.err == nil && outcomeOf(r) == "completed":
			b.done.Add(1)
			return
		case r.err == nil && outcomeOf(r) != "refused":
			b.f.t.Errorf("%s: %+v", key, r)
			return
		}
	}
}

func (b *balancer) try(client *http.Client, key string) reply {
	req, err := http.NewRequest(http.MethodPost, b.pick().api+"/v1/chat/completions", strings.NewReader(helloBody))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+weaversKey)
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	return read(client.Do(req))
}

// isDial says that no connection was had, so that nothing was cut.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// TestRollingReplacement replaces all instances, one after another, under load.
// No answer breaks off and each request is billed once.
func TestRollingReplacement(t *testing.T) {
	f := readyFleet(t)
	b := &balancer{f: f}
	b.set(f.instances)
	stop := make(chan struct{})
	keys := make(chan string, 1<<16)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				key := newKey()
				b.send(client, key)
				keys <- key
			}
		})
	}
	for _, old := range f.instances[:3] {
		added := f.add()
		eventually(t, added.name+" ready", func() bool {
			return call(t, http.MethodGet, added.admin+"/readyz", "", "", nil).status == http.StatusOK
		})
		live := f.instances[len(f.instances)-3:]
		before := b.done.Load()
		b.set(live)
		if err := old.terminate(); err != nil {
			t.Errorf("%s: %v", old.name, err)
		}
		eventually(t, "answers after the stop", func() bool { return b.done.Load() > before+20 })
	}
	close(stop)
	wg.Wait()
	close(keys)
	if n := b.cut.Load(); n > 0 {
		t.Errorf("%d answers broke off", n)
	}
	ledger := f.ledger()
	for key := range keys {
		if n := strings.Count(ledger, key); n != 1 {
			t.Errorf("%s: %d bills", key, n)
		}
	}
}
