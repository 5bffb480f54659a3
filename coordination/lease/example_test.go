package lease_test

import (
	"context"
	"fmt"

	"masticplank.example/coordination/lease"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
)

// The holder checks right before each order and sends the fencing number with
// it.
func Example() {
	ctx := context.Background()
	n, err := node.New(logtest.New().Client("a"), node.Config{Name: "a"})
	if err != nil {
		panic(err)
	}
	if err := n.Start(ctx); err != nil {
		panic(err)
	}
	defer func() { _ = n.Stop(ctx) }()
	m, err := lease.New(n, lease.Config{Name: "orders-kigali-1", Holder: "a"}, nil)
	if err != nil {
		panic(err)
	}
	defer m.Close()
	fmt.Println("taken:", m.Acquire(ctx))
	fence, result := m.Check(lease.FencingEnforced)
	fmt.Println("may order, fencing number:", result == lease.Allowed, fence)
	_, result = m.Check(lease.FencingIgnored)
	fmt.Println("engine without fencing waits:", result == lease.WaitingForPredecessor)
	// Output:
	// taken: true
	// may order, fencing number: true 0
	// engine without fencing waits: true
}
