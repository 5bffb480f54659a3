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

// Member is an instance that may become a collector.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Cores is the number of CPU cores that the instance may use; those with more become collectors
	// first.
	Cores float64 `json:"cores"`
	// Tunnel is the address on which the member accepts tunnels; empty for none.
	Tunnel string `json:"tunnel,omitempty"`
}

// AnnounceOrder returns when the member announces itself after a common start, as a fraction from 0
// to 1 of the time over which the announcements are spread: the more cores a member has, up to one,
// the earlier it comes, since it becomes a collector sooner; a hash of its name spreads members
// with equal cores.
func (m Member) AnnounceOrder() float64 {
	// Three out of four parts, so that an instance with a full core precedes every one that has no
	// more than two thirds of a core.
	const strongWeight = 3
	weak := 1 - min(max(m.Cores, 0), 1)
	hash := float64(xxhash.Sum64String(m.Name)) / math.MaxUint64
	return (strongWeight*weak + hash) / (strongWeight + 1)
}

const (
	// minMemberBackoff is how long a member that gave no answer is not asked: about as long as an
	// instance takes to restart. It doubles up to maxMemberBackoff for one that is gone for good.
	minMemberBackoff = time.Second
	maxMemberBackoff = time.Minute
	// maxCandidates is how many members are considered before the store is read. Those in backoff
	// count, except those at maxMemberBackoff. Two would be too few: with a third of the instances
	// cut off from the store, both would be cut off in one of nine failure domains, and all instances
	// there would read the store.
	maxCandidates = 3
	// maxRemoteCandidates is how many collectors of other failure domains are asked before the
	// store is read: a network partition between two failure domains must not delay what the store
	// could answer at once.
	maxRemoteCandidates = 1
)

// Members ranks the instances of a failure domain.
type Members struct {
	self Member
	now  func() time.Time
	// domainCount is the number of failure domains.
	domainCount int

	mu sync.Mutex
	// reportedFleetSize is the largest fleet size that a collector has reported.
	reportedFleetSize int
	// all are the instances of all failure domains by name.
	all    map[string]Member
	local  map[string]Member
	ranked []Member
	// remote are the first-ranked members of each other failure domain, in order of rank.
	remote   map[string][]Member
	backoffs map[string]memberBackoff
}

// memberBackoff is how long a member is not asked.
type memberBackoff struct {
	until    time.Time
	duration time.Duration
}

// NewMembers returns the initial members: this instance alone, in one of domainCount failure
// domains.
func NewMembers(self Member, domainCount int, now func() time.Time) *Members {
	m := &Members{self: self, domainCount: domainCount, now: now, all: map[string]Member{}, local: map[string]Member{}, remote: map[string][]Member{}, backoffs: map[string]memberBackoff{}}
	m.Add(self)
	return m
}

// Add adds or updates a member.
func (m *Members) Add(in Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.Name == "" || in.Address == "" {
		return
	}
	m.all[in.Name] = in
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

// compareRank orders members by their cores, most first, then by a hash of their names.
func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// maxRemotePerDomain is how many members of another failure domain are kept, so that there is a
// second one if the first does not answer.
const maxRemotePerDomain = 2

// addRemote adds or updates a member of another failure domain.
func (m *Members) addRemote(in Member) {
	candidates := slices.DeleteFunc(m.remote[in.Domain], func(x Member) bool { return x.Name == in.Name })
	candidates = append(candidates, in)
	slices.SortFunc(candidates, compareRank)
	m.remote[in.Domain] = candidates[:min(len(candidates), maxRemotePerDomain)]
}

// RemoteCollectors returns the instances of other failure domains, in order, that this instance
// asks before it reads the store for its own failure domain: up to maxRemoteCandidates that rank
// before it and are not in backoff. There are none if this instance ranks before all, or does not
// know the others yet.
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

// Collectors returns the instances to ask, in order: those that rank before this one and are not in
// backoff. There are none if this one reads the store itself.
func (m *Members) Collectors() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	considered := 0
	for _, x := range m.ranked {
		backoff := m.backoffs[x.Name]
		inBackoff := now.Before(backoff.until)
		switch {
		case x.Name == m.self.Name, considered == maxCandidates:
			return out
		case !inBackoff:
			out = append(out, x)
		case backoff.duration == maxMemberBackoff:
			continue // gone for good
		}
		considered++
	}
	return out
}

// Failed puts a member in backoff. All topics detect a dead member at the same time, so only the
// first failure counts: otherwise one short outage would exclude a member for a minute.
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

// Answered clears a member's failures.
func (m *Members) Answered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backoffs, name)
}

// ClearFailures clears the failures of all members.
func (m *Members) ClearFailures() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.backoffs)
}

// RanksFirst reports whether this instance ranks first, whether or not others answer. An instance
// without an address is not ranked; it counts as the first only while it knows no others.
func (m *Members) RanksFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ranked) == 0 || m.ranked[0].Name == m.self.Name
}

// FleetSize returns the number of instances of all failure domains that were ever known, here or to
// a collector: an upper bound, except for instances that have just started. Until they are counted,
// the other failure domains are assumed to be as large as this one.
func (m *Members) FleetSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.all), m.reportedFleetSize, m.domainCount*len(m.local))
}

// KnownCount returns the number of instances of all failure domains that were ever known here.
func (m *Members) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all)
}

// RaiseFleetSize raises the fleet size to a collector's count.
func (m *Members) RaiseFleetSize(fleet int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedFleetSize = max(m.reportedFleetSize, fleet)
}

// DomainNames returns the names of all instances of this failure domain that were ever known,
// including this one.
func (m *Members) DomainNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.local))
}

// RemoteNames returns the names of all instances of another failure domain that were ever known.
func (m *Members) RemoteNames(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, in := range m.all {
		if in.Domain == domain {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// In returns all instances of the failure domains that were ever known, ordered by name.
func (m *Members) In(domains []string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, x := range m.all {
		if slices.Contains(domains, x.Domain) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// DomainSize returns the number of instances of this failure domain that were ever known.
func (m *Members) DomainSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.local)
}

// Knows reports whether the member is known with exactly this data. It is false for members of
// other failure domains.
func (m *Members) Knows(in Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local[in.Name] == in
}
