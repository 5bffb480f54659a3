// Package balancer is a stand-in for the platform's load balancer: it selects
// the instance for the next request.
package balancer

import (
	"slices"
	"sync"
)

// Balancer selects addresses by round robin. The zero value has no addresses. It is safe
// for concurrent use.
type Balancer struct {
	mu    sync.Mutex
	addrs []string
	next  int
}

// Set replaces the addresses.
func (b *Balancer) Set(addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs = slices.Clone(addrs)
}

// Pick returns the next address, or "" if there is none.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addrs) == 0 {
		return ""
	}
	b.next++
	return b.addrs[b.next%len(b.addrs)]
}
