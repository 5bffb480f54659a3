package passthrough

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"masticplank.example/router/internal/connlimit"
)

// TestHeldBytesStayWithinTheBound guards against an instance that holds more than its memory allows, or loses room for
// good because bytes are not given back.
func TestHeldBytesStayWithinTheBound(t *testing.T) {
	const memory = 144 << 20
	bytes := newHeldBytes(memory)
	rng := rand.New(rand.NewPCG(1, 2))
	holds := []*hold{}
	refused := 0
	for range 10_000 {
		h := &hold{bytes: bytes, direction: direction(rng.IntN(int(directions)))}
		if !h.add(rng.Int64N(1 << 20)) {
			refused++
		}
		holds = append(holds, h)
		sums := bytes.sums()
		if sum := sums[toServer] + sums[toCaller]; float64(sum) > heldMemoryFraction*memory {
			t.Fatalf("%d bytes are held, of %d bytes of memory", sum, memory)
		}
		if rng.IntN(3) > 0 {
			at := rng.IntN(len(holds))
			holds[at].release()
			holds[at].release() // gives nothing back twice
		}
	}
	if refused == 0 {
		t.Error("nothing was refused, so that the bound was not reached")
	}
	for _, h := range holds {
		h.release()
	}
	if sums := bytes.sums(); sums != [directions]int64{} {
		t.Errorf("%v bytes are held although all were given back", sums)
	}
}

// TestBodiesLeaveRoomForResponses guards against bodies that take all the room, so that the responses of requests which
// run already cannot be held.
func TestBodiesLeaveRoomForResponses(t *testing.T) {
	bytes := newHeldBytes(4000)
	body, response := &hold{bytes: bytes, direction: toServer}, &hold{bytes: bytes, direction: toCaller}
	if !body.add(750) || body.add(1) {
		t.Errorf("bodies hold %d bytes, want 750", body.n)
	}
	if !response.add(250) || response.add(1) {
		t.Errorf("responses hold %d bytes, want 250", response.n)
	}
}

// TestUnknownMemorySetsNoBound guards against an instance that refuses all bodies because its memory limit is not stated.
func TestUnknownMemorySetsNoBound(t *testing.T) {
	if !newHeldBytes(0).reserve(toServer, 1<<40) {
		t.Error("a body was refused without a bound")
	}
}

// TestBodyOfUnknownLengthStopsAtTheBound guards against a body without a length that is read beyond what may be held.
func TestBodyOfUnknownLengthStopsAtTheBound(t *testing.T) {
	bytes := &heldBytes{limit: 48_000}
	held := &hold{bytes: bytes, direction: toServer}
	text, err := connlimit.ReadAll(strings.NewReader(strings.Repeat("x", 100_000)), firstBodyBytes, held.add)
	if !errors.Is(err, errNoRoom) || int64(len(text)) > bytes.limitOf(toServer) {
		t.Errorf("read %d bytes, error %v", len(text), err)
	}
	held.release()
	want := strings.Repeat("y", 20_000)
	if text, err = connlimit.ReadAll(io.MultiReader(strings.NewReader(want[:7]), strings.NewReader(want[7:])), firstBodyBytes, held.add); err != nil || string(text) != want {
		t.Errorf("read %d bytes, error %v", len(text), err)
	}
}

// TestEventIsHeldBesideAFailedResponse guards against memory beyond the bound, as an event of a stream counts as a part of an
// earlier attempt's response that is still held.
func TestEventIsHeldBesideAFailedResponse(t *testing.T) {
	held := newHeldBytes(400_000)
	x := &exchange{responses: hold{bytes: held, direction: toCaller}, pending: hold{bytes: held, direction: toCaller}}
	if !x.responses.add(60_000) {
		t.Fatal("no room for the failed response")
	}
	if x.holdPending(60_000) {
		t.Errorf("%d bytes are held and up to 60000 more, the bound is %d", held.sums()[toCaller], held.limit)
	}
}
