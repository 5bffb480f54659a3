package decision

import (
	"fmt"
	"testing"
	"time"
)

// benchWorld is a saturated world: all slots of its servers are taken, and requests
// of ten teams are queued.
type benchWorld struct {
	w      *World
	now    time.Time
	lastID RequestID
	// running are the running attempts, oldest first.
	running []attemptKey
	teams   []TeamID
	blocks  []BlockHash
}

func newBenchWorld(servers, slots, queued, blocks int) *benchWorld {
	bw := &benchWorld{w: NewWorld(DefaultConfig()), now: epoch}
	var teams []Team
	for i := range 10 {
		id := TeamID(fmt.Sprintf("team%d", i))
		bw.teams = append(bw.teams, id)
		t := testTeam(id, 1+i%3)
		t.QueueLimit = 1 << 20
		teams = append(teams, t)
	}
	for i := range blocks {
		bw.blocks = append(bw.blocks, BlockHash(i+1))
	}
	bw.tick(
		FreshnessChanged{Fresh: true},
		ManifestApplied{Generation: 1, Teams: teams, Versions: testVersions()},
		ServersListed{Servers: testServers(servers, slots, weave1, draft1)},
	)
	for range servers * slots {
		bw.tick(bw.arrival())
	}
	for range queued {
		bw.tick(bw.arrival())
	}
	return bw
}

func (bw *benchWorld) arrival() Event {
	bw.lastID++
	return RequestArrived{Request: Request{
		ID: bw.lastID, Team: bw.teams[int(bw.lastID)%len(bw.teams)], Model: "weave", MaxTokens: 20, PromptTokens: 500,
		Idempotent: true, Deadline: epoch.Add(1000 * time.Hour), Blocks: bw.blocks,
	}}
}

func (bw *benchWorld) tick(in ...Event) {
	bw.now = bw.now.Add(time.Microsecond)
	for _, c := range bw.w.Tick(bw.now, in) {
		if d, ok := c.(Dispatch); ok {
			bw.running = append(bw.running, attemptKey{d.Request, d.Attempt})
		}
	}
}

// makeDecision makes one decision: an attempt ends, a request arrives, and the freed slot
// goes to the next queued request (or to the new one, if the queue is empty).
func (bw *benchWorld) makeDecision() {
	oldest := bw.running[0]
	bw.running = bw.running[1:]
	bw.tick(AttemptEnded{Request: oldest.request, Attempt: oldest.attempt, Result: AttemptCompleted, Tokens: 20}, bw.arrival())
}

// benchSizes are a small fleet, a larger one with servers of the same size, and
// three with 10,000 attempts in flight each, so that only the number of servers
// differs.
var benchSizes = []struct{ servers, slots int }{{15, 8}, {100, 8}, {100, 100}, {1000, 10}, {10_000, 1}}

// BenchmarkDecision measures one decision: an attempt ends, its answer is
// delivered, a request arrives and one is dispatched.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		for _, queued := range []int{10, 10_000} {
			name := fmt.Sprintf("servers=%d/inflight=%d/queued=%d", size.servers, size.servers*size.slots, queued)
			b.Run(name, func(b *testing.B) {
				benchDecisions(b, newBenchWorld(size.servers, size.slots, queued, 0))
			})
		}
	}
}

// BenchmarkDecisionWithPrefix measures one decision for a prompt of 16 blocks.
func BenchmarkDecisionWithPrefix(b *testing.B) {
	for _, size := range []struct{ servers, slots int }{{15, 8}, {10_000, 1}} {
		name := fmt.Sprintf("servers=%d/inflight=%d/queued=10", size.servers, size.servers*size.slots)
		b.Run(name, func(b *testing.B) {
			benchDecisions(b, newBenchWorld(size.servers, size.slots, 10, 16))
		})
	}
}

func benchDecisions(b *testing.B, world *benchWorld) {
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		world.makeDecision()
	}
}

// BenchmarkRefusal measures the refusal of a request that cannot be answered in
// time, with 10,000 queued requests: the most frequent path in an overload.
func BenchmarkRefusal(b *testing.B) {
	for _, size := range []struct{ servers, slots int }{{15, 8}, {10_000, 1}} {
		b.Run(fmt.Sprintf("servers=%d/queued=10000", size.servers), func(b *testing.B) {
			world := newBenchWorld(size.servers, size.slots, 10_000, 0)
			for range 100 {
				world.makeDecision()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				world.lastID++
				world.tick(RequestArrived{Request: Request{
					ID: world.lastID, Team: "team1", Model: "weave", MaxTokens: 20, Deadline: world.now.Add(time.Nanosecond),
				}})
			}
		})
	}
}
