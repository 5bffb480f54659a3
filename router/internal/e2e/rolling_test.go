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
type balancedClients struct {
	t        *testing.T
	balancer balancer.Balancer
	// cut counts answers that broke off after a connection was had: a planned
	// stop must cause none.
	connectionsLost atomic.Int64
	completed       atomic.Int64
}

// send tries until an instance has taken the request.
func (b *balancedClients) send(client *http.Client, key string) {
	for {
		r := b.try(client, key)
		switch {
		case r.err != nil && !isDialError(r.err):
			b.connectionsLost.Add(1)
			return
		case r.err == nil && outcomeOf(r) == "completed":
			b.completed.Add(1)
			return
		case r.err == nil && outcomeOf(r) != "refused":
			b.t.Errorf("%s: %+v", key, r)
			return
		}
	}
}

func (b *balancedClients) try(client *http.Client, key string) response {
	req, err := http.NewRequest(http.MethodPost, b.balancer.Pick()+"/v1/chat/completions", strings.NewReader(helloBody))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+weaversKey)
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	return readResponse(client.Do(req))
}

// isDial says that no connection was had, so that nothing was cut.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func apiAddrs(live []*instance) []string {
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
	b := &balancedClients{t: t}
	b.balancer.Set(apiAddrs(f.instances))
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
		before := b.completed.Load()
		b.balancer.Set(apiAddrs(live))
		if err := old.terminate(); err != nil {
			t.Errorf("%s: %v", old.name, err)
		}
		eventually(t, "answers after the stop", func() bool { return b.completed.Load() > before+20 })
	}
	close(stop)
	wg.Wait()
	close(keys)
	if n := b.connectionsLost.Load(); n > 0 {
		t.Errorf("%d answers broke off", n)
	}
	ledger := f.ledger()
	for key := range keys {
		if n := strings.Count(ledger, key); n != 1 {
			t.Errorf("%s: %d bills", key, n)
		}
	}
}
