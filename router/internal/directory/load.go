package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

// syncPollers starts a load poller for each backend server that is new in the
// subset and stops the pollers of those that left it.
func (d *Directory) syncPollers(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, stop := range d.pollers {
		if _, listed := d.servers[id]; !listed {
			stop()
			delete(d.pollers, id)
			delete(d.reportedVersions, id)
			delete(d.loadReportedAt, id)
		}
	}
	for id := range d.servers {
		if _, running := d.pollers[id]; running {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		d.pollers[id] = stop
		go d.pollLoad(pollCtx, id)
	}
}

func (d *Directory) stopPollers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, stop := range d.pollers {
		stop()
		delete(d.pollers, id)
	}
}

func (d *Directory) pollLoad(ctx context.Context, id decision.ServerID) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var since uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		since = d.fetchLoad(ctx, id, since)
		timer.Reset(d.nextPollDelay(id))
	}
}

// nextPollDelay is the time until the next poll of a server's load. It is
// longer if the server has just stated its load in a response.
func (d *Directory) nextPollDelay(id decision.ServerID) time.Duration {
	interval := pollInterval(d.loadInterval, d.pollerCount())
	d.mu.RLock()
	defer d.mu.RUnlock()
	if time.Since(d.loadReportedAt[id]) < interval {
		return interval * reportedPollFactor
	}
	return interval
}

// ObserveLoad takes the load that a server stated in a response
// (wire.HeaderLoad). A malformed or empty load is ignored.
func (d *Directory) ObserveLoad(id decision.ServerID, load string) {
	running, queued, ok := wire.ParseLoad(load)
	if !ok {
		return
	}
	now := time.Now()
	d.mu.Lock()
	d.loadReportedAt[id] = now
	d.mu.Unlock()
	d.sender.Send(decision.LoadReported{Server: id, Running: running, Queued: queued, At: now})
}

func (d *Directory) pollerCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.pollers)
}

// fetchLoad fetches one server's load report, sends its contents to package
// decision and returns the sequence number of the last cache event. Without a
// report it returns since, so that the next fetch asks for the same events.
func (d *Directory) fetchLoad(ctx context.Context, id decision.ServerID, since uint64) uint64 {
	addr, ok := d.Addr(id)
	if !ok {
		return since
	}
	report, err := d.getLoad(ctx, addr, since)
	if err != nil {
		return since
	}
	if report.Leaving {
		d.sender.Send(decision.ServerLeaving{Server: id})
	}
	d.sender.Send(decision.LoadReported{
		Server:  id,
		Running: report.Running,
		Queued:  report.Queued,
		At:      report.At,
	})
	if len(report.Versions) > 0 {
		d.updateVersions(id, report.Versions)
	}
	for _, c := range report.Cache {
		d.sender.Send(cacheEvent(id, c))
	}
	return report.CacheSeq
}

func (d *Directory) getLoad(ctx context.Context, addr string, since uint64) (wire.LoadReport, error) {
	url := fmt.Sprintf("http://%s/load?since=%d", addr, since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return wire.LoadReport{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return wire.LoadReport{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return wire.LoadReport{}, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	var report wire.LoadReport
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadReportBytes)).Decode(&report)
	return report, err
}

func cacheEvent(id decision.ServerID, c wire.CacheEvent) decision.CacheChanged {
	return decision.CacheChanged{
		Server:  id,
		Seq:     c.Seq,
		Added:   blockHashes(c.Added),
		Removed: blockHashes(c.Removed),
	}
}

func blockHashes(in []uint64) []decision.BlockHash {
	out := make([]decision.BlockHash, len(in))
	for i, h := range in {
		out[i] = decision.BlockHash(h)
	}
	return out
}
