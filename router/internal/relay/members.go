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
func (m Member) Turn() float64 {
	const strongWeight = 3 // of four parts: a strong instance goes before any small one
	weak := 1 - min(max(m.Cores, 0), 1)
	hash := float64(xxhash.Sum64String(m.Name)) / math.MaxUint64
	return (strongWeight*weak + hash) / (strongWeight + 1)
}

const (
	// failedFor is how long a collector that gave no answer is passed over: about as long
	// as an instance needs to start again. It doubles up to failedMost for one that is
	// gone for good.
	failedFor  = time.Second
	failedMost = time.Minute
	// mostTried is how many ranks are tried before the store is read. A third of the
	// instances may be without the store at once: with two tries every ninth failure domain
	// had no collector then, and all its instances read for themselves.
	mostTried = 3
	// farTried is the same for collectors of other failure domains: a cut between two of these
	// must not hold up what the store tells at once.
	farTried = 1
)

// Members ranks the instances of a failure domain.
type Members struct {
	self Member
	now  func() time.Time
	// domains is the number of failure domains.
	domains int

	mu sync.Mutex
	// fleet is the most instances that a collector has told of.
	fleet int
	// all are the names of the instances of every failure domain.
	all    map[string]bool
	list   map[string]Member
	ranked []Member
	// heads are the first of each other failure domain, in rank.
	heads  map[string][]Member
	failed map[string]failure
}

// failure is how long a member is passed over.
type failure struct {
	until time.Time
	span  time.Duration
}

// NewMembers returns the members that are known at first: this instance alone, in one of so
// many failure domains.
func NewMembers(self Member, domains int, now func() time.Time) *Members {
	m := &Members{self: self, domains: domains, now: now, all: map[string]bool{}, list: map[string]Member{}, heads: map[string][]Member{}, failed: map[string]failure{}}
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
	m.all[in.Name] = true
	if in.Domain != m.self.Domain {
		m.addHead(in)
		return
	}
	m.list[in.Name] = in
	delete(m.failed, in.Name)
	m.ranked = m.ranked[:0]
	for _, x := range m.list {
		m.ranked = append(m.ranked, x)
	}
	slices.SortFunc(m.ranked, byRank)
}

// byRank orders members: the strong ones first, then by a hash of their names.
func byRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// headsMost is how many members of another failure domain are kept: one that does not answer is
// passed over for the next.
const headsMost = 2

// addHead takes in a member of another failure domain.
func (m *Members) addHead(in Member) {
	heads := slices.DeleteFunc(m.heads[in.Domain], func(x Member) bool { return x.Name == in.Name })
	heads = append(heads, in)
	slices.SortFunc(heads, byRank)
	m.heads[in.Domain] = heads[:min(len(heads), headsMost)]
}

// FarCollectors are the instances of other failure domains to ask, in order, by one that reads
// the store for its own: those that rank before it and are not passed over. There is none where
// this one ranks before all, or does not know the others yet.
func (m *Members) FarCollectors() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	for _, heads := range m.heads {
		for _, x := range heads {
			if byRank(x, m.self) < 0 && !now.Before(m.failed[x.Name].until) {
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, byRank)
	return out[:min(len(out), farTried)]
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
		f := m.failed[x.Name]
		passed := now.Before(f.until)
		switch {
		case x.Name == m.self.Name, counted == mostTried:
			return out
		case !passed:
			out = append(out, x)
		case f.span == failedMost:
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
	if now.Before(m.failed[name].until) {
		return
	}
	span := min(max(2*m.failed[name].span, failedFor), failedMost)
	m.failed[name] = failure{until: now.Add(span), span: span}
}

// Answered forgets a member's failures.
func (m *Members) Answered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failed, name)
}

// Forgive forgets all failures.
func (m *Members) Forgive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.failed)
}

// First says whether this instance ranks first, whoever answers. One without an address
// knows nobody, and reads by itself.
func (m *Members) First() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ranked) == 0 || m.ranked[0].Name == m.self.Name
}

// Count is the number of instances of all failure domains that ever were known, here or to a
// collector: an upper bound, up to those that have started a moment ago. Until they are counted,
// the other failure domains are thought to be as large as this one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.all), m.fleet, m.domains*len(m.list))
}

// Told takes in a collector's count of the instances.
func (m *Members) Told(fleet int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet = max(m.fleet, fleet)
}

// Names are the names of the instances of this failure domain that ever were known, this one
// among them.
func (m *Members) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.list))
}

// Near is the number of instances of this failure domain that ever were known.
func (m *Members) Near() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.list)
}

// Knows says whether the member is known as given.
func (m *Members) Knows(in Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list[in.Name] == in
}
