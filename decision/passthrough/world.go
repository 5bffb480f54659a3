package passthrough

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"masticplank.example/decision/internal/culprit"
	"masticplank.example/decision/outlier"
	"masticplank.example/decision/speed"
)

// Settings are the limits of the decisions. Most come from the platform's settings.
type Settings struct {
	// Seed of all random choices; equal seeds give equal choices.
	Seed uint64
	// Domain is the instance's own failure domain, Domains all that have instances.
	Domain  string
	Domains []string
	// RetryRatio, RetrySlack and RetryWindow bound the retries at a service: in each window,
	// RetryRatio times the requests plus this instance's part of RetrySlack, which all instances
	// share.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// SessionTTL is how long a session lives after its last request.
	SessionTTL time.Duration
	// All instances together may send a server in slow start at most its rate times SlowStartBurst,
	// plus SlowStartSlack, in any second.
	SlowStartBurst float64
	SlowStartSlack float64
	// SharedAdmission is true if the instances decide together which requests get a service's room.
	SharedAdmission bool
}

// maxSessions bounds the session table.
const maxSessions = 8192

// World holds the tables. It is not safe for concurrent use: a single owner calls Tick.
type World struct {
	cfg     Settings
	rng     *rand.Rand
	servers map[string]*server
	// departed are processes that are no longer listed, with what is known of them.
	departed *simplelru.LRU[serverProcess, *server]
	services map[string]*service
	requests map[RequestID]*request
	rollouts map[string]*Rollout
	// revertedVersions are the versions whose roll-out was reverted, or replaced by another one before its end.
	revertedVersions map[versionKey]bool
	// provenVersions are the versions that served while another one was rolled out, or whose roll-out was completed.
	provenVersions map[versionKey]bool
	sessions       *simplelru.LRU[string, sessionEntry]
	// keptOnOldVersion are the sessions that stay at the old version, at least through a
	// roll-out's first half.
	keptOnOldVersion map[string]bool
	crashes          crashes
	// speeds is what is known of the servers' speeds.
	speeds speed.Table
	// outliers finds the servers that fail requests, by the evidence of all instances; it is empty for services
	// whose instances do not pool their evidence.
	outliers *outlier.Table
	// culprits finds the parts of prompts that crash servers.
	culprits *culprit.Finder
	// begun are the responses that servers have not survived yet, in the order in which they began.
	begun  []begunResponse
	routes map[string]*routeStats
	// drained are the failure domains that get no new requests.
	drained map[string]bool
	// lostServers are, by failure domain, the servers lost since any server there last responded.
	lostServers map[string]map[*server]bool
	// path is the state of this instance's path to the servers.
	path       path
	neighbours neighbours
	// remoteNeighbours are the known instances of other failure domains, by domain; remoteVersion changes with them.
	remoteNeighbours map[string]*neighbours
	remoteVersion    int
	// limitedServers are the servers whose rate limit, or its end, may have to be reported to peers.
	limitedServers map[*server]bool
	// peerLoadsAt is when the last load report of the peers arrived; reportedByPeers are the
	// servers in it. serversByKey finds servers by their key in load reports.
	peerLoadsAt     time.Time
	reportedByPeers []*server
	serversByKey    map[uint32]*server
	// listVersion changes with the list of servers.
	listVersion int
	// serversByProcess finds the listed servers by the hashes of their processes.
	serversByProcess map[uint64]*server
	// leavingServers are the servers that stated to this instance that they are leaving, as long as this
	// may have to be reported to peers.
	leavingServers map[*server]bool

	// shared is what decides on admission together with the other instances.
	shared sharedAdmission
	// fleetSize is the number of instances; 0 if unknown.
	fleetSize int
	// endsAt is when this instance stops; zero if it is not stopping.
	endsAt   time.Time
	now      time.Time
	commands []Command
	// freed are the services that may have got a free slot in this tick.
	freed []*service
	// views, eligible and timely are reused between decisions to save allocations.
	views    []serverView
	eligible []serverView
	timely   []serverView
}

// New returns an empty world. It refuses all requests until it has a list of backend servers.
func New(cfg Settings) *World {
	const stream = 0x70617373 // arbitrary: there is one random stream per world
	return &World{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(cfg.Seed, stream)),
		servers:          map[string]*server{},
		departed:         newLRU[serverProcess, *server](maxDepartedServers),
		services:         map[string]*service{},
		requests:         map[RequestID]*request{},
		rollouts:         map[string]*Rollout{},
		revertedVersions: map[versionKey]bool{},
		provenVersions:   map[versionKey]bool{},
		sessions:         newLRU[string, sessionEntry](maxSessions),
		keptOnOldVersion: map[string]bool{},
		crashes:          newCrashes(),
		outliers:         outlier.New(cfg.Seed),
		culprits:         culprit.NewFinder(),
		path:             newPath(),
		routes:           map[string]*routeStats{},
		lostServers:      map[string]map[*server]bool{},
		remoteNeighbours: map[string]*neighbours{},
		limitedServers:   map[*server]bool{},
		serversByKey:     map[uint32]*server{},
		serversByProcess: map[uint64]*server{},
		leavingServers:   map[*server]bool{},
	}
}

// newLRU returns a cache of the size, which is at least 1.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	cache, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return cache
}

// Tick applies the events in order, dispatches queued requests where possible and returns the
// commands. They are valid until the next Tick.
func (w *World) Tick(now time.Time, in ...Event) []Command {
	if now.After(w.now) {
		w.now = now
	}
	if w.shared.startedAt.IsZero() {
		w.shared.startedAt = w.now
	}
	w.commands = w.commands[:0]
	w.freed = w.freed[:0]
	w.observeSurvivals()
	for _, e := range in {
		w.apply(e)
	}
	w.refuseOutliving()
	w.releaseHeldAfter(heldReportDelay)
	w.wakeDueServices()
	w.dispatchQueued()
	w.releaseForLarger()
	return w.commands
}

// apply applies one event to the tables.
func (w *World) apply(e Event) {
	switch e := e.(type) {
	case Configured:
		w.configure(e.Index)
	case ServersListed:
		w.setServers(e.Servers)
	case RequestArrived:
		w.arrive(e.Request)
	case RequestCancelled:
		w.cancel(e.Request)
	case QueueWaitExpired:
		w.queueWaitExpired(e.Request)
	case AttemptEnded:
		w.attemptEnded(e)
	case LoadReported:
		w.observeLoad(e)
	case FirstByte:
		w.observeFirstByte(e)
	case DialEnded:
		w.observeDial(e)
	case ServerStated:
		w.observeStatement(e)
	case EventIntervalMeasured:
		w.observeFirstPace(e)
		w.observeEventInterval(e)
	case PeerCrashes:
		w.crashes.record(e.Fingerprint, e.Count, w.now)
	case FirstEvent:
		w.observeFirstEvent(e)
	case PeerEvidence:
		w.applyPeerEvidence(e)
	case PeerVerdicts:
		w.applyPeerVerdicts(e.Verdicts)
	case FleetSize:
		w.setFleetSize(e.Instances)
	case PeerSessions:
		w.keepOnOldVersion(e.Sessions)
	case Stopping:
		w.endsAt = e.At
	case DomainsDrained:
		w.setDrained(e.Domains)
	case Neighbours:
		w.setNeighbours(e)
	case RemoteNeighbours:
		w.setRemoteNeighbours(e)
	case PeerLoads:
		w.applyPeerLoads(e)
	case PeerLimits:
		w.applyPeerLimits(e.Limits)
	case PeerLeaving:
		w.applyPeerLeaving(e.Processes)
	case ConnectionReset:
		w.observeReset(e)
	case PeerSpeeds:
		w.applyPeerSpeeds(e)
	case PeerOutliers:
		w.applyPeerOutliers(e)
	case PeerDemand:
		w.applyPeerDemand(e)
	case PeerPermitReleased:
		w.releasePermitForPeer(e.Server)
	case PeerBrittle:
		w.applyPeerBrittle(e.PerSecond)
	case RolloutUpdated:
		w.setRollout(e.Rollout)
	}
}

// emit adds a command to those that Tick returns.
func (w *World) emit(c Command) { w.commands = append(w.commands, c) }

// setRollout applies the state of a roll-out. A new order clears the sessions that are kept at the
// old version, of all services.
func (w *World) setRollout(r Rollout) {
	if old := w.rollouts[r.Service]; old == nil || old.Order != r.Order {
		clear(w.keptOnOldVersion)
		w.replaceRollout(old, r)
	}
	key := versionKey{r.Service, r.Target}
	if r.Phase == PhaseReverted {
		w.revertedVersions[key] = true
	} else {
		delete(w.revertedVersions, key)
	}
	w.rollouts[r.Service] = &r
	w.markFreed(w.serviceOf(r.Service))
}

// replaceRollout applies that the order of a roll-out replaces another one; old is nil for none. If the replaced roll-out
// has not ended, its target is left out as a reverted version is, unless it served before any roll-out to it.
//
// Load: the operator orders the old version again while a bad one is rolled out. Harm prevented: the bad version counts as the
// old one, and gets nearly all requests.
func (w *World) replaceRollout(old *Rollout, r Rollout) {
	for _, srv := range w.servers {
		key := versionKey{srv.Service, srv.Version}
		isTarget := srv.Version == r.Target || old != nil && srv.Version == old.Target && !old.Phase.Ended()
		if srv.Service == r.Service && !isTarget && !w.revertedVersions[key] {
			w.provenVersions[key] = true
		}
	}
	if old == nil {
		return
	}
	key := versionKey{old.Service, old.Target}
	if old.Phase == PhaseCompleted {
		w.provenVersions[key] = true
	}
	if !old.Phase.Ended() && old.Target != r.Target && !w.provenVersions[key] {
		w.revertedVersions[key] = true
	}
}

// StreamCount is the number of streams that are queued or running.
func (w *World) StreamCount() int {
	count := 0
	for _, r := range w.requests {
		if r.Route.Kind == KindStream {
			count++
		}
	}
	return count
}

// RequestCounts returns how many requests are queued and how many are at backend servers.
func (w *World) RequestCounts() (waiting, running int) {
	for _, r := range w.requests {
		if r.queued || r.waitsForLarger {
			waiting++
		} else {
			running++
		}
	}
	return waiting, running
}
