package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/google/uuid"

	"masticplank.example/router/internal/wire"
)

// kind is the kind of a request in the load.
type kind string

// The kinds of requests; loadMix holds their shares of the load.
const (
	kindChat    kind = "chat"
	kindStream  kind = "stream"
	kindSession kind = "session"
	kindRead    kind = "read"
	kindReserve kind = "reserve"
	// kindDuplicate is one reservation sent to two instances at once.
	kindDuplicate kind = "reserve twice"
	// kindForbidden requests a model that the team may not use.
	kindForbidden kind = "forbidden"
)

// loadMix is the composition of the load, in percent.
var loadMix = []struct {
	kind    kind
	percent int
}{
	{kindChat, 34},
	{kindStream, 26},
	{kindSession, 12},
	{kindRead, 12},
	{kindReserve, 8},
	{kindDuplicate, 5},
	{kindForbidden, 3},
}

// request is one request of the load.
type request struct {
	index int
	kind  kind
	team  team
	// chat is set for requests to models.
	chat wire.ChatRequest
	task string
	// path and body are set for requests to the shop.
	path string
	body string
	// key is the Idempotency-Key.
	key string
	// session is the index of the session among those of the team.
	session int
}

// sessionsPerTeam is the number of sessions opened before the load.
const sessionsPerTeam = 3

// generateLoad returns a load of n requests. It is the same for the same seed,
// except for the keys, which are UUIDv7 and must contain the current time.
func generateLoad(n int, seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, seed))
	teams := demoTeams()
	out := make([]request, n)
	for i := range out {
		r := request{
			index: i,
			kind:  pickKind(rng),
			team:  teams[rng.IntN(len(teams))],
			key:   uuid.Must(uuid.NewV7()).String(),
		}
		switch r.kind {
		case kindRead:
			r.path = fmt.Sprintf("/stock/wool-%d", rng.IntN(50))
		case kindReserve, kindDuplicate:
			r.path = "/reservations"
			r.body = fmt.Sprintf(`{"article":"wool-%d","metres":%d}`, rng.IntN(50), 1+rng.IntN(9))
		case kindForbidden:
			r.team = teams[1]
			r.chat = newChatRequest(rng, i)
			r.chat.Model = modelLarge
		default:
			fillChat(&r, rng)
		}
		out[i] = r
	}
	return out
}

func pickKind(rng *rand.Rand) kind {
	draw := rng.IntN(100)
	for _, p := range loadMix {
		if draw < p.percent {
			return p.kind
		}
		draw -= p.percent
	}
	return kindChat
}

// fillChat fills in a chat request. Session requests and a third of the others
// name a model; the rest leaves the choice to the cascade.
func fillChat(r *request, rng *rand.Rand) {
	r.chat = newChatRequest(rng, r.index)
	r.chat.Stream = r.kind == kindStream || rng.IntN(2) == 0 && r.kind == kindSession
	r.task = []string{"draft", "lookup"}[rng.IntN(2)]
	r.session = rng.IntN(sessionsPerTeam)
	if r.kind == kindSession || rng.IntN(3) == 0 {
		r.chat.Model = r.team.models[rng.IntN(len(r.team.models))]
	}
}

// newChatRequest returns a request whose prompt begins with one of five texts,
// repeated 1 to 20 times, so that the engines' prefix caches get hits.
func newChatRequest(rng *rand.Rand, index int) wire.ChatRequest {
	prefix := strings.Repeat(fmt.Sprintf("House rules of pattern book %d. ", rng.IntN(5)), 1+rng.IntN(20))
	return wire.ChatRequest{
		Messages: []wire.Message{
			{Role: "system", Content: prefix},
			{Role: "user", Content: fmt.Sprintf("Request %d: draft a border.", index)},
		},
		MaxTokens: 4 + rng.IntN(60),
	}
}
