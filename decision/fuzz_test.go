package decision

import (
	"math"
	"testing"
	"time"
)

// byteSource turns fuzzed bytes into values; past its end it returns zeros.
type byteSource []byte

func (t *byteSource) next() byte {
	if len(*t) == 0 {
		return 0
	}
	b := (*t)[0]
	*t = (*t)[1:]
	return b
}

// number returns a value from 0 to 1, or at times NaN, an infinity or a value out
// of range.
func (t *byteSource) number() float64 {
	special := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2}
	b := int(t.next())
	if b < len(special) {
		return special[b]
	}
	return float64(b) / 255
}

func (t *byteSource) version() VersionID {
	return []VersionID{"", weave1, weave2, draft1, "none"}[t.next()%5]
}

func (t *byteSource) server() ServerID { return []ServerID{"", "s0", "s1", "s2"}[t.next()%4] }

func (t *byteSource) model() ModelID {
	return []ModelID{"", "weave", "draft", "weave@1"}[t.next()%4]
}

func (t *byteSource) at() time.Time {
	return epoch.Add(time.Duration(int8(t.next())) * 100 * time.Millisecond)
}

func (t *byteSource) event() Event {
	id, attempt := RequestID(t.next()%16), AttemptID(t.next()%4)
	switch t.next() % 13 {
	case 0:
		return t.manifest()
	case 1:
		return ServersListed{Servers: []Server{
			{ID: t.server(), Versions: []VersionID{t.version(), t.version()}, Slots: int(int8(t.next()))},
			{ID: t.server(), Versions: []VersionID{t.version()}, Leaving: t.next()%4 == 0, Slots: 3},
			{ID: t.server(), Service: "stock", Slots: 1},
		}}
	case 2:
		return ServerLeaving{Server: t.server()}
	case 3:
		return LoadReported{Server: t.server(), Running: int(int8(t.next())), Queued: int(int8(t.next())), At: t.at()}
	case 4:
		return CacheChanged{Server: t.server(), Seq: uint64(t.next()), Added: []BlockHash{BlockHash(t.next())}, Removed: []BlockHash{BlockHash(t.next())}}
	case 5:
		return RequestCancelled{Request: id}
	case 6:
		return FirstToken{Request: id, Attempt: attempt}
	case 7:
		return AttemptEnded{Request: id, Attempt: attempt, Result: AttemptResult(t.next() % 8), Tokens: int(int8(t.next())), ResponseStarted: t.next()%4 == 0, Leaving: t.next()%4 == 0}
	case 8:
		return AnswerRated{Request: id, Attempt: attempt, Team: "a", Version: t.version(), Score: t.number(), Late: t.next()%2 == 0}
	case 9:
		return VersionVerdict{Version: t.version(), Bad: t.next()%2 == 0, Until: t.at()}
	case 10:
		return RequestQuarantined{Fingerprint: Fingerprint(t.next() % 4), Until: t.at()}
	case 11:
		return FreshnessChanged{Fresh: t.next()%4 != 0, Outage: t.next()%4 == 0}
	default:
		return t.request(id)
	}
}

func (t *byteSource) manifest() Event {
	version := func(id VersionID) Version {
		return Version{
			ID: id, Model: t.model(), State: VersionState(t.next() % 5), Share: t.number(),
			Predecessor: t.version(), Cost: t.number(), Quality: t.number(),
		}
	}
	return ManifestApplied{
		Generation: uint64(t.next()),
		Versions:   []Version{version(t.version()), version(weave1), version(draft1)},
		Teams: []Team{
			{ID: "a", Weight: int(int8(t.next())), QualityTarget: t.number(), Allowed: []VersionID{weave1, draft1, t.version()}, Services: []ServiceID{"stock"}},
			{ID: "b", QueueLimit: int(int8(t.next())), Allowed: []VersionID{t.version()}},
		},
	}
}

func (t *byteSource) request(id RequestID) Event {
	r := Request{
		ID: id, Team: []TeamID{"a", "b", ""}[t.next()%3], Model: t.model(), Pinned: t.version(),
		RolloutPosition: t.number(), Fingerprint: Fingerprint(t.next() % 4), Blocks: []BlockHash{BlockHash(t.next())},
		PromptTokens: int(int8(t.next())), MaxTokens: int(int8(t.next())), Priority: int(int8(t.next())),
		Idempotent: t.next()%2 == 0, Streamed: t.next()%2 == 0, Resend: t.next()%4 == 0,
	}
	if t.next()%2 == 0 {
		r.Pinned = ""
		r.Pins = []VersionID{t.version()}
	}
	if t.next()%8 == 0 {
		r.Service = "stock"
	}
	if t.next()%2 == 0 {
		r.Deadline = t.at()
	}
	return RequestArrived{Request: r}
}

// FuzzTick sends arbitrary events, including invalid ones, at arbitrary times. Tick
// must not panic, must end no request twice, and no server's count of running
// attempts may become negative.
func FuzzTick(f *testing.F) {
	seed := make([]byte, 600)
	for i := range seed {
		seed[i] = byte(i*37 + i/11)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := byteSource(data)
		w := NewWorld(Config{Seed: 1})
		w.Tick(epoch, []Event{FreshnessChanged{Fresh: true}})
		live := map[RequestID]bool{}
		for len(in) > 0 {
			now := in.at()
			var events []Event
			for range in.next()%4 + 1 {
				events = append(events, in.event())
			}
			checkTick(t, w, now, events, live)
		}
	})
}

func checkTick(t *testing.T, w *World, now time.Time, events []Event, live map[RequestID]bool) {
	for _, e := range events {
		if a, ok := e.(RequestArrived); ok {
			live[a.Request.ID] = true
		}
	}
	for _, c := range w.Tick(now, events) {
		var id RequestID
		switch c := c.(type) {
		case Deliver:
			id = c.Request
		case Refuse:
			id = c.Request
		case Fail:
			id = c.Request
		default:
			continue
		}
		if !live[id] && !cancelledIn(events, id) {
			t.Fatalf("request %d ended, but it is not live: %+v", id, c)
		}
		if w.requests[id] == nil {
			delete(live, id)
		}
	}
	for _, s := range w.serverList {
		if s.running < 0 {
			t.Fatalf("server %s has %d running attempts", s.ID, s.running)
		}
	}
}

// cancelledIn reports whether the id was cancelled in the tick, and so may have
// been used again within it.
func cancelledIn(events []Event, id RequestID) bool {
	for _, e := range events {
		if c, ok := e.(RequestCancelled); ok && c.Request == id {
			return true
		}
	}
	return false
}
