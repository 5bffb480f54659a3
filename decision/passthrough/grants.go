package passthrough

import (
	"math"
	"slices"
	"time"
)

// A server that states a rate limit, or is in slow start, is rate-limited: it takes few requests a second from all
// instances together. One instance, the server's holder, has all of that rate. An instance that has a request for the
// server asks the holder for a grant, which is good for that request only, and then sends it itself. So the rate is of
// use wherever requests arrive, and whether any of it is left is known after one question.
//
// The holder is chosen by rendezvous hashing among the instances of the server's failure domain. If it gives no answer,
// the next in rank is asked, at last in another failure domain; that one asks those before it first and else gives grants
// itself. While instances disagree on the holder, two of them may give grants: the rates are chosen for that.
//
// As long as other servers have room, only the first few in rank, the regular senders, choose a rate-limited server: more
// of them would only be refused.
//
// Load: 880 instances with 70,000 requests a second, of which any part arrives at any few instances; 80 questions a second
// for each holder if all servers are rate-limited. Harm prevented: instances refuse requests while the rate that belongs
// to others is not used.

const (
	// homeHolders is how many instances of the server's failure domain may be asked for its grants, one after the other,
	// reserveHolders how many of another one after that: all instances of the first may be lost.
	homeHolders    = 3
	reserveHolders = 2
	// limitPerSender is the part of a rate limit, in requests per second, for which there is one regular sender,
	// minLimitSenders how many there are at least. All instances are, if they are at most limitAllMargin more than the
	// limit. slowStartSenders is how many a server in slow start has.
	limitPerSender   = 2.0
	minLimitSenders  = 2
	limitAllMargin   = 2.0
	slowStartSenders = 3
	// A request waits for a granted turn for up to grantWaitFraction of the time left to its target, and maxGrantWait:
	// a turn that is far ahead is lost if the caller leaves or the request goes elsewhere.
	grantWaitFraction = 0.5
	maxGrantWait      = 250 * time.Millisecond
	// minGrantPause and maxGrantPause bound for how long the holder is not asked after it had no turn in time.
	minGrantPause = 5 * time.Millisecond
	maxGrantPause = time.Second
	// unansweredPause is for how long no grant is asked for after no holder has answered.
	unansweredPause = 100 * time.Millisecond
)

// GrantRequest asks the holder of a server for a grant.
type GrantRequest struct {
	// Server is the server's id, StartTime that of its process.
	Server    string
	StartTime int64
	// SlowStart is true if the asking instance takes the server to be in slow start.
	SlowStart bool
	// Limit is the rate limit that the asking instance knows, LimitAge the age of its statement.
	Limit    RateLimit
	LimitAge time.Duration
	// MaxWait is how far ahead the turn may be.
	MaxWait time.Duration
}

// Grant is the answer to a GrantRequest. Given is true if the request may be sent after Wait. Otherwise Wait is when a
// turn may be found within the request's MaxWait.
type Grant struct {
	Given bool
	Wait  time.Duration
}

// holderInputs are the values that the holders of a server depend on.
type holderInputs struct {
	neighboursVersion int
	remoteVersion     int
	rotation          uint64
}

// holding is what an instance knows of the holders of a server.
type holding struct {
	// names are the holders in rank, as of inputs; rank is that of this instance among those of their failure domain, from
	// 0, never if it is in another one.
	names  []string
	rank   int
	inputs holderInputs
	// pausedUntil is until when the holders are not asked.
	pausedUntil time.Time
}

// isRateLimited reports whether requests to the server need a grant.
func (w *World) isRateLimited(s *server) bool { return s.limit.Limited || s.inSlowStart(w.now) }

// holders returns the names of the instances that are asked for a server's grants, in rank; none if the instances of
// their failure domain are not known.
func (w *World) holders(s *server) []string {
	inputs := holderInputs{w.neighbours.version, w.remoteVersion, s.limitRotation(w.now)}
	if inputs != s.holding.inputs {
		s.holding.inputs = inputs
		s.holding.names, s.holding.rank = w.findHolders(s, inputs.rotation)
	}
	return s.holding.names
}

// findHolders returns the holders, and the rank of this instance.
func (w *World) findHolders(s *server, rotation uint64) (names []string, rank int) {
	domain, key := s.holderKey(rotation)
	domain = w.holderDomain(domain, key)
	home := w.instancesOf(domain)
	if w.neighbours.version == 0 || home == nil {
		return nil, noRank
	}
	ranked := home.ranked(key)
	if rank = slices.Index(ranked, w.neighbours.self); rank < 0 {
		rank = noRank
	}
	names = slices.Clone(ranked[:min(homeHolders, len(ranked))])
	if reserve := w.reserveDomain(domain, key); reserve != "" {
		others := w.instancesOf(reserve).ranked(key)
		names = append(names, others[:min(reserveHolders, len(others))]...)
	}
	return names, rank
}

// noRank is the rank of an instance of another failure domain.
const noRank = math.MaxInt

// isRegularSender reports whether this instance chooses the rate-limited server although others have room.
func (w *World) isRegularSender(s *server) bool {
	if len(w.holders(s)) == 0 {
		return false
	}
	senders := math.MaxInt
	if s.limit.Limited {
		if senders = max(int(s.limit.PerSecond/limitPerSender)+1, minLimitSenders); float64(w.fleetSize) <= s.limit.PerSecond+limitAllMargin {
			senders = math.MaxInt
		}
	}
	if s.inSlowStart(w.now) {
		senders = min(senders, slowStartSenders)
	}
	return senders == math.MaxInt || s.holding.rank < senders
}

// isHolder reports whether this instance is the server's holder.
func (w *World) isHolder(s *server) bool {
	holders := w.holders(s)
	return len(holders) > 0 && holders[0] == w.neighbours.self
}

// LacksHolders reports whether this instance does not know the holders of some rate-limited server, as they are in another
// failure domain.
func (w *World) LacksHolders() bool {
	for _, s := range w.servers {
		if s.inService() && w.isRateLimited(s) && len(w.holders(s)) == 0 {
			return true
		}
	}
	return false
}

// SeniorHolders returns the names of the instances that rank before this one as holders of the listed server.
func (w *World) SeniorHolders(id string) []string {
	s := w.servers[id]
	if s == nil {
		return nil
	}
	holders := w.holders(s)
	if i := slices.Index(holders, w.neighbours.self); i >= 0 {
		return holders[:i]
	}
	return holders
}

// UnknownLimit returns the rate limit that a peer's request for a grant states, if this instance does not know it. It must be
// applied before the request is answered.
func (w *World) UnknownLimit(in GrantRequest) (PeerLimit, bool) {
	s := w.servers[in.Server]
	if s == nil || s.StartTime != in.StartTime || !in.Limit.Limited || in.Limit == s.limit.RateLimit {
		return PeerLimit{}, false
	}
	return PeerLimit{Key: s.peerKey(), Limit: in.Limit, Age: in.LimitAge}, true
}

// Grant answers a peer's request for a grant. ok is false if this instance's list does not have the server's process, or
// not as one that may get requests.
func (w *World) Grant(now time.Time, in GrantRequest) (out Grant, ok bool) {
	s := w.servers[in.Server]
	if s == nil || s.StartTime != in.StartTime || !s.inService() || now.Before(s.statedBackoffUntil) {
		return Grant{}, false
	}
	if now.After(w.now) {
		w.now = now
	}
	return w.giveGrant(s, in.SlowStart, in.MaxWait), true
}

// giveGrant gives the next free turn at the server if that is within maxWait. slowStart is true if a peer takes the server
// to be in slow start.
func (w *World) giveGrant(s *server, slowStart bool, maxWait time.Duration) Grant {
	slowStart = slowStart || s.inSlowStart(w.now)
	wait := w.turnWait(s, slowStart)
	if wait > maxWait {
		return Grant{Wait: wait - maxWait}
	}
	if s.limit.Limited {
		s.limit.bucket.take()
	}
	if slowStart {
		s.slowStart.recordTurn(w.now.Add(wait))
	}
	return Grant{Given: true, Wait: wait}
}

// turnWait is the time until the next free turn at the server.
func (w *World) turnWait(s *server, slowStart bool) time.Duration {
	wait := time.Duration(0)
	if s.limit.Limited {
		wait = s.limit.bucket.wait(w.now)
	}
	if slowStart {
		wait = max(wait, s.slowStart.wait(w.now, s.service.slowStart.quota))
	}
	return wait
}

// maxGrantWait is how long the request waits at most for a granted turn.
func (r *request) maxGrantWait(now time.Time) time.Duration {
	return max(min(time.Duration(grantWaitFraction*float64(r.timeLeft(now))), maxGrantWait), 0)
}

// allowRate reports whether a grant for the request may be had or asked for. If that is so only later, it schedules a
// wake-up.
func (w *World) allowRate(r *request, s *server) bool {
	if !w.isRateLimited(s) {
		return true
	}
	if len(w.holders(s)) == 0 {
		return false
	}
	wait := w.untilGrant(r, s)
	if wait > 0 {
		s.service.wakeBy(w.now.Add(wait))
	}
	return wait <= 0
}

// untilGrant is how long it takes until a grant for the request may be had or asked for, 0 if that is so now. The
// server's holders are known.
func (w *World) untilGrant(r *request, s *server) time.Duration {
	if w.isHolder(s) {
		return max(w.turnWait(s, s.inSlowStart(w.now))-r.maxGrantWait(w.now), 0)
	}
	return max(s.holding.pausedUntil.Sub(w.now), 0)
}

// preferRegular leaves only the servers that are not rate-limited, and those of which this instance is a regular sender, if
// there are any.
func (w *World) preferRegular(list []serverView) []serverView {
	isOther := func(v serverView) bool { return w.isRateLimited(v.server) && !w.isRegularSender(v.server) }
	if !slices.ContainsFunc(list, isOther) {
		return list
	}
	regular := slices.DeleteFunc(slices.Clone(list), isOther)
	if len(regular) > 0 {
		return regular
	}
	return list
}

// takeGrant lets the dispatch of a request to a rate-limited server have a grant, or names the holders to ask for one.
func (w *World) takeGrant(r *request, s *server, d *Dispatch) {
	if !w.isRateLimited(s) {
		return
	}
	maxWait := r.maxGrantWait(w.now)
	if w.isHolder(s) {
		d.GrantWait = w.giveGrant(s, false, maxWait).Wait
		return
	}
	d.Holders = w.holders(s)
	d.GrantRequest = GrantRequest{
		Server: s.ID, StartTime: s.StartTime, SlowStart: s.inSlowStart(w.now),
		Limit: s.limit.RateLimit, LimitAge: w.now.Sub(s.limit.statedAt), MaxWait: maxWait,
	}
}

// grantRefused keeps this instance from asking for the server's grants for a time. after is when a turn may be found, 0
// if no holder has answered.
func (w *World) grantRefused(r *request, s *server, after time.Duration) {
	r.dispatches-- // no attempt was made
	if !r.service.engine {
		r.service.throttle.accepted.add(w.now, -1)
	}
	if s == nil {
		return
	}
	pause := unansweredPause
	if after > 0 {
		pause = min(max(after, minGrantPause), maxGrantPause)
	}
	s.holding.pausedUntil = later(s.holding.pausedUntil, w.now.Add(pause))
}

// grantRate is how many grants a second there are for the server.
func (w *World) grantRate(s *server) float64 {
	rate := math.Inf(1)
	if s.limit.Limited {
		rate = usedLimit(s.limit.PerSecond)
	}
	if s.inSlowStart(w.now) {
		rate = min(rate, float64(s.service.slowStart.quota)/slowStartWindow.Seconds())
	}
	return rate
}

// never is a wait without end.
const never = time.Duration(math.MaxInt64)

// grantWait is how long the request waits for its turn if all servers that may take it are rate-limited; ok is false if
// any of them is not.
func (w *World) grantWait(r *request) (wait time.Duration, ok bool) {
	fits := w.versionFilter(r)
	rate, first := 0.0, never
	for _, s := range r.service.servers {
		if !s.usable(w.now) || !fits(s) {
			continue
		}
		if !w.isRateLimited(s) {
			return 0, false
		}
		ok = true
		if len(w.holders(s)) > 0 {
			rate += w.grantRate(s)
			first = min(first, w.untilGrant(r, s))
		}
	}
	if !ok || rate <= 0 {
		return never, ok
	}
	return first + seconds(float64(r.service.queue.ahead(r))/rate), true
}

// grantRefusalReason says why a request is refused that would wait for a grant for too long.
func (w *World) grantRefusalReason(s *service) Reason {
	for _, srv := range s.servers {
		if srv.usable(w.now) && srv.limit.Limited {
			return ReasonLimited
		}
	}
	return ReasonSlowStart
}
