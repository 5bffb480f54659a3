package cli

import (
	"context"
	"sync"

	"masticplank.example/router/internal/adminclient"
)

// Answer is what one instance's admin listener gave.
type Response[T any] struct {
	Address string
	Value   T
	Err     error
}

// Gather reads path from all instances at the same time. The answers stand in
// the order of the addresses, those that failed too.
func GetAll[T any](ctx context.Context, addresses []string, path string) []Response[T] {
	responses := make([]Response[T], len(addresses))
	var wg sync.WaitGroup
	for i, addr := range addresses {
		wg.Go(func() {
			responses[i].Address = addr
			responses[i].Err = adminclient.New(addr, "").Get(ctx, path, &responses[i].Value)
		})
	}
	wg.Wait()
	return responses
}

// Silent is the error that a command ends with where n of all instances did not
// answer; nil for none.
func UnansweredError(unanswered, total int) error {
	switch {
	case unanswered == 0:
		return nil
	case unanswered == total:
		return StatusErrorf(StatusFailed, "none of %d instances answered: check the addresses of their admin listeners", total)
	default:
		return StatusErrorf(StatusPartial, "%d of %d instances did not answer", unanswered, total)
	}
}
