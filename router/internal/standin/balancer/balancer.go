// Package balancer is the stand-in for the platform's balancer: it names the
// instance that the next request goes to.
package balancer

import (
	"slices"
	"sync"
)

// Balancer goes round the live addresses. The zero value has none. It is safe for
// concurrent use.
type Balancer struct {
	mu    sync.Mutex
	addrs []string
	next  int
}

// Set replaces the live addresses.
func (b *Balancer) Set(addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs = slices.Clone(addrs)
}

// Pick names the next address; empty where there is none.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addrs) == 0 {
		return ""
	}
	b.next++
	return b.addrs[b.next%len(b.addrs)]
}
