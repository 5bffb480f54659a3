package passthrough

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
)

// sharing lets the instances of a failure domain share their reads of the store.
type sharing struct {
	self      relay.Member
	store     Store
	members   *relay.Members
	client    *relay.Client
	server    *relay.Server
	telemetry *telemetry
	clock     Clock

	operator     *relay.Log
	servers      *relay.Log
	status       *relay.Log
	observations *relay.Log
	instances    *relay.Log

	mu sync.Mutex
	// held are records that followers gave, by topic, to be written with the own.
	held   map[string][]keyedlog.Record
	onHeld func()
	// counted is told how many instances there are, told what it was told last.
	onFleetCount  func(int)
	reportedCount atomic.Int64
	// neighbours is told of the instances of this failure domain, near how many it was told of.
	onPeers       func([]string)
	reportedPeers atomic.Int64
	// elsewhere are the other failure domains.
	otherDomains []string
	// listed says that the store has this instance as it is now, enlisted when it was last
	// told.
	listed      atomic.Bool
	announcedAt time.Time
}

// The topics' names among instances.
const (
	topicOperator     = "operator"
	topicServers      = "servers"
	topicStatus       = "status"
	topicObservations = "observations"
	topicInstances    = "instances"
)

const (
	// oldestOperator is the age, as a part of the revocation bound, past which a
	// collector's word on the configuration is worth a read of one's own: one that reads
	// well is at most two of its own waits behind.
	maxOperatorAgeFraction = 0.36
	// oldestServers is the same for the list, as a part of the time for which a leaving
	// server may still get requests.
	maxServersAgeFraction = 0.65
	// oldestOther is for topics that tell what they have to at once.
	maxOtherAge = time.Hour
)

func newSharing(cfg seam.Settings, store Store, records Records, j *telemetry, clock Clock) *sharing {
	s := &sharing{
		self:  relay.Member{Name: cfg.Instance, Domain: cfg.Domain, Address: cfg.PeerAddr, Cores: cfg.Cores},
		store: store, telemetry: j, clock: clock, held: map[string][]keyedlog.Record{}, onHeld: func() {}, onFleetCount: func(int) {},
		onPeers: func([]string) {},
	}
	for _, zone := range cfg.Domains {
		if zone != cfg.Domain {
			s.otherDomains = append(s.otherDomains, zone)
		}
	}
	s.members = relay.NewMembers(s.self, 1+len(s.otherDomains), clock.Now)
	s.client = relay.NewClient(s.members, clock.Now)
	changed := func(topic, name string) {
		j.emit(logging.EventCollector, slog.String("topic", topic), slog.String("collector", name))
	}
	caches := map[string]*relay.Cache{}
	topic := func(name string, log keyedlog.Log, oldest time.Duration) *relay.Log {
		same := equalServers(records)
		if name != topicServers {
			same = nil
		}
		caches[name] = relay.NewCache(clock.Now, same)
		return relay.NewLog(name, log, s.client, caches[name], oldest, changed)
	}
	s.operator = topic(topicOperator, store.Operator(), fractionOf(maxOperatorAgeFraction, cfg.Bounds.RevocationDelay))
	s.servers = topic(topicServers, store.Servers(), fractionOf(maxServersAgeFraction, cfg.Bounds.Drain))
	s.servers.CrossDomain = true
	s.operator.Urgent = true
	s.status = topic(topicStatus, store.Status(), maxOtherAge)
	s.observations = topic(topicObservations, store.Observations(), maxOtherAge)
	s.instances = topic(topicInstances, store.Instances(cfg.Domain), maxOtherAge)
	s.server = relay.NewServer(clock.Now, caches, s.holdRecords, s.members.FleetSize)
	return s
}

// part is a part of a bound.
func fractionOf(p float64, bound time.Duration) time.Duration {
	return time.Duration(p * float64(bound))
}

// sameServer says of two entries of a backend server that they differ in nothing that is
// used: most are heartbeats.
func equalServers(records Records) func(a, b keyedlog.Record) bool {
	return func(a, b keyedlog.Record) bool {
		x, errX := records.Server(a)
		y, errY := records.Server(b)
		return errX == nil && errY == nil && x == y
	}
}

// heldMost bounds the records that are held for followers.
const maxHeldRecords = 1000

// hold takes a follower's records.
func (s *sharing) holdRecords(topic string, records []keyedlog.Record) error {
	if topic != topicObservations && topic != topicInstances {
		return keyedlog.ErrRejected // followers write to no other one
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.held[topic])+len(records) > maxHeldRecords {
		return keyedlog.ErrNotDone
	}
	s.held[topic] = append(s.held[topic], records...)
	if topic == topicObservations {
		s.onHeld()
	}
	return nil
}

// take returns the held records of a topic.
func (s *sharing) takeHeld(topic string) []keyedlog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.held[topic]
	delete(s.held, topic)
	return out
}

// listen answers the followers until ctx ends.
func (s *sharing) listen(ctx context.Context) error {
	if s.self.Address == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.self.Address)
	if err != nil {
		return err
	}
	s.telemetry.emit(logging.EventListening, slog.String("addr", l.Addr().String()))
	go s.server.Serve(ctx, l)
	return nil
}
