package driver

import (
	"context"
	"sync"

	"masticplank.example/decision"
)

// Ticket is the handle of one request: it receives the request's commands and
// sends its events. Only the goroutine that serves the request may call Next and
// Close.
type Ticket struct {
	ID       decision.RequestID
	driver   *Driver
	commands chan decision.Command

	mu sync.Mutex
	// cancels holds the cancel functions of the running attempts.
	cancels map[decision.AttemptID]context.CancelFunc
	// cancelled holds the attempts that were cancelled before they began.
	cancelled map[decision.AttemptID]bool
}

// Next waits for the next command. If ctx has ended before the call, it returns
// ctx's error even if a command is waiting: after a caller has disconnected, the
// command that package decision sends for the cancelled attempt must not count as
// the end of the request. Once the driver's Run has ended, it returns
// context.Canceled.
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

// BeginAttempt returns the context of an attempt, which ends when ctx ends or
// package decision cancels the attempt. The caller must call the returned function
// at the end of the attempt.
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

// Send queues an event about this request for the next tick.
func (t *Ticket) Send(ev decision.Event) { t.driver.Send(ev) }

// Close ends the ticket. Dispatches that were not read are reported as not run.
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
