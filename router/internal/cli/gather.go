package cli

import (
	"context"
	"sync"

	"masticplank.example/router/internal/adminclient"
)

// Response is what one instance's admin listener returned. Value is valid if Err is
// nil.
type Response[T any] struct {
	Address string
	Value   T
	Err     error
}

// GetAll requests path from the admin listeners at all addresses concurrently.
// The responses are in the order of the addresses, failed ones included.
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

// UnansweredError returns the error of a command if some of the total instances did
// not answer; nil if all answered. Its exit status is StatusFailed if none answered,
// StatusPartial otherwise.
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
