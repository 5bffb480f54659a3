package demo

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
)

// waitReady waits until the readiness check of an instance succeeds.
func waitReady(ctx context.Context, admin string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
		if err != nil {
			return trace.Wrap(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return trace.Wrap(err, "%s is not ready", admin)
		}
	}
}
