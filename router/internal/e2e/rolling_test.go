package e2e

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"masticplank.example/router/internal/standin/balancer"
	"masticplank.example/router/internal/wire"
)

// callers send requests through the balancer.
type callers struct {
	t  *testing.T
	to balancer.Balancer
	// cut counts answers that broke off after a connection was had: a planned
	// stop must cause none.
	cut  atomic.Int64
	done atomic.Int64
}

// send tries until an instance has taken the request.
func (b *callers) send(client *http.Client, key string) {
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
			b.t.Errorf("%s: %+v", key, r)
			return
		}
	}
}

func (b *callers) try(client *http.Client, key string) reply {
	req, err := http.NewRequest(http.MethodPost, b.to.Pick()+"/v1/chat/completions", strings.NewReader(helloBody))
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

func edges(live []*instance) []string {
	var out []string
	for _, i := range live {
		out = append(out, i.api)
	}
	return out
}

// TestRollingReplacement replaces all instances, one after another, under load.
// No answer breaks off and each request is billed once.
func TestRollingReplacement(t *testing.T) {
	f := readyFleet(t)
	b := &callers{t: t}
	b.to.Set(edges(f.instances))
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
		b.to.Set(edges(live))
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
