package passthrough

import "time"

// versionKey names a version of a service's software.
type versionKey struct{ service, version string }

// service is the backend servers of one name with the requests that wait for them.
type service struct {
	name    string
	servers []*server
	queue   queue
	budget  *RetryBudget
	// throttle bounds what is sent to a plain service.
	throttle throttle
	// engine says that it runs models, in batches.
	engine bool
	slots  int
	// usualOthers is the mean of what other instances have at a server.
	meanOthers movingAverage
	intervals  intervalStats
	prefill    prefillStats
	slowStart  slowStartLimits
	// wakeAt is when what waits is tried again, as a server may get more then; zero for never.
	wakeAt    time.Time
	slotFreed bool
}

// server is a row of the backend servers.
type server struct {
	Server
	service *service
	// own is this instance's attempts at the server.
	ownRequests int
	// unread are this instance's requests there whose answer has not begun, backlog the seconds
	// that their prompts take to be read, in full.
	prefilling     []*request
	prefillBacklog float64
	// reported is the load that it stated at reportedAt, when own was ownThen and unreadThen were unread.
	reported           Load
	reportedAt         time.Time
	ownAtReport        int
	prefillingAtReport int
	// shutUntil keeps it out of the choice for a moment.
	backoffUntil time.Time
	health       health
	// slow is the server's pace beside its service's mean.
	relativeTime movingAverage
	// hash is the server's part of the affinity hash.
	hash uint64
	gone bool
	// drained says that its failure domain gets no new work.
	drained   bool
	slowStart slowStart
	limit     serverLimit
	// peers is what the other instances have there, as of the world's peerLoadsAt.
	peers peerReport
}

// request is a live request.
type request struct {
	Request
	service *service
	server  *server
	// version is that of the server it was sent to last.
	version string
	arrived time.Time
	sent    time.Time
	// attempts counts dispatches that reached a backend server, tries all.
	attempts   int
	dispatches int
	tried      []*server
	// ran says that it may have run.
	mayHaveRun bool
	// size is the index of the model asked last, -1 for none.
	model      int
	queued     bool
	queueEntry *queueEntry
	// first is the time to the current answer's first byte.
	firstByte time.Duration
	// level is its server's load when the current answer began.
	loadLevel loadLevel
	// paced says that the current answer's pace was told.
	intervalReported bool
	// reading says that its prompt counts in its server's backlog, with work seconds; alone
	// that no other of this instance's did then. Its first event is due at the time due.
	prefilling   bool
	prefillTime  float64
	prefillAlone bool
	firstByteDue time.Time
	// ownForecast is how many seconds its first event was thought to take, unscaled, by what
	// this instance knows; sharedForecast is the same by the word of all, if byShared.
	ownForecast      float64
	peerForecast     float64
	usedPeerForecast bool
	// next is the model to ask since a smaller one's answer was dropped, with the confidence
	// doubt; 0 where none was.
	nextModel         int
	droppedConfidence float64
}
