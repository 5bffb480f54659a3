package driver

import (
	"context"
	"sync"

	"masticplank.example/decision"
)

// Ticket is one request's end of the driver. Next and Close are for the one
// goroutine that serves the request.
type Ticket struct {
	ID       decision.RequestID
	driver   *Driver
	commands chan decision.Command

	mu      sync.Mutex
	cancels map[decision.AttemptID]context.CancelFunc
	// cancelled remembers a cancel that came before its attempt began.
	cancelled map[decision.AttemptID]bool
}

// Next waits for the next command. It returns ctx's error once that has ended,
// also where a command waits: for a caller that has gone, the decision's word on a
// cancelled attempt must not count as the end of the request.
func (t *Ticket) Next(ctx context.Context) (decision.Command, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case cmd := <-t.commands:
		return cmd, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.driver.done:
		return nil, context.Canceled
	}
}

// Begin returns the context of an attempt; it ends when the decision cancels
// the attempt. The caller must call the returned function when it is over.
func (t *Ticket) BeginAttempt(ctx context.Context, id decision.AttemptID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[id] = cancel
	if t.cancelled[id] {
		cancel()
	}
	return ctx, func() { t.endAttempt(id, cancel) }
}

func (t *Ticket) endAttempt(id decision.AttemptID, cancel context.CancelFunc) {
	cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, id)
}

func (t *Ticket) cancel(id decision.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, running := t.cancels[id]; running {
		cancel()
		return
	}
	if t.cancelled == nil {
		t.cancelled = map[decision.AttemptID]bool{}
	}
	t.cancelled[id] = true
}

// Send hands over an event about this request.
func (t *Ticket) Send(ev decision.Event) { t.driver.Send(ev) }

// Close ends the ticket. Commands that were not read are given back.
func (t *Ticket) Close() {
	d := t.driver
	d.mu.Lock()
	delete(d.tickets, t.ID)
	d.mu.Unlock()
	for {
		select {
		case cmd := <-t.commands:
			d.reportNotRun(cmd)
		default:
			return
		}
	}
}
