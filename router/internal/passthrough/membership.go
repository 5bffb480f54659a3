package passthrough

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
)

// firstSpread is the time over which the instances make themselves known when the whole system
// starts for the first time, within 0.3 s: those that will collect first, so that the others
// find them and need no call of their own. Nobody is served yet.
const firstStartSpread = 1200 * time.Millisecond

// joinMost bounds the wait for the others' names: the store answers in 4 ms, and in half a
// second where hundreds of small instances start at once. Who does not hear from it reads all
// topics by itself: with a tenth of a second half of 295 did, five calls each, and were ready
// after 1.5 s.
const joinTimeout = 700 * time.Millisecond

// join makes this instance known and learns of the others.
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

// lost notes that the store did not answer on the instances.
func (s *sharing) logStoreLost(err error) {
	s.telemetry.emit(logging.EventStoreLost, slog.String("topic", topicInstances), slog.String(logging.KeyError, err.Error()))
}

// learn reads a failure domain's members from the store itself, and says whether it answered.
func (s *sharing) readMembers(ctx context.Context, domain string) bool {
	snap, err := s.store.Instances(domain).Newest(ctx)
	if err != nil {
		s.logStoreLost(err)
		return false
	}
	s.applyMembers(snap.Records)
	return true
}

// enlist makes this instance known, by its collector if it has one.
func (s *sharing) announceSelf(ctx context.Context) {
	s.announcedAt = s.clock.Now()
	text, err := json.Marshal(s.self)
	if err == nil {
		err = s.instances.Append(ctx, keyedlog.Anywhere, keyedlog.Record{Key: s.self.Name, Value: text})
	}
	if err != nil {
		s.logStoreLost(err)
	}
}

// enlistAgain is how long after an instance was told to the store it must be listed.
const reannounceAfter = 5 * time.Second

// keepListed makes this instance known once more where the store did not take it in: the
// others would hold the fleet for smaller than it is.
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

// member takes in one entry.
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
	if !s.members.Knows(m) {
		s.members.Add(m)
	}
}

// count tells of a changed number of instances, and of neighbours that joined.
func (s *sharing) reportCounts() {
	if near := int64(s.members.DomainSize()); s.reportedPeers.Swap(near) != near {
		s.onPeers(s.members.DomainNames())
	}
	n := s.members.FleetSize()
	if s.reportedCount.Swap(int64(n)) != int64(n) {
		s.onFleetCount(n)
	}
}

// censusEvery is how often the other failure domains' instances are counted: the retry budget,
// which all share, has room for a fleet that is larger than counted by a sixth.
const fleetCountInterval = 30 * time.Second

// collect does what a collector does for its followers, until ctx ends: it makes them known, and
// counts the fleet.
func (s *sharing) runCollector(ctx context.Context) {
	counted := time.Time{}
	for ctx.Err() == nil {
		s.writeFollowers(ctx)
		if s.countsFleet() && s.clock.Now().Sub(counted) >= fleetCountInterval {
			counted = s.clock.Now()
			s.countFleet(ctx)
		}
		sleep(ctx, followerWriteInterval, nil)
	}
}

// census counts the instances of all failure domains; the followers are told the sum. Each
// failure domain has a list of its own: at a start of all, 295 instances that read the list of
// all would wait for 20 MB from the store.
func (s *sharing) countFleet(ctx context.Context) {
	for _, domain := range s.otherDomains {
		s.readMembers(ctx, domain)
	}
	s.reportCounts()
}

// enlistEvery is how often a collector writes down the followers that have told it of
// themselves: they need not be known sooner, as the others ask those that were there before.
const followerWriteInterval = time.Second

// enlistFollowers writes down the instances that told this one of themselves. What is lost
// they tell again.
func (s *sharing) writeFollowers(ctx context.Context) {
	records := s.takeHeld(topicInstances)
	if len(records) == 0 {
		return
	}
	if err := s.store.Instances(s.self.Domain).Append(ctx, keyedlog.Anywhere, records...); err != nil {
		s.logStoreLost(err)
	}
}

// countsAll says whether this instance counts the fleet: it reads the store itself, for others
// or as the first in rank. In an outage of the store all read it themselves, and must not.
func (s *sharing) countsFleet() bool {
	return s.instances.ReadsStore() && (s.members.RanksFirst() || s.server.IsCollector())
}

// instancesWait is how long a read of the members waits for a new one.
const membersReadWait = 10 * time.Second

// reader follows the members.
func (s *sharing) reader(ctx context.Context) *topicReader {
	return &topicReader{
		name: topicInstances, log: s.instances, clock: s.clock, telemetry: s.telemetry,
		wait: func() time.Duration { return membersReadWait }, maxRetry: slowRetryDelay,
		pause:      func() time.Duration { return time.Second },
		onRecord:   s.applyMember,
		onSnapshot: s.applyMembers,
		onRestore: func() {
			// A copy of the store may lack this instance: unless it shows there, it is told at once.
			s.listed.Store(false)
			s.announcedAt = time.Time{}
		},
		onRead: func(time.Time, int) {
			s.reannounceIfMissing(ctx)
			s.reportCounts()
		},
	}
}
