package decision

import (
	"math"
	"testing"
	"time"
)

// byteSource turns fuzzed bytes into values; past its end it returns zeros.
type byteSource []byte

func (src *byteSource) next() byte {
	if len(*src) == 0 {
		return 0
	}
	b := (*src)[0]
	*src = (*src)[1:]
	return b
}

// number returns a value from 0 to 1, or at times NaN, an infinity or a value out
// of range.
func (src *byteSource) number() float64 {
	special := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2}
	b := int(src.next())
	if b < len(special) {
		return special[b]
	}
	return float64(b) / 255
}

func (src *byteSource) version() VersionID {
	return []VersionID{"", weave1, weave2, draft1, "none"}[src.next()%5]
}

func (src *byteSource) server() ServerID { return []ServerID{"", "s0", "s1", "s2"}[src.next()%4] }

func (src *byteSource) model() ModelID {
	return []ModelID{"", "weave", "draft", "weave@1"}[src.next()%4]
}

func (src *byteSource) at() time.Time {
	return epoch.Add(time.Duration(int8(src.next())) * 100 * time.Millisecond)
}

func (src *byteSource) event() Event {
	id, attempt := RequestID(src.next()%16), AttemptID(src.next()%4)
	switch src.next() % 13 {
	case 0:
		return src.manifest()
	case 1:
		return ServersListed{Servers: []Server{
			{ID: src.server(), Versions: []VersionID{src.version(), src.version()}, Slots: int(int8(src.next()))},
			{ID: src.server(), Versions: []VersionID{src.version()}, Leaving: src.next()%4 == 0, Slots: 3},
			{ID: src.server(), Service: "stock", Slots: 1},
		}}
	case 2:
		return ServerLeaving{Server: src.server()}
	case 3:
		return LoadReported{Server: src.server(), Running: int(int8(src.next())), Queued: int(int8(src.next())), At: src.at()}
	case 4:
		return CacheChanged{Server: src.server(), Seq: uint64(src.next()), Added: []BlockHash{BlockHash(src.next())}, Removed: []BlockHash{BlockHash(src.next())}}
	case 5:
		return RequestCancelled{Request: id}
	case 6:
		return FirstToken{Request: id, Attempt: attempt}
	case 7:
		return AttemptEnded{Request: id, Attempt: attempt, Result: AttemptResult(src.next() % 8), Tokens: int(int8(src.next())), ResponseStarted: src.next()%4 == 0, Leaving: src.next()%4 == 0}
	case 8:
		return AnswerRated{Request: id, Attempt: attempt, Team: "a", Version: src.version(), Score: src.number(), Late: src.next()%2 == 0}
	case 9:
		return VersionVerdict{Version: src.version(), Bad: src.next()%2 == 0, Until: src.at()}
	case 10:
		return RequestQuarantined{Fingerprint: Fingerprint(src.next() % 4), Until: src.at()}
	case 11:
		return FreshnessChanged{Fresh: src.next()%4 != 0, Outage: src.next()%4 == 0}
	default:
		return src.request(id)
	}
}

func (src *byteSource) manifest() Event {
	version := func(id VersionID) Version {
		return Version{
			ID: id, Model: src.model(), State: VersionState(src.next() % 5), Share: src.number(),
			Predecessor: src.version(), Cost: src.number(), Quality: src.number(),
		}
	}
	return ManifestApplied{
		Generation: uint64(src.next()),
		Versions:   []Version{version(src.version()), version(weave1), version(draft1)},
		Teams: []Team{
			{ID: "a", Weight: int(int8(src.next())), QualityTarget: src.number(), Allowed: []VersionID{weave1, draft1, src.version()}, Services: []ServiceID{"stock"}},
			{ID: "b", QueueLimit: int(int8(src.next())), Allowed: []VersionID{src.version()}},
		},
	}
}

func (src *byteSource) request(id RequestID) Event {
	r := Request{
		ID: id, Team: []TeamID{"a", "b", ""}[src.next()%3], Model: src.model(), Pinned: src.version(),
		RolloutPosition: src.number(), Fingerprint: Fingerprint(src.next() % 4), Blocks: []BlockHash{BlockHash(src.next())},
		PromptTokens: int(int8(src.next())), MaxTokens: int(int8(src.next())), Priority: int(int8(src.next())),
		Idempotent: src.next()%2 == 0, Streamed: src.next()%2 == 0, Resend: src.next()%4 == 0,
	}
	if src.next()%2 == 0 {
		r.Pinned = ""
		r.Pins = []VersionID{src.version()}
	}
	if src.next()%8 == 0 {
		r.Service = "stock"
	}
	if src.next()%2 == 0 {
		r.Deadline = src.at()
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
