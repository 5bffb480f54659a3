package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/google/uuid"

	"masticplank.example/router/internal/wire"
)

// kind of a request in the load.
type kind string

// The kinds, with their parts of the load in kindParts.
const (
	kindChat    kind = "chat"
	kindStream  kind = "stream"
	kindSession kind = "session"
	kindRead    kind = "read"
	kindReserve kind = "reserve"
	// kindTwice is one reservation sent to two instances at once.
	kindDuplicate kind = "reserve twice"
	// kindForbidden asks for a model that the team may not use.
	kindForbidden kind = "forbidden"
)

// kindParts are the parts of the load, in hundredths.
var loadMix = []struct {
	kind kind
	part int
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
	// chat is set for model work.
	chat wire.ChatRequest
	task string
	// path and body are set for the shop.
	path string
	body string
	// key is its Idempotency-Key.
	key string
	// session numbers the session that it belongs to.
	session int
}

// sessionsPerTeam is how many sessions are opened before the load.
const sessionsPerTeam = 3

// plan makes the load: the same for the same seed, but for the keys, whose time
// must be the present.
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
			r.chat = chatBody(rng, i)
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
		if draw < p.part {
			return p.kind
		}
		draw -= p.part
	}
	return kindChat
}

// fillChat makes model work: a third names a model, the rest leaves the choice
// to the cascade.
func fillChat(r *request, rng *rand.Rand) {
	r.chat = chatBody(rng, r.index)
	r.chat.Stream = r.kind == kindStream || rng.IntN(2) == 0 && r.kind == kindSession
	r.task = []string{"draft", "lookup"}[rng.IntN(2)]
	r.session = rng.IntN(sessionsPerTeam)
	if r.kind == kindSession || rng.IntN(3) == 0 {
		r.chat.Model = r.team.models[rng.IntN(len(r.team.models))]
	}
}

// chatBody mixes short and long prompts behind shared openings, so that the
// engines' prefix caches have something to keep.
func chatBody(rng *rand.Rand, index int) wire.ChatRequest {
	prefix := strings.Repeat(fmt.Sprintf("House rules of pattern book %d. ", rng.IntN(5)), 1+rng.IntN(20))
	return wire.ChatRequest{
		Messages: []wire.Message{
			{Role: "system", Content: prefix},
			{Role: "user", Content: fmt.Sprintf("Request %d: draft a border.", index)},
		},
		MaxTokens: 4 + rng.IntN(60),
	}
}
