package passthrough

import (
	"time"

	"masticplank.example/decision/cascade"
	"masticplank.example/decision/completion"
)

// versionKey identifies a version of a service's software.
type versionKey struct{ service, version string }

// service holds the backend servers of a service and the requests that wait for them.
type service struct {
	// flow is how the load of engines changes between load reports.
	flow    engineFlow
	name    string
	servers []*server
	queue   queue
	budget  *RetryBudget
	// throttle bounds what is sent to a plain service.
	throttle throttle
	// engine is true for servers that run models and batch requests.
	engine bool
	slots  int
	// tokenCapacity is how many tokens of prompts and responses an engine holds, tokensPerEvent how many tokens an
	// event of its streams has; 0 if unknown.
	tokenCapacity, tokensPerEvent int
	// maxConns is how many connections a server takes from all instances together, 0 if unknown.
	maxConns int
	// planner decides who gets the larger models; meanTokens is the mean size of a request in tokens.
	planner    cascade.Planner
	meanTokens movingAverage
	// meanOthers is the mean number of other instances' requests at a server.
	meanOthers movingAverage
	intervals  intervalStats
	prefill    prefillStats
	// statesSpeeds is true once one of the service's servers has stated how long work takes on its machine.
	statesSpeeds bool
	hotPrefixes  hotPrefixes
	// rates are the rates of generation.
	rates     completion.Rates
	slowStart slowStartLimits
	brittle   brittle
	permits   permits
	// fullUntil is until when no request is offered to peers with permits for engines.
	fullUntil time.Time
	// wakeAt is when queued requests are tried again, as a server may take more by then; zero for
	// never.
	wakeAt    time.Time
	slotFreed bool
}

// server is an entry of the server list with what this instance knows about it.
type server struct {
	// finishing and arriving are how many requests of the other instances a second are expected to end at an engine, and to
	// be sent there.
	finishing, arriving float64
	Server
	service *service
	// ownRequests counts this instance's requests at the server.
	ownRequests int
	// ownTokens is how many tokens these have.
	ownTokens int
	// prefilling are this instance's requests there whose response has not begun; prefillBacklog is
	// the sum of their whole prefill times in seconds, also of prompts that are partly processed.
	prefilling     []*request
	prefillBacklog float64
	// reported is the load that the server stated at reportedAt; ownAtReport and prefillingAtReport
	// are ownRequests and len(prefilling) at that time.
	reported           Load
	reportedAt         time.Time
	ownAtReport        int
	prefillingAtReport int
	// backoffUntil keeps the server from being chosen: for a short time after a refusal or a failed
	// connection, or for as long as the server has asked.
	backoffUntil time.Time
	// statedBackoffUntil is the time until which the server itself wants no requests.
	statedBackoffUntil time.Time
	health             health
	// usual is how many times as long as at a server of unit speed work usually takes at the server, stated the same
	// without what was measured; both are 0 unless the service states speeds.
	usual, stated float64
	// newest is the server's newest statement, changedAt when it was made; zero if it is the usual factor.
	newest    float64
	changedAt time.Time
	// slowUnstated is true while measured times show that the server is slow without stating it.
	slowUnstated bool
	// leftOut is true while the server is ejected by the evidence of all instances, or is tried by others.
	leftOut bool
	// relativeTime is the server's event interval relative to its service's mean.
	relativeTime movingAverage
	// processHash is that of the server's process. hash is that of the server's id, for the choice by prefix, the subsets of instances, the
	// canary's servers and the keys in load reports.
	hash, processHash uint64
	gone              bool
	// suspect is true once a connection to the server broke or was reset, until it responds again.
	suspect bool
	// statedLeaving is true once the server's process has stated in a response, to this instance or a
	// peer, that it is leaving. It stated that to this instance at statedLeavingAt, zero for never.
	statedLeaving   bool
	statedLeavingAt time.Time
	// shownLeaving is true once a refusal has shown that the server is leaving, or that another server has
	// its address. It lasts until the server's entry is new.
	shownLeaving bool
	// drained is true if the server's failure domain gets no new requests.
	drained   bool
	slowStart slowStart
	holding   holding
	limit     serverLimit
	// listedSlots is the number of slots in the server's entry, which is the same for all instances.
	listedSlots int
	// permits is how many of the server's slots belong to this instance while the service is brittle,
	// permitsUsed how many of them its own and its peers' requests hold.
	permits, permitsUsed int
	// fullUntil is until when no request for the server is offered to peers with permits.
	fullUntil time.Time
	// peers is the load of the other instances there, as of the world's peerLoadsAt.
	peers peerReport
}

// request is a live request.
type request struct {
	Request
	service *service
	// urgency is the place in the order in which requests get room; see urgencyOf.
	urgency int
	server  *server
	// version is that of the server that the request was last sent to.
	version string
	arrived time.Time
	sent    time.Time
	// attempts counts dispatches that reached a backend server; dispatches counts all.
	attempts   int
	dispatches int
	tried      []*server
	// mayHaveRun is true if the request may have run at a backend server.
	mayHaveRun bool
	// model is the index of the last requested model, noModel for none.
	model      int
	queued     bool
	queueEntry *queueEntry
	// begunAt is when the first event of the current response arrived, zero before that. withdrawn is true once the
	// current attempt is ended because a part of the prompt crashes servers.
	begunAt   time.Time
	withdrawn bool
	// evidence is what the request's attempts say about their servers.
	evidence attemptEvidence
	// permitted is true while the request holds a permit of this instance.
	permitted bool
	// firstByte is the time to the first byte of the current response; 0 before it.
	firstByte time.Duration
	// loadLevel is the server's load when the current response began.
	loadLevel loadLevel
	// intervalReported is true once the event interval of the current response has been reported.
	intervalReported bool
	// prefilling is true while the prompt counts in its server's backlog, with prefillTime seconds;
	// prefillAlone if it was this instance's only such prompt at the server. The first byte is
	// expected at firstByteDue.
	prefilling   bool
	prefillTime  float64
	prefillAlone bool
	firstByteDue time.Time
	// ownForecast is the forecast time to the first byte in seconds, before scaling, from this
	// instance's knowledge; peerForecast is the same from the peers' load reports, and counts only
	// if usedPeerForecast is set.
	ownForecast      float64
	peerForecast     float64
	usedPeerForecast bool
	// nextModel is the model to request after a smaller one's response was dropped; 0 if none was.
	// If it is a middle model, droppedConfidence is the confidence of the dropped response.
	nextModel         int
	droppedConfidence float64
	timely            timely
	// dropped is true from the end of a dropped response to the next dispatch, weakConfidence its confidence.
	// waitsForLarger is true while the request waits for a larger model, since waitBegan; waitedForLarger is how long it
	// has done so before. gaveUpLarger is true once it has waited for as long as it may, and gets the smallest model.
	dropped         bool
	weakConfidence  float64
	waitsForLarger  bool
	waitBegan       time.Time
	waitedForLarger time.Duration
	gaveUpLarger    bool
	// returned is true if admission is shared and the caller was probably refused before.
	returned bool
	// yieldingSince is when the request first left a free slot to more urgent ones elsewhere; zero for never.
	yieldingSince time.Time
}
