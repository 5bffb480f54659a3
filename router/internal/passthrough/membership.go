package passthrough

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
)

// firstStartSpread is the time over which the instances announce themselves when the whole system
// starts for the first time and all processes start within 0.3 s. Future collectors announce
// themselves first, so that the others find them and need no call to the store. No caller is served
// yet.
const firstStartSpread = 1200 * time.Millisecond

// joinTimeout bounds the read of the list of instances. The store answers in 4 ms, and in half a
// second if hundreds of small instances start at once. An instance that gets no answer in time reads
// all topics from the store itself. With a timeout of 100 ms, half of 295 instances do so, with five
// calls each, and are ready only after 1.5 s.
const joinTimeout = 700 * time.Millisecond

// join reads the list of instances in this failure domain and announces this one. On the first
// start of the system it waits for its turn.
func (s *sharing) join(ctx context.Context, firstStart bool) {
	if s.self.Address == "" {
		return
	}
	if firstStart {
		sleep(ctx, time.Duration(s.self.AnnounceOrder()*float64(firstStartSpread)), nil)
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !s.readMembers(ctx, s.self.Domain) {
		return
	}
	s.reportCounts()
	if !s.listed.Load() {
		s.announceSelf(ctx)
	}
}

// logStoreLost logs a failed call on the list of instances.
func (s *sharing) logStoreLost(err error) {
	s.telemetry.emit(logging.EventStoreLost, slog.String("topic", topicInstances), slog.String(logging.KeyError, err.Error()))
}

// readMembers reads a failure domain's members from the store itself, and reports whether that
// succeeded.
func (s *sharing) readMembers(ctx context.Context, domain string) bool {
	snap, err := s.store.Instances(domain).Newest(ctx)
	if err != nil {
		s.logStoreLost(err)
		return false
	}
	s.applyMembers(snap.Records)
	return true
}

// announceSelf writes this instance's entry, through its collector if it has one.
func (s *sharing) announceSelf(ctx context.Context) {
	s.announcedAt = s.clock.Now()
	text, err := json.Marshal(s.self)
	if err == nil {
		err = s.instances.Append(ctx, keyedlog.AnyPosition, keyedlog.Record{Key: s.self.Name, Value: text})
	}
	if err != nil {
		s.logStoreLost(err)
	}
}

// reannounceAfter is how long after an announcement an instance that is not listed announces itself
// again.
const reannounceAfter = 5 * time.Second

// reannounceIfMissing announces this instance again if the store does not list it, since the others
// would count too small a fleet.
func (s *sharing) reannounceIfMissing(ctx context.Context) {
	if !s.listed.Load() && s.clock.Now().Sub(s.announcedAt) > reannounceAfter {
		s.announceSelf(ctx)
	}
}

func (s *sharing) applyMembers(list []keyedlog.Record) {
	for _, r := range list {
		s.applyMember(r)
	}
}

// applyMember applies one entry of the list of instances.
func (s *sharing) applyMember(r keyedlog.Record) {
	if len(r.Value) == 0 {
		return
	}
	var m relay.Member
	if err := json.Unmarshal(r.Value, &m); err != nil {
		s.telemetry.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if m == s.self {
		s.listed.Store(true)
	}
	s.addMember(m)
}

// addMember adds or updates an instance.
func (s *sharing) addMember(m relay.Member) {
	if m.Tunnel != "" && m.Name != s.self.Name && slices.Contains(s.regionDomains, m.Domain) {
		s.tunnelPeers.Add(reach.Peer{Name: m.Name, Address: m.Tunnel, Domain: m.Domain})
	}
	if !s.members.Knows(m) {
		s.members.Add(m)
	}
}

// reportCounts calls onFleetCount if the number of instances has changed, and onPeers if their number
// in this failure domain has.
func (s *sharing) reportCounts() {
	if peers := int64(s.members.DomainSize()); s.reportedPeers.Swap(peers) != peers {
		s.onPeers(s.members.DomainNames())
	}
	n := s.members.FleetSize()
	if s.reportedCount.Swap(int64(n)) != int64(n) {
		s.onFleetCount(n)
	}
}

// fleetCountInterval is the time between two counts of the other failure domains' instances. The
// shared retry budget tolerates a fleet that is up to 15% larger than counted (fleetSizeMargin in
// decision/passthrough).
const fleetCountInterval = 30 * time.Second

// fleetSettleInterval is the same as long as the number changes, as it does when the system starts.
const fleetSettleInterval = 2 * time.Second

// runCollector writes the followers' announcements and counts the fleet, if this instance is to do
// so, until ctx ends.
func (s *sharing) runCollector(ctx context.Context) {
	countedAt, interval, counted := time.Time{}, fleetSettleInterval, 0
	for ctx.Err() == nil {
		s.writeFollowers(ctx)
		if s.countsFleet() && s.clock.Now().Sub(countedAt) >= interval {
			countedAt = s.clock.Now()
			s.countFleet(ctx)
			interval = fleetCountInterval
			if n := s.members.KnownCount(); n != counted {
				counted, interval = n, fleetSettleInterval
			}
		}
		sleep(ctx, followerWriteInterval, nil)
	}
}

// countFleet counts the instances of all failure domains; s.server passes the sum on to the
// followers. Each failure domain has a list of its own to keep the reads at a simultaneous start
// small: with one list, 295 instances would read 20 MB from the store.
func (s *sharing) countFleet(ctx context.Context) {
	for _, domain := range s.otherDomains {
		s.readMembers(ctx, domain)
	}
	s.reportCounts()
}

const (
	// tunnelSearchInterval is the time between two searches for peers in other failure domains.
	tunnelSearchInterval = time.Second
	// tunnelSearchDomains is how many failure domains' lists a search reads.
	tunnelSearchDomains = 2
)

// findTunnelPeers reads the lists of some other failure domains, unless that was done a short time ago. It
// does not block.
//
// Load: all instances of a failure domain are cut off from the backend servers, and most of them know only
// each other. Harm prevented: none of their callers is served, although other failure domains have a path.
// The lists are read by those that need them, a few at a time, since all instances reading all lists would
// cost the store as much as a simultaneous start.
func (s *sharing) findTunnelPeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	domains := s.otherRegionDomains()
	if len(domains) == 0 || now.Before(s.tunnelSearchAt) {
		return
	}
	s.tunnelSearchAt = now.Add(tunnelSearchInterval)
	rand.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		for _, domain := range domains[:min(tunnelSearchDomains, len(domains))] {
			s.readMembers(ctx, domain)
		}
	}()
}

// otherRegionDomains returns the other failure domains of the own region.
func (s *sharing) otherRegionDomains() []string {
	return slices.DeleteFunc(slices.Clone(s.regionDomains), func(d string) bool { return d == s.self.Domain })
}

const (
	// The lists of the region's other failure domains are asked for every regionAskInterval, and every
	// regionSettleInterval while they change, as they do when the system starts.
	regionAskInterval    = 15 * time.Second
	regionSettleInterval = 1500 * time.Millisecond
	// regionAskSpread is the fraction of an interval over which the questions of several instances are spread.
	regionAskSpread = 0.3
	// regionReadInterval is the time between two reads of these lists from the store.
	regionReadInterval = 10 * time.Second
)

// runRegion keeps the lists of the region's other failure domains until ctx ends: the holders of the rate of a backend
// server are instances of its failure domain. They are asked for in advance, as the requests of a whole region may arrive
// at any few instances from one moment to the next.
//
// Load: 880 instances in 24 failure domains; a list of a region of eight domains has 300 instances and 40 KB, which a
// collector sends to each of its followers. Harm prevented: all instances read all lists from the store.
func (s *sharing) runRegion(ctx context.Context) {
	domains := s.otherRegionDomains()
	known := 0
	for ctx.Err() == nil && len(domains) > 0 {
		s.askRegion(ctx, domains)
		interval := regionAskInterval
		if n := len(s.members.In(domains)); n != known || n == 0 {
			known, interval = n, regionSettleInterval
		}
		s.passOnRegion(domains)
		sleep(ctx, interval+rand.N(time.Duration(regionAskSpread*float64(interval))), nil)
	}
}

// askRegion asks the collector for the instances of the failure domains. An instance that has none counts the fleet
// itself, or reads the lists if it needs them.
func (s *sharing) askRegion(ctx context.Context, domains []string) {
	members, err := s.client.Members(ctx, domains)
	if err == nil {
		for _, m := range members {
			s.addMember(m)
		}
		return
	}
	if now := s.clock.Now(); !s.countsFleet() && s.lacksRemotePeers() && !now.Before(s.regionReadAt) {
		s.regionReadAt = now.Add(regionReadInterval)
		for _, domain := range domains {
			s.readMembers(ctx, domain)
		}
	}
}

// passOnRegion calls onRemotePeers with the instances of the failure domains.
func (s *sharing) passOnRegion(domains []string) {
	for _, domain := range domains {
		if names := s.members.RemoteNames(domain); len(names) > 0 {
			s.onRemotePeers(domain, names)
		}
	}
}

// followerWriteInterval is the time between two writes of the followers' announcements. They need
// not be listed sooner: other instances read from those that were listed before.
const followerWriteInterval = time.Second

// writeFollowers writes the announcements of followers. If the write fails they are lost, and the
// followers announce themselves again.
func (s *sharing) writeFollowers(ctx context.Context) {
	records := s.takeHeldRecords(topicInstances)
	if len(records) == 0 {
		return
	}
	if err := s.store.Instances(s.self.Domain).Append(ctx, keyedlog.AnyPosition, records...); err != nil {
		s.logStoreLost(err)
	}
}

// countsFleet reports whether this instance counts the fleet: it does if it reads the store itself
// and either is a collector or ranks first among the members. In an outage of the store all instances
// read it themselves, but must not all count.
func (s *sharing) countsFleet() bool {
	return s.instances.ReadsStore() && (s.members.RanksFirst() || s.server.IsCollector())
}

// membersReadWait is how long a read of the list of instances waits for a new entry.
const membersReadWait = 10 * time.Second

// reader returns a reader of the list of instances in this failure domain.
func (s *sharing) reader(ctx context.Context) *topicReader {
	return &topicReader{
		name: topicInstances, log: s.instances, clock: s.clock, telemetry: s.telemetry,
		wait: func() time.Duration { return membersReadWait }, longestRetryDelay: slowRetryDelay,
		pause:      func() time.Duration { return time.Second },
		onRecord:   s.applyMember,
		onSnapshot: s.applyMembers,
		onRestore: func() {
			// The restored store may lack this instance's entry. Unless the snapshot has it, the
			// instance announces itself at once.
			s.listed.Store(false)
			s.announcedAt = time.Time{}
		},
		onRead: func() {
			s.reannounceIfMissing(ctx)
			s.reportCounts()
		},
	}
}
