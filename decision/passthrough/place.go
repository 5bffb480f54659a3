package passthrough

import (
	"math"
	"slices"
	"time"
)

// place sends the request to a server with a free place. It says no where there is none
// now.
func (w *World) place(r *request) bool {
	s := w.pick(r)
	if s == nil {
		return false
	}
	if r.waiting {
		r.service.queue.take(r)
		r.waiting = false
	}
	r.service.pace.drain.left(w.now)
	r.server = s
	r.version = s.Version
	r.sent = w.now
	r.first = 0
	r.paced = false
	r.attempts++
	r.tries++
	s.own++
	w.noteSession(r, s.Version)
	cmd := Dispatch{
		Request: r.ID, Server: s.Server, Attempt: r.tries,
		Patience: patience(r), Load: int(s.load(w.now)), Wait: seconds(s.wait(w.now)),
	}
	if !s.toldAt.IsZero() {
		cmd.LoadAge = w.now.Sub(s.toldAt)
	}
	if r.ModelOpen && len(r.Route.Sizes) > 0 {
		mean := 0.0
		cmd.Taken, mean = w.filled(r.service)
		cmd.Mean, cmd.Repeats = seconds(mean), r.service.budget.Left(w.now)
		r.size = w.chooseSize(r, roomOf(r, cmd.Taken, mean))
		cmd.Model = r.Route.Sizes[r.size]
	}
	w.toRead(r, s)
	w.emit(cmd)
	return true
}

const (
	// silentPart is the part of the time to the target for which a repeatable plain
	// request waits for the first byte of an answer before it is tried elsewhere.
	silentPart = 2.5
	// silentLeast bounds that time from below: a slow server is no dead one.
	silentLeast = 400 * time.Millisecond
)

// patience is how long an attempt may stay silent before another server is asked.
//
// Load: a server that hangs or has gone dark. Harm prevented: a caller who waits for it
// to the end. Only what may run again is given up.
func patience(r *request) time.Duration {
	if r.Route.Kind != KindIdempotent || r.attempts >= r.Route.MaxAttempts {
		return 0
	}
	return max(time.Duration(silentPart*float64(r.Route.Target)), silentLeast)
}

const (
	// boundFactor and boundSlack are how far over the mean load a server may be and
	// still be preferred for what its cache holds. A batch that is a third larger costs
	// a few per cent of each token; a prompt read again costs hundreds of milliseconds.
	boundFactor = 1.35
	boundSlack  = 3
	// overcommit is how many requests over its slots a plain server is given: one that
	// waits there starts at once when a place is free.
	overcommit = 1
)

// pick chooses a server, or nil where none has a free place.
//
// Load: many requests that share long prompts, on servers whose load is known late and by
// all instances alike. Harm prevented: prompts read again everywhere, and all instances
// sending to the one that looked idle. A request goes to the server that a hash of its
// shared prompt names, so that all instances agree without a word, and on to the next by
// the hash once that one has more than its part.
func (w *World) pick(r *request) *server {
	list := w.candidates(r)
	if len(list) == 0 {
		return nil
	}
	if r.Affinity != 0 {
		return w.pickByPrompt(r, list)
	}
	return w.pickByLoad(list)
}

// candidates lists the servers that may take the request and have a free place. Sick ones
// are left out, and those that the request has tried, as long as others are there: where
// all look sick, it is the requests or the network, and a try is better than a refusal.
func (w *World) candidates(r *request) []*server {
	fits := w.fitting(r)
	var spare, last []*server
	w.drawn = w.drawn[:0]
	for _, s := range r.service.servers {
		if !s.usable(w.now) || !s.hasRoom(w.now) || !s.readsSoon(r, w.now) || !fits(s) {
			continue
		}
		switch tried := slices.Contains(r.tried, s); {
		case !tried && !s.health.barred(w.now):
			w.drawn = append(w.drawn, s)
		case !tried:
			spare = append(spare, s)
		default:
			last = append(last, s)
		}
	}
	switch {
	case len(w.drawn) > 0:
		return w.drawn
	case len(spare) > 0:
		return spare
	}
	return last
}

// hasRoom says whether the server can take one more, by what is known of it: what is only
// likely of a server must shut nobody out, since who sends nothing there hears nothing.
func (s *server) hasRoom(now time.Time) bool {
	slots := s.Slots
	if s.service.engine && s.service.slots > 0 {
		slots = s.service.slots
	}
	if slots <= 0 {
		return true
	}
	if !s.service.engine {
		slots += overcommit
	}
	return float64(s.own)+s.stated(now) < float64(slots)
}

// readUnit is how many seconds of prompts that wait to be read weigh as much as one request
// that runs: running, it takes some 50 us of each step.
const readUnit = 0.06

// weight is the load that a choice goes by: with one more request, with the prompts that
// are still to be read, which hold up all others, and by the server's pace.
func (s *server) weight(now time.Time) float64 {
	return (s.load(now)+1)*s.slowness() + s.wait(now)/readUnit
}

func (w *World) pickByPrompt(r *request, list []*server) *server {
	sum := 0.0
	w.weights = w.weights[:0]
	for _, s := range list {
		weight := s.weight(w.now)
		w.weights = append(w.weights, weight)
		sum += weight
	}
	bound := boundFactor*sum/float64(len(list)) + boundSlack
	keepNear := w.staysNear(r)
	var best, near, least *server
	bestScore, nearScore, leastWeight := uint64(0), uint64(0), math.Inf(1)
	for i, s := range list {
		weight := w.weights[i]
		if weight < leastWeight {
			least, leastWeight = s, weight
		}
		if weight > bound {
			continue
		}
		score := mix(s.hash ^ r.Affinity)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
		if keepNear && s.Zone == w.cfg.Zone && (near == nil || score > nearScore) {
			near, nearScore = s, score
		}
	}
	switch {
	case near != nil:
		return near
	case best != nil:
		return best
	}
	return least
}

// nearWait is the mean wait of prompts, in seconds, up to which a prompt that is all shared
// stays in the own failure domain.
const nearWait = 0.06
const nearMost = 0.25

func (w *World) staysNear(r *request) bool {
	share := 1.0
	if r.PromptTokens > 0 {
		share = min(float64(r.SharedTokens)/float64(r.PromptTokens), 1)
	}
	_, wait := w.filled(r.service)
	return share*wait < nearWait && wait < nearMost
}

// nearWeight is the part of a request by which a server in the own failure domain is
// preferred: it saves 3 ms and bytes between failure domains.
const nearWeight = 0.4

// pickByLoad takes the better of two drawn servers; of few it looks at all.
func (w *World) pickByLoad(list []*server) *server {
	const fewServers = 8 // a scan costs no more than two draws
	draws := 2
	if len(list) <= fewServers {
		draws = len(list)
	}
	start := w.rng.IntN(len(list))
	var best *server
	bestWeight := math.Inf(1)
	for i := range draws {
		s := list[(start+i)%len(list)]
		if draws < len(list) {
			s = list[w.rng.IntN(len(list))]
		}
		weight := s.weight(w.now)
		if s.Zone == w.cfg.Zone {
			weight -= nearWeight
		}
		if weight < bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// wantedVersion is the version that the request goes to: the roll-out's target, or "" for
// any other one.
//
// Where no server with it is listed, the other one takes the work: an instance that
// started lately may not know yet that the old servers are gone. A bad version gets
// nothing even then.
func (w *World) wantedVersion(r *request, ro *Rollout) string {
	fresh, old := w.versions(r.service, ro.Target)
	switch {
	case ro.Phase == PhaseReverted, w.wantsNew(r, ro) && fresh == 0:
		return ""
	case w.wantsNew(r, ro), old == 0:
		return ro.Target
	}
	return ""
}

// versions counts the servers that do not leave, at the version and at others.
func (w *World) versions(s *service, target string) (at, others int) {
	for _, srv := range s.servers {
		switch {
		case srv.gone, srv.Draining, w.barred[versionKey{srv.Service, srv.Version}]:
		case srv.Version == target:
			at++
		default:
			others++
		}
	}
	return at, others
}

// fitting says of a server whether it has the version that the request goes to. A version
// that was reverted stays out while another one is rolled out: its servers leave late.
func (w *World) fitting(r *request) func(*server) bool {
	ro := w.rollouts[r.service.name]
	if ro == nil {
		return func(*server) bool { return true }
	}
	wants := w.wantedVersion(r, ro)
	least := uint64(0)
	if wants == ro.Target && ro.Phase == PhaseCanary && !w.leads(r, ro) {
		least = w.canaryServers(r.service, ro)
	}
	return func(s *server) bool {
		return (s.Version == ro.Target) == (wants == ro.Target) && s.hash >= least &&
			!w.barred[versionKey{s.Service, s.Version}]
	}
}

// canaryLeast is the least number of servers that a canary goes to: by one alone, a slow
// server cannot be told from a slow version. With one, good versions were taken back on two
// of twelve calm days, on each play of them.
const canaryLeast = 3

// canaryServers is the least hash of the servers that the canary's share goes to: as many
// of the new ones as the share is of all requests.
//
// Load: a version that fails only under load, with a small share on as many servers as
// the whole traffic has. Harm prevented: a canary that shows nothing, as its servers idle.
func (w *World) canaryServers(s *service, ro *Rollout) uint64 {
	var hashes []uint64
	for _, srv := range s.servers {
		if srv.Version == ro.Target && srv.usable(w.now) {
			hashes = append(hashes, srv.hash)
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	count := max(int(math.Ceil(ro.Share*float64(len(hashes)))), canaryLeast)
	return hashes[max(len(hashes)-count, 0)]
}
