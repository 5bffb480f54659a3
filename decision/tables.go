package decision

import (
	"math/rand/v2"
	"time"

	"masticplank.example/decision/internal/fair"
)

// tables holds the entities. A row is looked up by id once and referenced by
// pointer from then on. Wherever the order matters the rows are kept in a slice,
// since the iteration order of a map would break determinism.
type tables struct {
	generation uint64
	// fairness holds the teams' accounts.
	fairness fair.Group

	teams        map[TeamID]*team
	models       map[ModelID]*model
	versions     map[VersionID]*version
	servers      map[ServerID]*server
	versionPools map[VersionID]*pool
	servicePools map[ServiceID]*pool

	// departed are servers that are no longer listed but still run attempts.
	departed map[ServerID]*server
	// serverList holds the servers in the order in which they were first listed.
	serverList []*server
	// queuedPools are the pools with queued requests, in no particular order.
	queuedPools []*pool

	requests map[RequestID]*request
	// orphans are the attempts that were cancelled and have not ended. All others
	// are found through their request.
	orphans map[attemptKey]*attempt
	// due orders the live requests by the time of their next timeout.
	due dueHeap
	// wakes orders the servers that are excluded until a given time.
	wakes wakeHeap
	// parked are requests that wait outside the queues; see park.
	parked []*request
}

func newTables() tables {
	return tables{
		teams:        map[TeamID]*team{},
		models:       map[ModelID]*model{},
		versions:     map[VersionID]*version{},
		servers:      map[ServerID]*server{},
		departed:     map[ServerID]*server{},
		versionPools: map[VersionID]*pool{},
		servicePools: map[ServiceID]*pool{},
		requests:     map[RequestID]*request{},
		orphans:      map[attemptKey]*attempt{},
	}
}

// team is a row of the teams table.
type team struct {
	Team
	// index is the team's position in pool.flows.
	index int
	// account is the work that the team was given, over all pools.
	account *fair.Account
	// gone is true if the manifest no longer lists the team.
	gone     bool
	allowed  map[VersionID]bool
	services map[ServiceID]bool
	// models are those with at least one allowed version, in order of ModelID.
	models  []*teamModel
	byModel map[ModelID]*teamModel
	// queued counts the team's requests in the queues of all pools.
	queued      int
	retryBudget retryBudget
}

// teamModel is what a team may use of a model.
type teamModel struct {
	model *model
	// rollout holds the allowed serving versions, newest first.
	rollout []*version
}

// model is a row of the models table.
type model struct {
	id ModelID
	// versions are sorted from the newest to the oldest by predecessor.
	versions []*version
}

// version is a row of the versions table.
type version struct {
	Version
	// gone is true if the manifest no longer lists the version.
	gone bool
	pool *pool
}

// open reports whether the version may take requests at all, even if only those of
// sessions that are pinned to it.
func (v *version) open() bool { return !v.gone && v.State != VersionWithdrawn }

// serving reports whether the version may take requests that are not pinned to it.
func (v *version) serving() bool { return !v.gone && v.State == VersionServing }

// pool holds the servers that can run one version, or one plain service, and the
// requests queued for them.
type pool struct {
	version VersionID
	service ServiceID
	queue   fair.Queue[*request]
	// flows is indexed by team.index; nil for a team that never used the pool.
	flows []*flow
	// shared is the single flow of all teams under Policy.FIFO, else nil.
	shared *flow
	// free are the servers that can take a request now. Maintaining the set makes
	// the saturation check and drawing a random candidate O(1).
	free []freeServer
	// usableServers and slots count the servers that are neither leaving nor gone,
	// and their slots.
	usableServers int
	slots         int
	serviceTime   serviceTimeMeter
	drain         drainMeter
	usage         usageMeter
	// queuedPos is the index in tables.queuedPools, or -1.
	queuedPos int
	// backlogged is true if requests were still queued at the start of the tick and
	// the queue has not become empty since; backlog measures for which fraction of
	// the recent past requests were queued.
	backlogged bool
	backlog    backlogMeter
}

// flow is a team's part of a pool's queue.
type flow struct {
	fair.Flow[*request]
	usage usageMeter
	bias  biasMeter
}

// freeServer is an entry of pool.free.
type freeServer struct {
	server *server
	// membershipIndex is the index in server.memberships.
	membershipIndex int
}

// membership is a server's entry in one pool.
type membership struct {
	pool *pool
	// pos is the index in pool.free, or -1.
	pos int
}

// server is a row of the backend servers table.
type server struct {
	Server
	memberships []membership
	// running counts this instance's own attempts at the server.
	running int
	// otherRequests is the number of requests of other instances by the last load
	// report.
	otherRequests int
	// reportedAt is when the server measured that load.
	reportedAt time.Time
	// leaving is true if the list or a report says that the server is leaving;
	// Server.Leaving holds only what the list says.
	leaving bool
	// gone is true if the list no longer has the server.
	gone         bool
	ejected      bool
	backoffUntil time.Time
	// wakeAt is the earliest pending wake; zero for none.
	wakeAt time.Time
	// isFree is true if the server is in the free sets of its pools.
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
	// deadline is the caller's, or the default one.
	deadline time.Time
	// duePos is the index in tables.due, or -1.
	duePos  int
	arrived time.Time
	// expectedWait is the wait estimated when the request was queued, at queuedAt;
	// 0 for no estimate.
	expectedWait time.Duration
	queuedAt     time.Time

	// attempts counts the dispatched attempts; current is the running one, or nil.
	attempts AttemptID
	current  *attempt
	// firstAttempt is part of the row to save an allocation.
	firstAttempt attempt
	// held is the completed attempt whose answer is held back for its rating; 0
	// for none.
	held AttemptID
	// tried are the servers whose attempts ended without an answer; crashes counts
	// the attempts that crashed their server.
	tried   []*server
	crashes int
	// mayHaveRun is true if a backend server may have run the request; it is then
	// never refused as not run.
	mayHaveRun bool
	// plan is set by the cascade for a request that names no model.
	plan       plan
	lastResult AttemptResult
}

// requestState is a request's place in its life cycle.
type requestState uint8

const (
	// stateArrived: not queued yet, or just removed from its queue.
	stateArrived requestState = iota
	stateQueued
	// stateParked: waiting outside the queues; see park.
	stateParked
	stateRunning
	// stateHeld: complete, with the answer held back for its rating.
	stateHeld
	stateEnded
)

type attemptKey struct {
	request RequestID
	attempt AttemptID
}

// attempt is a dispatch that has not ended. It outlives a cancelled request,
// since its slot stays occupied until the backend server is done.
type attempt struct {
	key     attemptKey
	request *request
	server  *server
	pool    *pool
	version VersionID
	team    *team
	started time.Time
	// firstToken is zero until the first token is received.
	firstToken time.Time
	// hold is true if the answer is held back until it is rated, for at most
	// ratingTimeout.
	hold          bool
	ratingTimeout time.Duration
	// counted is what verdict.Crashes.AttemptStarted returned for the dispatch.
	counted bool
	// cost is the estimated cost in generated tokens; promptCost is its part for the
	// prompt, which is known in advance.
	cost       float64
	promptCost float64
}

// newRand returns the world's only source of randomness.
func newRand(seed uint64) *rand.Rand {
	const stream = 0x6d617374 // arbitrary: only one stream per world
	return rand.New(rand.NewPCG(seed, stream))
}
