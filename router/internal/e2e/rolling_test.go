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

// balancedClients sends requests through a load balancer and counts their
// results.
type balancedClients struct {
	t        *testing.T
	balancer balancer.Balancer
	// connectionsLost counts requests that failed after their connection was
	// established; a planned stop must cause none.
	connectionsLost atomic.Int64
	completed       atomic.Int64
}

// send sends a request, and sends it again while it is refused or no connection
// is established.
func (c *balancedClients) send(client *http.Client, key string) {
	for {
		r := c.try(client, key)
		switch {
		case r.err != nil && !isDialError(r.err):
			c.connectionsLost.Add(1)
			return
		case r.err == nil && outcomeOf(r) == "completed":
			c.completed.Add(1)
			return
		case r.err == nil && outcomeOf(r) != "refused":
			c.t.Errorf("%s: %+v, want it completed or refused", key, r)
			return
		}
	}
}

func (c *balancedClients) try(client *http.Client, key string) response {
	req, err := http.NewRequest(http.MethodPost, c.balancer.Pick()+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+weaversKey)
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	return readResponse(client.Do(req))
}

// isDialError reports whether no connection was established.
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

// Replacing all instances under load, one after another, must not interrupt any
// answer, and each request must be billed once.
func TestRollingReplacement(t *testing.T) {
	f := readyFleet(t)
	clients := &balancedClients{t: t}
	clients.balancer.Set(apiAddrs(f.instances))
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
				clients.send(client, key)
				keys <- key
			}
		})
	}
	for _, old := range f.instances[:3] {
		added := f.addInstance()
		eventually(t, added.name+" ready", func() bool {
			return call(t, http.MethodGet, added.admin+"/readyz", "", "", nil).status == http.StatusOK
		})
		live := f.instances[len(f.instances)-3:]
		before := clients.completed.Load()
		clients.balancer.Set(apiAddrs(live))
		if err := old.terminate(); err != nil {
			t.Errorf("stopping %s: %v", old.name, err)
		}
		eventually(t, "20 more answers after the stop", func() bool { return clients.completed.Load() > before+20 })
	}
	close(stop)
	wg.Wait()
	close(keys)
	if n := clients.connectionsLost.Load(); n > 0 {
		t.Errorf("%d connections lost, want none", n)
	}
	ledger := f.ledger()
	for key := range keys {
		if n := strings.Count(ledger, key); n != 1 {
			t.Errorf("%s: %d bills, want 1", key, n)
		}
	}
}
