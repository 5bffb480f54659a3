package passthrough

import (
	"sync"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/relay"
)

// Driver owns the world: it takes events from many goroutines and hands the commands on.
type Driver struct {
	clock Clock
	// hurry asks for the list of backend servers to be read at once.
	requestServerRead func()
	// observe and crash tell the other instances, cooled and limited the log.
	onObserved     func(passthrough.Observation)
	onCrash        func(passthrough.CrashSuspected)
	onSlowStart    func(passthrough.SlowStartBegun)
	onLimitChanged func(passthrough.RateLimitChanged)

	mu      sync.Mutex
	world   *passthrough.World
	tickets map[passthrough.RequestID]*ticket
	lastID  passthrough.RequestID
}

// ticket is where the commands on one request go.
type ticket struct {
	id       passthrough.RequestID
	commands chan passthrough.Command
}

// ticketRoom is more commands than a request can be given before it takes one: each
// waits for the event that it answers.
const ticketBuffer = 4

// NewDriver returns a driver of a new world.
func NewDriver(clock Clock, cfg passthrough.Settings) *Driver {
	return &Driver{
		clock: clock, world: passthrough.New(cfg), tickets: map[passthrough.RequestID]*ticket{},
		requestServerRead: func() {}, onObserved: func(passthrough.Observation) {}, onCrash: func(passthrough.CrashSuspected) {},
		onSlowStart: func(passthrough.SlowStartBegun) {}, onLimitChanged: func(passthrough.RateLimitChanged) {},
	}
}

// open hands a request over; its commands come by the ticket.
func (d *Driver) open(r passthrough.Request) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	t := &ticket{id: d.lastID, commands: make(chan passthrough.Command, ticketBuffer)}
	d.tickets[t.id] = t
	r.ID = t.id
	d.tick(passthrough.RequestArrived{Request: r})
	return t
}

// close forgets a request.
func (d *Driver) close(t *ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick(passthrough.RequestCancelled{Request: t.id})
	delete(d.tickets, t.id)
}

// Tell gives events to the world.
func (d *Driver) Handle(events ...passthrough.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick(events...)
}

// openSessions lists a service's sessions that may be open at another version than the
// target, in the share.
func (d *Driver) openSessions(service, target string, share float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.OpenSessions(service, target, share)
}

// ownReport is what this instance tells the others.
func (d *Driver) ownReport() relay.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return relay.Report{Loads: d.world.OwnLoads(), Limits: d.world.OwnLimits(), Instances: 1}
}

// takeReport takes in what the others tell.
func (d *Driver) applyPeerReport(others relay.Report) {
	d.Handle(passthrough.PeerLoads{Loads: others.Loads, Instances: others.Instances}, passthrough.PeerLimits{Limits: others.Limits})
}

// bar is the confidence under which the request's answer is dropped now.
func (d *Driver) confidenceThreshold(t *ticket) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.ConfidenceThreshold(t.id)
}

// Load counts the requests that wait and that run.
func (d *Driver) Load() (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.RequestCounts()
}

// Streams counts the streams that wait or run.
func (d *Driver) Streams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.StreamCount()
}

func (d *Driver) tick(events ...passthrough.Event) {
	for _, c := range d.world.Tick(d.clock.Now(), events...) {
		switch c := c.(type) {
		case passthrough.Dispatch:
			d.send(c.Request, c)
		case passthrough.Refuse:
			d.send(c.Request, c)
		case passthrough.Finish:
			d.send(c.Request, c)
		case passthrough.Observation:
			d.onObserved(c)
		case passthrough.CrashSuspected:
			d.onCrash(c)
		case passthrough.RefreshServers:
			d.requestServerRead()
		case passthrough.SlowStartBegun:
			d.onSlowStart(c)
		case passthrough.RateLimitChanged:
			d.onLimitChanged(c)
		}
	}
}

func (d *Driver) send(id passthrough.RequestID, c passthrough.Command) {
	if t := d.tickets[id]; t != nil {
		t.commands <- c
	}
}
