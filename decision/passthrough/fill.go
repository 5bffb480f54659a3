package passthrough

// fade gives up the largest model as a measure of load grows: freely asked up to full less
// width, never from full on. Each lower rank has step less, down to lowRank: where not all can
// have the largest model, those that matter most do.
type loadRamp struct{ full, step, width float64 }

const lowestPriority = 2

// room is how far the largest model may be asked for a request of the rank: 1 where there is
// room for it, less while load grows, 0 where there is none.
func (l loadRamp) headroom(priority int, load float64) float64 {
	end := l.full - l.step*float64(min(priority, lowestPriority))
	return min(max((end-load)/l.width, 0), 1)
}

var (
	// byPlaces goes by the part of a service's places that is taken: the largest model is ten
	// times slower, and keeps places taken for longer than the arrivals allow. It is taken
	// over all servers: requests for one prompt crowd on few of them, and by each server's
	// own places 12 in 100 answers were weak ones on a day with half of all places free. An
	// instance knows the load of 90 servers to a fifth of their places only, and a step there
	// would have all of them turn at once.
	utilizationRamp = loadRamp{full: 1, step: 0.12, width: 0.25}
	// byWait goes by the mean wait of prompts, as a part of the route's target.
	//
	// Load: more prompts than the largest model can read, at engines with places free: an
	// engine of 128 places is full of prompts with 20 taken. Harm prevented: prompts of the
	// largest model that hold up everything else, so that nearly all answers come late. An
	// answer that is dropped waits once more, and takes ten times as long: from half of the
	// target on it would be late.
	prefillWaitRamp = loadRamp{full: 0.45, step: 0.05, width: 0.25}
)

// fill is how full a service's engines are.
type occupancy struct {
	// taken is the part of all places that is taken.
	utilization float64
	// wait is the mean wait of prompts, in seconds.
	prefillWait float64
	// places is how many there are.
	slots int
}

// plusOne takes one more place.
func (o occupancy) withOneMore() occupancy {
	if o.slots > 0 {
		o.utilization += 1 / float64(o.slots)
	}
	return o
}

// filled sums up the views of a service's servers, by what this instance knows by itself: it tells
// later, and of less, than the word of all instances, but it errs alike on all days, and how much
// may be asked of the largest model goes by it. By the others' word, which changes with each
// prompt, more prompts left their failure domain, and more weak answers were kept.
func occupancyOf(s *service, views []serverView) occupancy {
	if s.slots <= 0 || len(views) == 0 {
		return occupancy{}
	}
	load, wait := 0.0, 0.0
	for _, v := range views {
		load += min(v.own.load, float64(s.slots))
		wait += v.own.wait
	}
	places := len(views) * s.slots
	return occupancy{utilization: load / float64(places), prefillWait: wait / float64(len(views)), slots: places}
}

// room is how far the largest model may be asked for the request: 1 for freely, 0 for never.
func (o occupancy) headroom(r *request) float64 {
	return min(utilizationRamp.headroom(r.Priority, o.utilization), prefillWaitRamp.headroom(r.Priority, o.prefillWait/r.Route.TargetLatency.Seconds()))
}
