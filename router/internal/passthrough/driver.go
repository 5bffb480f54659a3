package passthrough

import (
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/relay"
)

// Driver holds a World of decision/passthrough. It applies events to the World and passes on the
// resulting commands. It is safe for concurrent use.
type Driver struct {
	clock Clock
	// requestServerRead requests an immediate read of the list of backend servers. It is called
	// with the lock held and must not block.
	requestServerRead func()
	// onObservation and onCrash inform the other instances; onSlowStart, onLimitChanged,
	// onServerLeaving, onBackoff, onPathChanged and onBrittle write to the log. All are called with the lock held and must not
	// block.
	onObservation   func(passthrough.Observation)
	onCrash         func(passthrough.CrashSuspected)
	onSlowStart     func(passthrough.SlowStartBegun)
	onLimitChanged  func(passthrough.RateLimitChanged)
	onServerLeaving func(passthrough.ServerLeaving)
	onBackoff       func(passthrough.BackoffStated)
	onPathChanged   func(passthrough.PathChanged)
	onBrittle       func(passthrough.BrittleChanged)
	// onPartsQuarantined writes to the log and informs the other instances.
	onPartsQuarantined func(passthrough.PartsQuarantined)
	// onSpeed and onSpeedClasses write to the log and the metrics. They must not block.
	onSpeed        func(passthrough.SpeedChanged)
	onSpeedClasses func(passthrough.SpeedClasses)
	// onEjected and onEjectedCount do so for ejected servers.
	onEjected      func(passthrough.ServerEjected)
	onEjectedCount func(int)
	// onAdmission sets gauges; it is called without the lock.
	onAdmission func([]passthrough.AdmissionState)
	// onProbe connects to a server and reports how that went; it is called with the lock held and must not block. nil
	// if there is nothing to connect with: then connections count as possible.
	onProbe func(passthrough.Server)
	// anyBrittle is true if the servers of some service were brittle.
	anyBrittle atomic.Bool

	mu      sync.Mutex
	world   *passthrough.World
	tickets map[passthrough.RequestID]*ticket
	lastID  passthrough.RequestID
}

// ticket receives the commands for one request.
type ticket struct {
	id       passthrough.RequestID
	commands chan passthrough.Command
	// withdraw ends the present attempt. The driver's lock guards it.
	withdraw func()
}

// ticketBuffer is more than the number of commands that can be pending for a request: each command
// is the response to an event of that request. So send never blocks.
const ticketBuffer = 4

// NewDriver returns a driver with a new passthrough.World.
func NewDriver(clock Clock, cfg passthrough.Settings) *Driver {
	return &Driver{
		clock: clock, world: passthrough.New(cfg), tickets: map[passthrough.RequestID]*ticket{},
		requestServerRead: func() {}, onObservation: func(passthrough.Observation) {}, onCrash: func(passthrough.CrashSuspected) {},
		onSlowStart: func(passthrough.SlowStartBegun) {}, onLimitChanged: func(passthrough.RateLimitChanged) {},
		onServerLeaving: func(passthrough.ServerLeaving) {}, onBackoff: func(passthrough.BackoffStated) {},
		onPathChanged: func(passthrough.PathChanged) {}, onBrittle: func(passthrough.BrittleChanged) {},
		onPartsQuarantined: func(passthrough.PartsQuarantined) {},
		onSpeed:            func(passthrough.SpeedChanged) {}, onSpeedClasses: func(passthrough.SpeedClasses) {},
		onEjected: func(passthrough.ServerEjected) {}, onEjectedCount: func(int) {},
		onAdmission: func([]passthrough.AdmissionState) {},
	}
}

// open submits a request; its commands arrive on the ticket.
func (d *Driver) open(r passthrough.Request) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	t := &ticket{id: d.lastID, commands: make(chan passthrough.Command, ticketBuffer)}
	d.tickets[t.id] = t
	r.ID = t.id
	d.applyLocked(passthrough.RequestArrived{Request: r})
	return t
}

// close removes a request.
func (d *Driver) close(t *ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(passthrough.RequestCancelled{Request: t.id})
	delete(d.tickets, t.id)
}

// Handle applies events and passes on the resulting commands.
func (d *Driver) Handle(events ...passthrough.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(events...)
}

// openSessions returns a service's sessions whose roll-out position is within the share and that may
// be open at another version than the target.
func (d *Driver) openSessions(service, target string, share float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.OpenSessions(service, target, share)
}

// ownReport returns this instance's load report for its peers.
func (d *Driver) ownReport() relay.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return relay.Report{Loads: d.world.OwnLoads(), Limits: d.world.OwnLimits(), Leaving: d.world.OwnLeaving(), Brittle: d.world.OwnBrittle(),
		Speeds: d.world.OwnSpeeds(), Demand: d.world.OwnDemand(), Outliers: d.world.OwnOutliers(), Crashes: d.world.OwnEvidence(d.clock.Now()), Instances: 1}
}

// lacksHolders reports whether this instance does not know the holders of some rate-limited server.
func (d *Driver) lacksHolders() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.LacksHolders()
}

// applyPeerReport applies the load reports of the peers.
func (d *Driver) applyPeerReport(others relay.Report) {
	d.Handle(passthrough.PeerLoads{Loads: others.Loads, Instances: others.Instances}, passthrough.PeerLimits{Limits: others.Limits},
		passthrough.PeerLeaving{Processes: others.Leaving}, passthrough.PeerBrittle{PerSecond: others.Brittle},
		passthrough.PeerSpeeds{Rows: others.Speeds}, passthrough.PeerDemand{Demand: others.Demand, Instances: others.Instances},
		passthrough.PeerOutliers{Rows: others.Outliers},
		passthrough.PeerEvidence{Evidence: others.Crashes, Instances: others.Instances})
	d.reportServers()
	d.onAdmission(d.admissionLevels())
}

// reportServers passes the numbers of servers in each class of speed, and of ejected ones, to the metrics.
func (d *Driver) reportServers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onSpeedClasses(d.world.SpeedClasses())
	d.onEjectedCount(d.world.EjectedServers())
}

// admissionLevels returns the state of admission by service and priority, if it is shared.
func (d *Driver) admissionLevels() []passthrough.AdmissionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.AdmissionLevels()
}

// confidenceThreshold returns the confidence below which the request's response is dropped now.
func (d *Driver) confidenceThreshold(t *ticket) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.ConfidenceThreshold(t.id)
}

// givesUp reports whether the request's attempt is to be given up for another server, and why.
func (d *Driver) givesUp(t *ticket, p passthrough.Progress) (passthrough.GivenUp, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.GivesUp(d.clock.Now(), t.id, p)
}

// keptBecause returns why a response of the confidence is kept although it is weak; "" if it is not, or that is not known.
func (d *Driver) keptBecause(t *ticket, confidence float64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.KeptBecause(t.id, confidence)
}

// partVerdicts returns the parts of prompts that are quarantined.
func (d *Driver) partVerdicts() []passthrough.PartVerdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.OwnEvidence(d.clock.Now()).Verdicts
}

// maySend reports whether a request that was dispatched to the server may still be sent. If so, withdraw is called
// once the request must be taken back from the server.
func (d *Driver) maySend(t *ticket, to passthrough.Server, withdraw func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.withdraw = withdraw
	return d.world.MaySend(d.clock.Now(), t.id, to)
}

// planPath says how to connect to a server now.
func (d *Driver) planPath(id string) reach.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.PlanPath(d.clock.Now(), id)
}

// asksPeers reports whether peers are asked for a connection to the server now.
func (d *Driver) asksPeers(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.AsksPeers(d.clock.Now(), id)
}

// hasNoWay reports whether requests are refused, as neither this instance nor its peers reach the servers.
func (d *Driver) hasNoWay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.HasNoWay(d.clock.Now())
}

// reportDial reports how a connection to a server went.
func (d *Driver) reportDial(to passthrough.Server, outcome passthrough.DialOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if outcome == passthrough.DialSucceeded && d.world.PathUndisturbed() {
		return
	}
	d.applyLocked(passthrough.DialEnded{Server: to, Outcome: outcome})
}

// reportReset reports that a server has reset an idle connection.
func (d *Driver) reportReset(of passthrough.Server) {
	d.Handle(passthrough.ConnectionReset{Server: of})
}

// keepsIdle reports whether this instance keeps an idle connection to the server.
func (d *Driver) keepsIdle(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.KeepsIdle(id)
}

// pathStanding is what peers are told of this instance's path.
func (d *Driver) pathStanding() reach.Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.PathStanding(d.clock.Now())
}

// missesServer reports whether the latest direct connection to the server has failed, a moment ago, or its link is lost.
func (d *Driver) missesServer(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.MissesServer(d.clock.Now(), id)
}

// linkLostSince returns since when requests for the server are sent through peers only; ok is false if they are not.
func (d *Driver) linkLostSince(id string) (since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.LinkLostSince(d.clock.Now(), id)
}

// otherServer returns a server other than the one to connect to, to tell a lost path from a lost server; ok is false if
// there is none.
func (d *Driver) otherServer(id string) (other passthrough.Server, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.OtherServer(id)
}

// usableServer returns the listed server with the id and the address, if it may get requests.
func (d *Driver) usableServer(id, address string) (passthrough.Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.UsableServer(d.clock.Now(), id, address)
}

// takePermitForPeer takes a permit at the server for a peer's request, if one is free.
func (d *Driver) takePermitForPeer(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.TakePermitForPeer(d.clock.Now(), id)
}

// grant answers a request for a grant, for a peer or this instance. ok is false if the server gets no requests.
func (d *Driver) grant(in passthrough.GrantRequest) (out passthrough.Grant, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.world.UnknownLimit(in); ok {
		d.applyLocked(passthrough.PeerLimits{Limits: []passthrough.PeerLimit{l}})
	}
	return d.world.Grant(d.clock.Now(), in)
}

// seniorHolders returns the instances that rank before this one as holders of the server.
func (d *Driver) seniorHolders(server string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.SeniorHolders(server)
}

// releasePermitForPeer gives a permit back.
func (d *Driver) releasePermitForPeer(of passthrough.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(passthrough.PeerPermitReleased{Server: of})
}

// isLeaving reports whether the server is leaving, whichever way it is known.
func (d *Driver) isLeaving(s passthrough.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.IsLeaving(s)
}

// Load returns the number of queued and of running requests.
func (d *Driver) Load() (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.RequestCounts()
}

// Streams returns the number of streams that are queued or running.
func (d *Driver) Streams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.StreamCount()
}

// applyLocked applies events and passes on the resulting commands. The lock is held.
func (d *Driver) applyLocked(events ...passthrough.Event) {
	var assumed []passthrough.Event
	for _, c := range d.world.Tick(d.clock.Now(), events...) {
		switch c := c.(type) {
		case passthrough.Dispatch:
			d.send(c.Request, c)
		case passthrough.Refuse:
			d.send(c.Request, c)
		case passthrough.Finish:
			d.send(c.Request, c)
		case passthrough.Observation:
			d.onObservation(c)
		case passthrough.CrashSuspected:
			d.onCrash(c)
		case passthrough.RefreshServers:
			d.requestServerRead()
		case passthrough.SlowStartBegun:
			d.onSlowStart(c)
		case passthrough.RateLimitChanged:
			d.onLimitChanged(c)
		case passthrough.ServerLeaving:
			d.onServerLeaving(c)
		case passthrough.BackoffStated:
			d.onBackoff(c)
		case passthrough.BrittleChanged:
			d.anyBrittle.Store(d.anyBrittle.Load() || c.Brittle)
			d.onBrittle(c)
		case passthrough.PartsQuarantined:
			d.onPartsQuarantined(c)
		case passthrough.SpeedChanged:
			d.onSpeed(c)
		case passthrough.ServerEjected:
			d.onEjected(c)
		case passthrough.Withdraw:
			if t := d.tickets[c.Request]; t != nil && t.withdraw != nil {
				t.withdraw()
			}
		case passthrough.PathChanged:
			d.onPathChanged(c)
		case passthrough.ProbePath:
			if d.onProbe != nil {
				d.onProbe(c.Server)
				continue
			}
			assumed = append(assumed, passthrough.DialEnded{Server: c.Server, Outcome: passthrough.DialSucceeded})
		}
	}
	if len(assumed) > 0 {
		d.applyLocked(assumed...)
	}
}

// send passes a command to its request, unless the request was closed. The lock is held.
func (d *Driver) send(id passthrough.RequestID, c passthrough.Command) {
	if t := d.tickets[id]; t != nil {
		t.commands <- c
	}
}
