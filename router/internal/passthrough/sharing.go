package passthrough

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
	"masticplank.example/router/internal/tunnel"
)

// sharing lets the instances of a failure domain share their reads of the store: a collector reads
// the store, and its followers read from the collector.
type sharing struct {
	self relay.Member
	// bounds are what followers' connections may use.
	bounds    connlimit.Bounds
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
	// heldRecords are records of followers, by topic, that are to be written together with this
	// instance's records. onHeldRecords is called when observations were added to them.
	heldRecords   map[string][]keyedlog.Record
	onHeldRecords func()
	// onFleetCount is called with the number of instances when it changes; reportedCount is the
	// last number.
	onFleetCount  func(int)
	reportedCount atomic.Int64
	// onPeers is called with the names of this failure domain's instances when their number
	// changes; reportedPeers is the last number.
	onPeers       func([]string)
	reportedPeers atomic.Int64
	// onRemotePeers is called with the names of the instances of another failure domain of the region, often with the
	// same ones. lacksRemotePeers reports whether some are needed that are not known; the lists are then read from the
	// store if no collector has them, but not before regionReadAt.
	onRemotePeers    func(domain string, names []string)
	lacksRemotePeers func() bool
	regionReadAt     time.Time
	// tunnelPeers are the instances through which this one can send requests. The lists of other failure
	// domains are not read for them before tunnelSearchAt.
	tunnelPeers    *tunnel.Peers
	tunnelSearchAt time.Time
	// regionDomains are the failure domains of the own region: requests leave it neither to a server nor to
	// a peer that the operator has not named.
	regionDomains []string
	// otherDomains are the other failure domains.
	otherDomains []string
	// listed is true if the store has this instance's current entry; announcedAt is when the
	// entry was last written.
	listed      atomic.Bool
	announcedAt time.Time
}

// The names of the topics in messages between instances and in logs.
const (
	topicOperator     = "operator"
	topicServers      = "servers"
	topicStatus       = "status"
	topicObservations = "observations"
	topicInstances    = "instances"
)

const (
	// maxOperatorAgeFraction is the age of a collector's configuration, as a fraction of the
	// revocation bound, from which a follower reads the store itself: a collector that works
	// is at most two of its own waits behind.
	maxOperatorAgeFraction = 0.36
	// maxServersAgeFraction is the same for the server list, as a fraction of the time for
	// which a leaving server may still get requests.
	maxServersAgeFraction = 0.65
	// maxOtherAge is the same for the other topics. It is practically no limit, since a collector
	// passes on their records at once.
	maxOtherAge = time.Hour
)

func newSharing(cfg seam.Settings, store Store, records Records, tel *telemetry, clock Clock) *sharing {
	s := &sharing{
		bounds: connPlan(cfg).Peers,
		self:   relay.Member{Name: cfg.Instance, Domain: cfg.Domain, Address: cfg.PeerAddr, Cores: cfg.Cores, Tunnel: cfg.TunnelAddr},
		store:  store, telemetry: tel, clock: clock, heldRecords: map[string][]keyedlog.Record{}, onHeldRecords: func() {}, onFleetCount: func(int) {},
		onPeers: func([]string) {}, onRemotePeers: func(string, []string) {}, lacksRemotePeers: func() bool { return false },
		tunnelPeers: tunnel.NewPeers(clock.Now, reach.Peer{Name: cfg.Instance, Address: cfg.TunnelAddr, Domain: cfg.Domain}, cfg.RegionDomains),
	}
	for _, domain := range cfg.Domains {
		if domain != cfg.Domain {
			s.otherDomains = append(s.otherDomains, domain)
		}
	}
	s.regionDomains = cfg.RegionDomains
	s.members = relay.NewMembers(s.self, 1+len(s.otherDomains), clock.Now)
	s.client = relay.NewClient(s.members, clock.Now)
	onCollectorChange := func(topic, name string) {
		tel.emit(logging.EventCollector, slog.String("topic", topic), slog.String("collector", name))
	}
	caches := map[string]*relay.Cache{}
	topic := func(name string, log keyedlog.Log, maxAge time.Duration) *relay.Log {
		equal := equalServers(records)
		if name != topicServers {
			equal = nil
		}
		caches[name] = relay.NewCache(clock.Now, equal)
		return relay.NewLog(name, log, s.client, caches[name], maxAge, onCollectorChange)
	}
	s.operator = topic(topicOperator, store.Operator(), fractionOf(maxOperatorAgeFraction, cfg.Bounds.RevocationDelay))
	s.servers = topic(topicServers, store.Servers(), fractionOf(maxServersAgeFraction, cfg.Bounds.Drain))
	s.servers.CrossDomain = true
	s.operator.Urgent = true
	s.status = topic(topicStatus, store.Status(), maxOtherAge)
	s.observations = topic(topicObservations, store.Observations(), maxOtherAge)
	s.instances = topic(topicInstances, store.Instances(cfg.Domain), maxOtherAge)
	s.server = relay.NewServer(clock.Now, caches, s.holdRecords, s.members.FleetSize)
	s.server.MembersIn = s.members.In
	return s
}

// fractionOf returns the fraction f of a bound.
func fractionOf(f float64, bound time.Duration) time.Duration {
	return time.Duration(f * float64(bound))
}

// equalServers returns a function that reports whether two entries of a backend server are equal in all
// fields that are used. Most entries are heartbeats, which change no such field.
func equalServers(records Records) func(a, b keyedlog.Record) bool {
	return func(a, b keyedlog.Record) bool {
		serverA, errA := records.Server(a)
		serverB, errB := records.Server(b)
		return errA == nil && errB == nil && serverA == serverB
	}
}

// maxHeldRecords and maxHeldBytes bound the records of a topic that are held for followers.
const (
	maxHeldRecords = 1000
	maxHeldBytes   = 4 << 20
)

// recordBytes sums the sizes of records.
func recordBytes(records []keyedlog.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// holdRecords accepts a follower's records to be written later. It returns keyedlog.ErrRejected for
// a topic that followers do not write, and keyedlog.ErrNotApplied past maxHeldRecords or maxHeldBytes.
func (s *sharing) holdRecords(topic string, records []keyedlog.Record) error {
	if topic != topicObservations && topic != topicInstances {
		return keyedlog.ErrRejected // followers write to no other topic
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.heldRecords[topic]
	if len(held)+len(records) > maxHeldRecords || recordBytes(held)+recordBytes(records) > maxHeldBytes {
		return keyedlog.ErrNotApplied
	}
	s.heldRecords[topic] = append(s.heldRecords[topic], records...)
	if topic == topicObservations {
		s.onHeldRecords()
	}
	return nil
}

// takeHeldRecords returns and removes the held records of a topic.
func (s *sharing) takeHeldRecords(topic string) []keyedlog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.heldRecords[topic]
	delete(s.heldRecords, topic)
	return out
}

// listen serves the followers until ctx ends.
func (s *sharing) listen(ctx context.Context) error {
	if s.self.Address == "" {
		return nil
	}
	l, err := connlimit.Listen(s.self.Address, s.bounds, nil)
	if err != nil {
		return err
	}
	s.telemetry.emit(logging.EventListening, slog.String("addr", l.Addr().String()))
	go s.server.Serve(ctx, l)
	return nil
}
