package cli

import (
	"context"
	"sync"

	"masticplank.example/router/internal/adminclient"
)

// Answer is what one instance's admin listener gave.
type Answer[T any] struct {
	Address string
	Value   T
	Err     error
}

// Gather reads path from all instances at the same time. The answers stand in
// the order of the addresses, those that failed too.
func Gather[T any](ctx context.Context, addresses []string, path string) []Answer[T] {
	out := make([]Answer[T], len(addresses))
	var wg sync.WaitGroup
	for i, addr := range addresses {
		wg.Go(func() {
			out[i].Address = addr
			out[i].Err = adminclient.New(addr, "").Get(ctx, path, &out[i].Value)
		})
	}
	wg.Wait()
	return out
}

// Silent is the error that a command ends with where n of all instances did not
// answer; nil for none.
func Silent(n, all int) error {
	switch {
	case n == 0:
		return nil
	case n == all:
		return Exitf(StatusFailed, "none of %d instances answered: check the addresses of their admin listeners", all)
	default:
		return Exitf(StatusPartial, "%d of %d instances did not answer", n, all)
	}
}
