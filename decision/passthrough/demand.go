package passthrough

import (
	"maps"
	"math"
	"slices"
	"time"

	"masticplank.example/decision/admission"
)

// sharedAdmission is what this instance knows of the demand at all instances, and the levels that follow.
type sharedAdmission struct {
	startedAt time.Time
	meter     admission.Meter
	peers     admission.Peers
	gate      admission.Gate
	returns   admission.Returns
	levels    map[*service]*serviceLevel
}

// serviceLevel is the admission level of a service.
type serviceLevel struct {
	key    uint32
	limit  admission.Limit
	level  admission.Level
	pooled []admission.Demand
	at     time.Time
	// admitted is the work of all instances that is sent to servers, finished what engines get through, a second.
	admitted, finished float64
	// leastTarget is the shortest target latency of the service's requests.
	leastTarget time.Duration
	// workTime is the mean logarithm of a plain request's response time in seconds, without waiting: one slow server
	// among several changes it little.
	workTime movingAverage
	// meanWork is the mean work of a request, backlog the number of requests at engines.
	meanWork movingAverage
	backlog  trend
	// slots is how many free slots of the engines this instance may take until the next report; see slotShare.
	slots slotShare
}

// AdmissionState is the state of a request's class.
type AdmissionState struct {
	Service string
	// Priority is the request's priority and RoutePriority that of its route, which orders requests of equal priority.
	Priority, RoutePriority int
	// Returned is true if the caller was probably refused before.
	Returned bool
	// Fraction is the part of the class that is admitted, 1 without a limit.
	Fraction float64
	// Room is what the priority is given and Offered what is asked for at it by all instances, in units of work a
	// second.
	Room, Offered float64
	// Position is how many callers refused here are to return before.
	Position int
	// Known is the number of instances whose demand is known, KnownAge the age of the latest report of the others; 0 if
	// there is none.
	Known    float64
	KnownAge time.Duration
}

const (
	// reportedTeams bounds the teams in a report, for each service and priority.
	reportedTeams = 16
	// tokensPerWork is how many generated tokens are a unit of an engine's work; a plain request is one unit.
	tokensPerWork = 256.0
)

// applyPeerDemand applies what the callers of the other instances ask for. Reports of no instance leave the latest
// one in force until it is too old.
func (w *World) applyPeerDemand(e PeerDemand) {
	if !w.cfg.SharedAdmission || e.Instances <= 0 {
		return
	}
	w.shared.peers = admission.Peers{Demand: e.Demand, Instances: e.Instances, At: w.now}
	for s, l := range w.shared.levels {
		l.at = time.Time{}
		w.currentLevel(s) // also without requests here, so that all instances follow the same room
	}
	w.refuseHopeless()
	for _, s := range w.services {
		if s.engine {
			w.shareSlots(s)
		}
		w.markFreed(s)
	}
}

// OwnDemand returns what the callers of this instance ask for; nothing unless admission is shared.
func (w *World) OwnDemand() []admission.Demand {
	if !w.cfg.SharedAdmission {
		return nil
	}
	return admission.Bounded(w.ownDemand(), reportedTeams)
}

func (w *World) ownDemand() []admission.Demand {
	waiting := map[admission.Class]float64{}
	for _, id := range slices.Sorted(maps.Keys(w.requests)) { // sums of floats depend on the order
		if r := w.requests[id]; r.queued {
			waiting[w.classOf(r)] += w.work(r)
		}
	}
	for _, s := range w.services {
		if full := s.throttle.rejected.valueAt(w.now); full >= negligibleRejections {
			// What servers rejected, or answered late, waits there like in a queue.
			waiting[admission.Class{Service: admission.ServiceOf(s.name), Priority: rejectedPriority}] += full
		}
	}
	return w.shared.meter.Demand(w.now, waiting)
}

// rejectedPriority is that of the row that counts what a service's servers rejected.
const rejectedPriority = math.MaxUint8

// negligibleRejections is the count of rejected requests below which it is not reported.
const negligibleRejections = 0.05

// urgencyLevels is the number of priorities that are told apart in an urgency.
const urgencyLevels = 15

// urgencyOf is the request's place in the order of urgency; 0 is the first. If admission is shared, the priority of its
// route orders the requests of equal priority.
//
// Load: teams that have a priority of their own, the same for all or most of them. Harm prevented: requests of all routes that
// are refused alike, as the team's priority takes precedence over the route's.
func (w *World) urgencyOf(r *Request) int {
	if !w.cfg.SharedAdmission || r.Route == nil {
		return r.Priority
	}
	level := func(priority int) int { return min(max(priority, 0), urgencyLevels-1) }
	return level(r.Priority)*urgencyLevels + level(r.Route.Priority)
}

// prioritiesOf returns the priorities of an urgency: the request's and its route's.
func prioritiesOf(urgency uint8) (priority, ofRoute int) {
	return int(urgency) / urgencyLevels, int(urgency) % urgencyLevels
}

// classOf returns the request's class.
func (w *World) classOf(r *request) admission.Class {
	return admission.Class{Service: w.levelFor(r.service).key, Team: admission.TeamOf(r.Team), Priority: uint8(r.urgency), Returned: r.returned}
}

// work is the room that the request takes.
func (w *World) work(r *request) float64 {
	if !r.service.engine {
		return 1
	}
	tokens := r.MaxTokens
	if r.ExpectedTokens > 0 && (r.ExpectedTokens < tokens || tokens == 0) {
		tokens = r.ExpectedTokens
	}
	if tokens == 0 && r.PromptTokens == 0 {
		return 1 // unknown
	}
	const promptWeight = 0.1 // as in cost
	return (promptWeight*float64(r.PromptTokens) + float64(tokens)) / tokensPerWork
}

func (w *World) levelFor(s *service) *serviceLevel {
	if w.shared.levels == nil {
		w.shared.levels = map[*service]*serviceLevel{}
	}
	l := w.shared.levels[s]
	if l == nil {
		l = &serviceLevel{key: admission.ServiceOf(s.name), level: admission.NewLevel(nil, math.Inf(1)), slots: slotShare{scarce: math.MaxInt}}
		w.shared.levels[s] = l
	}
	return l
}
