package passthrough

const (
	// fullLoad is the part of a service's places from which on nothing is asked of the
	// largest model for requests of the first rank: it is ten times slower, and keeps places
	// taken for longer than the arrivals allow. It is taken over all servers: requests for
	// one prompt crowd on few of them, and by each server's own places 12 in 100 answers
	// were weak ones on a day with half of all places free.
	fullLoad = 1.0
	// rankStep is what each lower rank has less, down to lowRank: where not all can have
	// the largest model, those that matter most do.
	rankStep = 0.12
	lowRank  = 2
	// fadeLoad is the part of the places over which the bar sinks to nothing. An instance
	// knows the load of 90 servers to a fifth of their places only: a step there has all of
	// them turn at once.
	fadeLoad = 0.25
)

// roomFor is how far the largest model may be asked for a request of the rank, with so many
// of the places taken: 1 where there is room for it, less while they fill, 0 where they are
// full.
func roomFor(rank int, taken float64) float64 {
	full := fullLoad - rankStep*float64(min(rank, lowRank))
	return min(max((full-taken)/fadeLoad, 0), 1)
}

const (
	// longWait is the part of a route's target from which on the mean wait of prompts leaves
	// no time for the largest model, for the first rank; waitStep is what each lower rank has
	// less. A prompt dropped there waits once more at the engine, and takes ten times as long.
	longWait = 0.45
	waitStep = 0.05
	// waitFade is the part of the target over which the bar sinks to nothing.
	waitFade = 0.25
)

// timeFor is the same as roomFor by time: by the mean wait of prompts, as a part of the
// route's target.
//
// Load: more prompts than the largest model can read, at engines with places free: an engine
// of 128 places is full of prompts with 20 taken. Harm prevented: prompts of the largest
// model that hold up everything else, so that nearly all answers come late.
func timeFor(rank int, wait float64) float64 {
	long := longWait - waitStep*float64(min(rank, lowRank))
	return min(max((long-wait)/waitFade, 0), 1)
}

// fill is how full a service's engines are.
type fill struct {
	// taken is the part of all places that is taken.
	taken float64
	// wait is the mean wait of prompts, in seconds.
	wait float64
	// places is how many there are.
	places int
}

// plusOne takes one more place.
func (f fill) plusOne() fill {
	if f.places > 0 {
		f.taken += 1 / float64(f.places)
	}
	return f
}

// filled sums up the views of a service's servers.
func filled(s *service, views []view) fill {
	if s.slots <= 0 || len(views) == 0 {
		return fill{}
	}
	load, wait := 0.0, 0.0
	for _, v := range views {
		load += min(v.load, float64(s.slots))
		wait += v.wait
	}
	places := len(views) * s.slots
	return fill{taken: load / float64(places), wait: wait / float64(len(views)), places: places}
}

// room is how far the largest model may be asked for the request: 1 for freely, 0 for never.
func (f fill) room(r *request) float64 {
	return min(roomFor(r.Rank, f.taken), timeFor(r.Rank, f.wait/r.Route.Target.Seconds()))
}
