package passthrough

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restoreModel is a set of instances and a store that is restored from backups, with an operator who
// writes again what was lost.
type restoreModel struct {
	t         *rapid.T
	clock     *fakeClock
	operator  *fakeLog
	servers   *fakeLog
	instances []*modelInstance
	// version is the last version that the operator wrote, revokedAt when each version was
	// acknowledged. Each version revokes a key.
	version   int
	revokedAt map[int]time.Time
	// rewriteAt is when the operator writes again what the store lost, zero if nothing was lost.
	rewriteAt time.Time
	// slowRewrite is true if the operator takes up to maxSlowRewriteDelay for this.
	slowRewrite bool
	// entriesAt is when the servers' entries are correct again.
	entriesAt time.Time
	// alive are the servers that write entries, left the servers that have left.
	alive map[string]bool
	left  map[string]bool
}

// modelInstance is an instance of the model with the data that the invariants need.
type modelInstance struct {
	*testInstance
	operatorReader, listReader *topicReader
	disconnected               bool
	// highestVersion is the highest version that was in force in this process, startedAt when the process
	// began the read that found its first configuration.
	highestVersion uint64
	startedAt      time.Time
	// knowableVersion is the highest version that it read or that a peer could have reported.
	knowableVersion int
	// listedServers are the servers that it has listed, goneServers those of them that it has removed after
	// they left.
	listedServers, goneServers map[string]bool
}

// maxRewriteDelay is the maximum time from a restore until the operator has written again what was lost.
// It is shorter than the time for which reads of the restored store confirm nothing.
const maxRewriteDelay = time.Second

// maxSlowRewriteDelay is the same for a slow operator. It is longer than that time.
const maxSlowRewriteDelay = 12 * time.Second

func newRestoreModel(t *rapid.T) *restoreModel {
	m := &restoreModel{t: t, clock: newFakeClock(), operator: &fakeLog{era: 1}, servers: &fakeLog{era: 1},
		revokedAt: map[int]time.Time{}, alive: map[string]bool{}, left: map[string]bool{}}
	m.writeConfig(1)
	for i := range 4 {
		m.instances = append(m.instances, m.start(fmt.Sprint("i", i)))
	}
	return m
}

func (m *restoreModel) start(name string) *modelInstance {
	p := newTestInstance(name, m.clock, &fakeLog{}, &fakeLog{})
	return &modelInstance{testInstance: p, operatorReader: p.operator.reader(m.operator, m.clock), listReader: p.servers.reader(m.servers, m.clock), startedAt: m.clock.Now(), listedServers: map[string]bool{}, goneServers: map[string]bool{}}
}

func (m *restoreModel) writeConfig(version int) {
	m.version = version
	m.operator.add("config", fmt.Sprint("config ", version))
	if m.revokedAt[version].IsZero() {
		m.revokedAt[version] = m.clock.Now()
	}
}

// advance advances the clock, writes what is due, and makes all connected instances read and report to
// each other the version that the store lost.
func (m *restoreModel) advance(d time.Duration) {
	m.clock.advance(d)
	if !m.rewriteAt.IsZero() && !m.clock.Now().Before(m.rewriteAt) {
		m.rewriteAt = time.Time{}
		m.writeConfig(m.version)
	}
	if !m.entriesAt.IsZero() && !m.clock.Now().Before(m.entriesAt) {
		m.entriesAt = time.Time{}
		for id := range m.alive {
			m.servers.add(id, "server shop v1 ready")
		}
		for id := range m.left {
			m.servers.add(id, "")
		}
	}
	lost := uint64(0)
	reportable := m.operatorSettled() || m.countInformed() > 0
	for _, i := range m.instances {
		if i.disconnected {
			continue
		}
		if reportable {
			i.knowableVersion = m.version
		}
		if i.config.Index() == nil {
			i.startedAt = m.clock.Now()
		}
		for _, reader := range []*topicReader{i.operatorReader, i.listReader} {
			if err := reader.readOnce(m.t.Context()); err != nil {
				m.t.Fatal(err)
			}
		}
		lost = max(lost, i.operator.restoreGuard.lostVersion())
	}
	for _, i := range m.instances {
		if !i.disconnected {
			i.config.ReportLostVersion(lost)
		}
	}
}

// check checks the invariants.
func (m *restoreModel) check() {
	now := m.clock.Now()
	for n, i := range m.instances {
		index := i.config.Index()
		if index == nil {
			continue
		}
		if index.Version < i.highestVersion {
			m.t.Fatalf("instance %d went back from version %d to %d", n, i.highestVersion, index.Version)
		}
		i.highestVersion = index.Version
		next, written := m.revokedAt[int(index.Version)+1]
		late := written && now.Sub(next) > i.config.Bound()
		// An instance that started after the next version was acknowledged cannot know of it, if the store
		// lost it, until a peer can report it.
		uninformed := i.startedAt.After(next) && i.knowableVersion <= int(index.Version)
		if late && i.config.Fresh() && !uninformed {
			m.t.Fatalf("instance %d accepts keys by version %d, %v after version %d was acknowledged", n, index.Version, now.Sub(next), index.Version+1)
		}
		for id := range m.left {
			if i.goneServers[id] && i.servers.has(id) {
				m.t.Fatalf("instance %d lists server %s again, which had left", n, id)
			}
			i.goneServers[id] = i.goneServers[id] || i.listedServers[id] && !i.servers.has(id)
			i.listedServers[id] = i.listedServers[id] || i.servers.has(id)
		}
	}
}

// restore restores the store from a backup, and makes the operator write again within the given time.
func (m *restoreModel) restore(t *rapid.T, within time.Duration) {
	m.operator.restore(rapid.IntRange(0, len(m.operator.records)).Draw(t, "records"))
	m.servers.restore(rapid.IntRange(0, len(m.servers.records)).Draw(t, "entries"))
	if m.entriesAt.IsZero() {
		m.entriesAt = m.clock.Now().Add(drawDuration(t, int(maxRewriteDelay.Milliseconds())))
	}
	if m.operatorSettled() {
		m.rewriteAt = m.clock.Now().Add(drawDuration(t, int(within.Milliseconds())))
		m.slowRewrite = within > maxRewriteDelay
	}
}

// drawDuration draws a duration of 0 to maxMS milliseconds.
func drawDuration(t *rapid.T, maxMS int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMS).Draw(t, "ms")) * time.Millisecond
}

// countInformed counts the connected instances that know the operator's last version and can report it.
func (m *restoreModel) countInformed() int {
	n := 0
	for _, i := range m.instances {
		if m.isInformed(i) {
			n++
		}
	}
	return n
}

func (m *restoreModel) isInformed(i *modelInstance) bool {
	index := i.config.Index()
	return !i.disconnected && index != nil && int(index.Version) == m.version
}

// mayDisconnect reports whether the instance may be killed or disconnected: some other instance must know
// what the store lost if the operator is slow to write it again.
func (m *restoreModel) mayDisconnect(i *modelInstance) bool {
	return m.operatorSettled() || !m.slowRewrite || !m.isInformed(i) || m.countInformed() > 1
}

// operatorSettled reports whether the operator has nothing to write again.
func (m *restoreModel) operatorSettled() bool { return m.rewriteAt.IsZero() }

// TestRestoresInAnyOrder runs random schedules of writes, restores, disconnections, kills and starts. It
// guards against accepting a key past the revocation bound, against going back to an earlier version and
// against using a server again that has left; soon after the end all instances must agree.
func TestRestoresInAnyOrder(t *testing.T) {
	const rounds = 40 // of 100 schedules each, or of the number given by -rapid.checks
	for range rounds {
		rapid.Check(t, runRandomRestores)
	}
}

func runRandomRestores(t *rapid.T) {
	m := newRestoreModel(t)
	pick := func() *modelInstance { return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")] }
	t.Repeat(map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.advance(drawDuration(t, 700))
		},
		"wait": func(t *rapid.T) {
			for range 4 {
				m.advance(600 * time.Millisecond)
				m.check()
			}
		},
		"write": func(*rapid.T) {
			if m.operatorSettled() {
				m.writeConfig(m.version + 1)
			}
		},
		"restore": func(t *rapid.T) { m.restore(t, maxRewriteDelay) },
		"slow restore": func(t *rapid.T) {
			if m.countInformed() == len(m.instances) {
				m.restore(t, maxSlowRewriteDelay)
			}
		},
		"miss a version": func(t *rapid.T) { // an instance misses a version that the store then loses
			i := pick()
			if !m.operatorSettled() {
				return
			}
			i.disconnected = true
			m.writeConfig(m.version + 1)
			m.advance(drawDuration(t, 700))
			m.restore(t, maxRewriteDelay)
			i.disconnected = false
			m.advance(drawDuration(t, 700))
			i.disconnected = true
		},
		"toggle connection": func(*rapid.T) {
			i := pick()
			if i.disconnected || m.mayDisconnect(i) {
				i.disconnected = !i.disconnected
			}
		},
		"kill": func(t *rapid.T) {
			n := rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
			if m.mayDisconnect(m.instances[n]) {
				m.instances[n] = m.start(fmt.Sprint("i", n))
			}
		},
		"server starts": func(*rapid.T) {
			id := fmt.Sprint("s", len(m.alive)+len(m.left))
			m.alive[id] = true
			m.servers.add(id, "server shop v1 ready")
		},
		"server leaves": func(*rapid.T) {
			for id := range m.alive {
				delete(m.alive, id)
				m.left[id] = true
				m.servers.add(id, "")
				return
			}
		},
		"": func(*rapid.T) { m.check() },
	})
	for _, i := range m.instances {
		i.disconnected = false
	}
	for !m.operatorSettled() {
		m.advance(250 * time.Millisecond)
	}
	for range 30 {
		m.advance(250 * time.Millisecond)
	}
	for n, i := range m.instances {
		if !m.isInformed(i) || !i.config.Ready() {
			t.Fatalf("instance %d has the configuration %+v, want version %d; ready %v, want true", n, i.config.Index(), m.version, i.config.Ready())
		}
		for id := range m.alive {
			if !i.servers.has(id) {
				t.Fatalf("instance %d does not list server %s, which is alive", n, id)
			}
		}
	}
}
