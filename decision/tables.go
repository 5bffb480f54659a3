package decision

import (
	"math/rand/v2"
	"time"

	"masticplank.example/decision/internal/fair"
)

// tables holds the entities. Rows are reached by id through a map once, and by
// pointer from then on; whatever order matters stands in slices, since the order
// of a map would break determinism.
type tables struct {
	generation uint64
	// fairness is the teams' accounts.
	fairness fair.Group

	teams    map[TeamID]*team
	models   map[ModelID]*model
	versions map[VersionID]*version
	servers  map[ServerID]*server
	pools    map[VersionID]*pool
	services map[ServiceID]*pool

	// departed are servers that the list has dropped and that still run
	// something.
	departed map[ServerID]*server
	// serverList is the servers in the order in which they were first listed.
	serverList []*server
	// busy are the pools with queued requests, in no particular order.
	queuedPools []*pool

	requests map[RequestID]*request
	// orphans are the attempts that were cancelled and have not ended. The others
	// are reached by their request.
	orphans map[attemptKey]*attempt
	// due orders the live requests by when they must be looked at.
	due dueHeap
	// wakes orders the servers that are shut out for a time.
	wakes wakeHeap
	// parked are requests that wait outside the queues; see park.
	parked []*request
}

func newTables() tables {
	return tables{
		teams:    map[TeamID]*team{},
		models:   map[ModelID]*model{},
		versions: map[VersionID]*version{},
		servers:  map[ServerID]*server{},
		departed: map[ServerID]*server{},
		pools:    map[VersionID]*pool{},
		services: map[ServiceID]*pool{},
		requests: map[RequestID]*request{},
		orphans:  map[attemptKey]*attempt{},
	}
}

// team is a row of the teams table.
type team struct {
	Team
	// index is dense, for the pools' flows.
	index int
	// account is what the team was given, over all pools.
	account *fair.Account
	// gone says that the manifest has dropped the team.
	gone     bool
	allowed  map[VersionID]bool
	services map[ServiceID]bool
	// models are those of which some version is allowed, in order of ModelID.
	models  []*teamModel
	byModel map[ModelID]*teamModel
	queued  int
	retries retryBudget
}

// teamModel is what a team may use of a model.
type teamModel struct {
	model *model
	// rollout is the allowed serving versions, newest first.
	rollout []*version
}

// model is a row of the models table.
type model struct {
	id ModelID
	// versions in order from the newest to the oldest by predecessor.
	versions []*version
}

// version is a row of the versions table.
type version struct {
	Version
	gone bool
	pool *pool
}

// open says whether the version may take any new work.
func (v *version) open() bool { return !v.gone && v.State != VersionWithdrawn }

// serving says whether the version may take work that is not pinned to it.
func (v *version) serving() bool { return !v.gone && v.State == VersionServing }

// pool is the servers that can run one version, or one plain service, and the
// requests that wait for them.
type pool struct {
	version VersionID
	service ServiceID
	queue   fair.Queue[*request]
	// flows by team.index; nil for a team that never used the pool.
	flows []*flow
	// shared is the one flow of all teams under Policy.FirstCome, else nil.
	shared *flow
	// free are the servers that can take a request now. Keeping the set makes
	// "is the pool saturated" and a random candidate O(1) at any size.
	free []freeSlot
	// usable and slots count the servers that are neither leaving nor gone.
	usable      int
	slots       int
	serviceTime serviceTimeMeter
	drain       drainMeter
	usage       usageMeter
	// busyPos is the place in tables.busy, or -1.
	queuedPos int
	// backlogged says that work was left in the queue since the last tick, and
	// backlog for which part of the last while there was some.
	backlogged bool
	backlog    backlogMeter
}

// flow is a team's part of a pool's queue.
type flow struct {
	fair.Flow[*request]
	usage usageMeter
	bias  biasMeter
}

// freeSlot is an entry of pool.free.
type freeSlot struct {
	server *server
	// member is the index in server.member.
	member int
}

// membership ties a server to a pool.
type membership struct {
	pool *pool
	// pos is the place in pool.free, or -1.
	pos int
}

// server is a row of the backend servers table.
type server struct {
	Server
	memberships []membership
	// running is this instance's own attempts at the server.
	running int
	// others is the load that the last report shows beyond the own.
	otherLoad    int
	reportedAt   time.Time
	leaving      bool
	gone         bool
	ejected      bool
	backoffUntil time.Time
	// wakeAt is the earliest wake that is pending; zero for none.
	wakeAt time.Time
	isFree bool
}

// request is a live request.
type request struct {
	Request
	team    *team
	pool    *pool
	version *version
	item    fair.Item[*request]
	state   requestState
	// deadline is the caller's or the default.
	deadline time.Time
	// duePos is its place in tables.due, or -1.
	duePos  int
	arrived time.Time
	// expected is the wait that was estimated when it was queued at queuedAt, 0
	// for none.
	expected time.Duration
	queuedAt time.Time

	attempts AttemptID
	current  *attempt
	// firstAttempt saves an allocation.
	firstAttempt attempt
	// held is the completed attempt whose answer waits; 0 for none.
	held AttemptID
	// tried are the servers that ended an attempt without an answer.
	tried   []*server
	crashes int
	// ran says that a backend server may have run it, so it is never refused.
	ran bool
	// plan is the cascade's, for a request that leaves the model open.
	plan       plan
	lastResult AttemptResult
}

// requestState is where a request stands.
type requestState uint8

const (
	stateArrived requestState = iota
	stateQueued
	stateParked
	stateRunning
	stateHeld
	stateEnded
)

type attemptKey struct {
	request RequestID
	attempt AttemptID
}

// attempt is a dispatch that has not ended. It outlives a request that was
// cancelled, since its slot is taken until the backend server is done.
type attempt struct {
	key     attemptKey
	request *request
	server  *server
	pool    *pool
	version VersionID
	team    *team
	started time.Time
	// firstToken is zero until it came.
	firstToken time.Time
	// hold says that the answer is kept back until it is rated, for rateBudget.
	hold          bool
	ratingTimeout time.Duration
	// counted is the crash table's note on the dispatch.
	counted bool
	// cost was the estimate, prompt its part that is known beforehand.
	cost   float64
	prompt float64
}

// newRand returns the world's only source of chance.
func newRand(seed uint64) *rand.Rand {
	const stream = 0x6d617374 // any constant: one stream per world
	return rand.New(rand.NewPCG(seed, stream))
}
