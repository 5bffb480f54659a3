package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance that may collect.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Cores is the part of a core that it has: the strong ones collect first.
	Cores float64 `json:"cores"`
}

// Turn is when the member should make itself known among others that start at the same time,
// from 0 to 1: the strong ones early, since they collect, and others in the order of their rank.
func (m Member) AnnounceOrder() float64 {
	const strongWeight = 3 // of four parts: a strong instance goes before any small one
	weak := 1 - min(max(m.Cores, 0), 1)
	hash := float64(xxhash.Sum64String(m.Name)) / math.MaxUint64
	return (strongWeight*weak + hash) / (strongWeight + 1)
}

const (
	// failedFor is how long a collector that gave no answer is passed over: about as long
	// as an instance needs to start again. It doubles up to failedMost for one that is
	// gone for good.
	minMemberBackoff = time.Second
	maxMemberBackoff = time.Minute
	// mostTried is how many ranks are tried before the store is read. A third of the
	// instances may be without the store at once: with two tries every ninth failure domain
	// had no collector then, and all its instances read for themselves.
	maxCandidates = 3
	// farTried is the same for collectors of other failure domains: a cut between two of these
	// must not hold up what the store tells at once.
	maxRemoteCandidates = 1
)

// Members ranks the instances of a failure domain.
type Members struct {
	self Member
	now  func() time.Time
	// domains is the number of failure domains.
	domainCount int

	mu sync.Mutex
	// fleet is the most instances that a collector has told of.
	reportedFleetSize int
	// all are the names of the instances of every failure domain.
	allNames map[string]bool
	local    map[string]Member
	ranked   []Member
	// heads are the first of each other failure domain, in rank.
	remote   map[string][]Member
	backoffs map[string]memberBackoff
}

// failure is how long a member is passed over.
type memberBackoff struct {
	until    time.Time
	duration time.Duration
}

// NewMembers returns the members that are known at first: this instance alone, in one of so
// many failure domains.
func NewMembers(self Member, domainCount int, now func() time.Time) *Members {
	m := &Members{self: self, domainCount: domainCount, now: now, allNames: map[string]bool{}, local: map[string]Member{}, remote: map[string][]Member{}, backoffs: map[string]memberBackoff{}}
	m.Add(self)
	return m
}

// Add takes in a member.
func (m *Members) Add(in Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.Name == "" || in.Address == "" {
		return
	}
	m.allNames[in.Name] = true
	if in.Domain != m.self.Domain {
		m.addRemote(in)
		return
	}
	m.local[in.Name] = in
	delete(m.backoffs, in.Name)
	m.ranked = m.ranked[:0]
	for _, x := range m.local {
		m.ranked = append(m.ranked, x)
	}
	slices.SortFunc(m.ranked, compareRank)
}

// byRank orders members: the strong ones first, then by a hash of their names.
func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// headsMost is how many members of another failure domain are kept: one that does not answer is
// passed over for the next.
const maxRemotePerDomain = 2

// addHead takes in a member of another failure domain.
func (m *Members) addRemote(in Member) {
	candidates := slices.DeleteFunc(m.remote[in.Domain], func(x Member) bool { return x.Name == in.Name })
	candidates = append(candidates, in)
	slices.SortFunc(candidates, compareRank)
	m.remote[in.Domain] = candidates[:min(len(candidates), maxRemotePerDomain)]
}

// FarCollectors are the instances of other failure domains to ask, in order, by one that reads
// the store for its own: those that rank before it and are not passed over. There is none where
// this one ranks before all, or does not know the others yet.
func (m *Members) RemoteCollectors() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	for _, candidates := range m.remote {
		for _, x := range candidates {
			if compareRank(x, m.self) < 0 && !now.Before(m.backoffs[x.Name].until) {
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, compareRank)
	return out[:min(len(out), maxRemoteCandidates)]
}

// Collectors are the instances to ask, in order: those that rank before this one and are
// not passed over. There is none where this one reads the store itself.
func (m *Members) Collectors() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	counted := 0
	for _, x := range m.ranked {
		backoff := m.backoffs[x.Name]
		skipped := now.Before(backoff.until)
		switch {
		case x.Name == m.self.Name, counted == maxCandidates:
			return out
		case !skipped:
			out = append(out, x)
		case backoff.duration == maxMemberBackoff:
			continue // it is gone for good
		}
		counted++
	}
	return out
}

// Failed passes a member over for a while. All topics find a dead member at once: the first
// word on it counts, or one short outage would keep a member out for a minute.
func (m *Members) Failed(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if now.Before(m.backoffs[name].until) {
		return
	}
	duration := min(max(2*m.backoffs[name].duration, minMemberBackoff), maxMemberBackoff)
	m.backoffs[name] = memberBackoff{until: now.Add(duration), duration: duration}
}

// Answered forgets a member's failures.
func (m *Members) Answered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backoffs, name)
}

// Forgive forgets all failures.
func (m *Members) ClearFailures() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.backoffs)
}

// First says whether this instance ranks first, whoever answers. One without an address
// knows nobody, and reads by itself.
func (m *Members) RanksFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ranked) == 0 || m.ranked[0].Name == m.self.Name
}

// Count is the number of instances of all failure domains that ever were known, here or to a
// collector: an upper bound, up to those that have started a moment ago. Until they are counted,
// the other failure domains are thought to be as large as this one.
func (m *Members) FleetSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.allNames), m.reportedFleetSize, m.domainCount*len(m.local))
}

// Told takes in a collector's count of the instances.
func (m *Members) RaiseFleetSize(fleet int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedFleetSize = max(m.reportedFleetSize, fleet)
}

// Names are the names of the instances of this failure domain that ever were known, this one
// among them.
func (m *Members) DomainNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.local))
}

// Near is the number of instances of this failure domain that ever were known.
func (m *Members) DomainSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.local)
}

// Knows says whether the member is known as given.
func (m *Members) Knows(in Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local[in.Name] == in
}
