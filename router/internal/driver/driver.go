// Package driver runs the state machine of package decision: one goroutine owns
// the decision.World, feeds it events and passes each command to its request.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/decision"
)

const (
	// inboxSize is how many events can wait for the next tick. A full inbox
	// blocks all senders until a tick has made room, and so slows the arrival of
	// requests.
	inboxSize = 4096
	// batchSize bounds the events of one tick, so that a burst cannot delay the
	// commands for earlier requests.
	batchSize = 256
	// tickInterval is the time to the next tick while requests are open and no
	// event arrives. Such ticks apply deadlines and limits on waiting times.
	tickInterval = 5 * time.Millisecond
	// idleTickInterval replaces tickInterval while no request is open: 4 wake-ups a
	// second instead of 200. It is well below decision.Config.PauseThreshold: a gap
	// between two ticks that is longer than that threshold counts as a pause of the
	// process.
	idleTickInterval = 250 * time.Millisecond
	// commandBuffer is how many unread commands a request can have. Its attempts
	// run one after the other, so there are rarely more than a Dispatch and a final
	// command.
	commandBuffer = 16
)

// FleetSink receives the commands that do not concern a single request.
type FleetSink interface {
	ShareVerdict(decision.VersionVerdict)
	ShareLeaving(decision.ServerID)
	ReportEjection(decision.ReportEjection)
	Quarantine(decision.Quarantine)
}

// Decider is the state machine that the driver runs; *decision.World implements it.
type Decider interface {
	// Tick advances the state machine to now, applies the events and returns the
	// commands that follow.
	Tick(now time.Time, in []decision.Event) []decision.Command
}

// Driver owns a Decider. Its methods, except for Run, are safe for concurrent use.
type Driver struct {
	decider Decider
	sink    FleetSink
	inbox   chan decision.Event
	done    chan struct{}

	nextID  atomic.Uint64
	mu      sync.Mutex
	tickets map[decision.RequestID]*Ticket
	// openingSessions holds the channels on which OpenSession waits.
	openingSessions map[decision.SessionID]chan []decision.VersionID
}

// New returns a driver of decider; Run starts it.
func New(decider Decider, sink FleetSink) *Driver {
	return &Driver{
		decider:         decider,
		sink:            sink,
		inbox:           make(chan decision.Event, inboxSize),
		done:            make(chan struct{}),
		tickets:         map[decision.RequestID]*Ticket{},
		openingSessions: map[decision.SessionID]chan []decision.VersionID{},
	}
}

// Run ticks until ctx ends. It must run exactly once.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	batch := make([]decision.Event, 0, batchSize)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case ev := <-d.inbox:
			batch = append(batch, ev)
		}
		batch = d.fillBatch(batch)
		d.execute(d.decider.Tick(time.Now(), batch))
		timer.Reset(d.interval())
	}
}

// fillBatch adds the events that are waiting, up to batchSize, without blocking.
func (d *Driver) fillBatch(batch []decision.Event) []decision.Event {
	for len(batch) < batchSize {
		select {
		case ev := <-d.inbox:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// interval returns the time until the next tick if no event arrives.
func (d *Driver) interval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tickets) == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// Send queues an event for the next tick. After Run has ended it does nothing.
func (d *Driver) Send(ev decision.Event) {
	select {
	case d.inbox <- ev:
	case <-d.done:
	}
}

// Submit assigns an ID to a request, submits it and returns its ticket, which the
// caller must Close.
func (d *Driver) Submit(req decision.Request) *Ticket {
	req.ID = decision.RequestID(d.nextID.Add(1))
	t := &Ticket{
		ID:       req.ID,
		driver:   d,
		commands: make(chan decision.Command, commandBuffer),
		cancels:  map[decision.AttemptID]context.CancelFunc{},
	}
	d.mu.Lock()
	d.tickets[req.ID] = t
	d.mu.Unlock()
	d.Send(decision.RequestArrived{Request: req})
	return t
}

// OpenRequests returns the number of requests whose tickets are not closed.
func (d *Driver) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tickets)
}

func (d *Driver) execute(cmds []decision.Command) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case decision.Dispatch:
			d.passToTicket(c.Request, c)
		case decision.Deliver:
			d.passToTicket(c.Request, c)
		case decision.Refuse:
			d.passToTicket(c.Request, c)
		case decision.Fail:
			d.passToTicket(c.Request, c)
		case decision.PinSession:
			d.answerSession(c)
		case decision.CancelAttempt:
			d.cancelAttempt(c)
		case decision.ShareVerdict:
			d.sink.ShareVerdict(c.Verdict)
		case decision.ShareLeaving:
			d.sink.ShareLeaving(c.Server)
		case decision.ReportEjection:
			d.sink.ReportEjection(c)
		case decision.Quarantine:
			d.sink.Quarantine(c)
		}
	}
}

func (d *Driver) ticket(id decision.RequestID) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets[id]
}

func (d *Driver) passToTicket(id decision.RequestID, cmd decision.Command) {
	t := d.ticket(id)
	if t == nil {
		d.reportNotRun(cmd)
		return
	}
	select {
	case t.commands <- cmd:
	default:
		// A request with this many unread commands has been abandoned; its Close
		// follows. Waiting here would delay every other request.
		d.reportNotRun(cmd)
	}
}

// reportNotRun reports a Dispatch that nobody will execute as not run, which frees
// its slot. It sends from a new goroutine, since the goroutine that runs the
// Decider must not wait on its own inbox.
func (d *Driver) reportNotRun(cmd decision.Command) {
	c, ok := cmd.(decision.Dispatch)
	if !ok {
		return
	}
	go d.Send(decision.AttemptEnded{
		Request: c.Request,
		Attempt: c.Attempt,
		Result:  decision.AttemptNotRun,
	})
}

// OpenSession returns the versions that a new session is pinned to. It returns none
// if ctx or Run ends first, or if there is no version that the team may use now.
func (d *Driver) OpenSession(ctx context.Context, team decision.TeamID, rolloutPosition float64) []decision.VersionID {
	id := decision.SessionID(d.nextID.Add(1))
	answer := make(chan []decision.VersionID, 1)
	d.mu.Lock()
	d.openingSessions[id] = answer
	d.mu.Unlock()
	d.Send(decision.SessionOpening{Session: id, Team: team, RolloutPosition: rolloutPosition})
	select {
	case versions := <-answer:
		return versions
	case <-ctx.Done():
	case <-d.done:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.openingSessions, id)
	return nil
}

func (d *Driver) answerSession(c decision.PinSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer, waiting := d.openingSessions[c.Session]; waiting {
		answer <- c.Versions
		delete(d.openingSessions, c.Session)
	}
}

func (d *Driver) cancelAttempt(c decision.CancelAttempt) {
	if t := d.ticket(c.Request); t != nil {
		t.cancel(c.Attempt)
	}
}
