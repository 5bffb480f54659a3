package passthrough

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Settings are the limits of the decisions; the platform's settings give most of them.
type Settings struct {
	// Seed makes every random choice repeatable.
	Seed uint64
	// Zone is the instance's own failure domain, Domains all that have instances.
	Domain  string
	Domains []string
	// RetryRatio, RetrySlack and RetryWindow bound repeats at a service: in each window
	// as many as the ratio times the requests, and this instance's part of the slack,
	// which all instances share.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// SessionLife is how long after its last request a session goes on.
	SessionTTL time.Duration
	// WarmUpBurst times a cold server's rate, and WarmUpSlack beside that, is what it may get in
	// one second from all instances.
	SlowStartBurst float64
	SlowStartSlack float64
}

// sessionTable bounds the sessions that are kept.
const maxSessions = 8192

// World holds the tables. It is not safe for concurrent use: one owner calls Tick.
type World struct {
	cfg      Settings
	rng      *rand.Rand
	servers  map[string]*server
	services map[string]*service
	requests map[RequestID]*request
	rollouts map[string]*Rollout
	// barred are the versions that were reverted, by service.
	revertedVersions map[versionKey]bool
	sessions         *simplelru.LRU[string, sessionRow]
	// keptOld are sessions that stay at the old version in a roll-out's first half.
	keptOnOldVersion map[string]bool
	crashes          crashes
	routes           map[string]*routeStats
	// drained are the failure domains that get no new work.
	drained map[string]bool
	// lost are the servers of each failure domain that were lost since one there answered.
	lostServers map[string]map[*server]bool
	neighbours  neighbours
	// limited are the servers whose rate limit, or its end, other instances may have to be told.
	limitedServers map[*server]bool
	// peerLoadsAt is when the other instances' word on their loads came in, named the servers that it
	// named, byKey all servers by what stands for them there.
	peerLoadsAt     time.Time
	reportedByPeers []*server
	serversByKey    map[uint32]*server

	// fleet is the number of instances, 0 where not known.
	fleetSize int
	// endsAt is when this instance ends, where it was told.
	endsAt   time.Time
	now      time.Time
	commands []Command
	// freed are the services in which a place may have become free in this tick.
	freed []*service
	// views and drawn are kept between decisions to save allocations.
	views    []serverView
	eligible []serverView
}

// New returns an empty world: it refuses everything until it has been told a
// configuration and backend servers.
func New(cfg Settings) *World {
	sessions, err := simplelru.NewLRU[string, sessionRow](maxSessions, nil)
	if err != nil {
		panic(err) // the library fails only for a size below 1
	}
	const stream = 0x70617373 // any constant: one stream per world
	return &World{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(cfg.Seed, stream)),
		servers:          map[string]*server{},
		services:         map[string]*service{},
		requests:         map[RequestID]*request{},
		rollouts:         map[string]*Rollout{},
		revertedVersions: map[versionKey]bool{},
		sessions:         sessions,
		keptOnOldVersion: map[string]bool{},
		crashes:          newCrashes(),
		routes:           map[string]*routeStats{},
		lostServers:      map[string]map[*server]bool{},
		limitedServers:   map[*server]bool{},
		serversByKey:     map[uint32]*server{},
	}
}

// Tick applies the events in order, places what waits, and returns what is to be done.
// The commands are valid until the next Tick.
func (w *World) Tick(now time.Time, in ...Event) []Command {
	if now.After(w.now) {
		w.now = now
	}
	w.commands = w.commands[:0]
	w.freed = w.freed[:0]
	for _, e := range in {
		w.apply(e)
	}
	w.wakeWaiting()
	w.dispatchQueued()
	return w.commands
}

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
	case EventIntervalMeasured:
		w.observeEventInterval(e)
	case PeerCrashes:
		w.crashes.record(e.Fingerprint, e.Count, w.now)
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
	case PeerLoads:
		w.applyPeerLoads(e)
	case PeerLimits:
		w.applyPeerLimits(e.Limits)
	case RolloutUpdated:
		w.setRollout(e.Rollout)
	}
}

func (w *World) emit(c Command) { w.commands = append(w.commands, c) }

func (w *World) setRollout(r Rollout) {
	if old := w.rollouts[r.Service]; old == nil || old.Order != r.Order {
		clear(w.keptOnOldVersion)
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

// Streams is the number of streams that wait or run.
func (w *World) StreamCount() int {
	count := 0
	for _, r := range w.requests {
		if r.Route.Kind == KindStream {
			count++
		}
	}
	return count
}

// Waiting is the number of requests in the queues, and Running of those at backend
// servers.
func (w *World) RequestCounts() (waiting, running int) {
	for _, r := range w.requests {
		if r.queued {
			waiting++
		} else {
			running++
		}
	}
	return waiting, running
}
