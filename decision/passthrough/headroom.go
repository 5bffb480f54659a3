package passthrough

// loadRamp reduces the use of the largest model as a measure of load grows: the model is used without
// restriction while the load is below full minus width, and not at all once the load reaches full. For
// each lower priority, up to maxPrioritySteps of them, both bounds are lower by step, so that the
// largest model is kept for the higher priorities.
type loadRamp struct{ full, step, width float64 }

// maxPrioritySteps is the number of priority steps that lower the bounds of a loadRamp.
const maxPrioritySteps = 2

// headroom is how freely the largest model may be requested at a priority: 1 without restriction,
// less as load grows, 0 for never.
func (l loadRamp) headroom(priority int, load float64) float64 {
	end := l.full - l.step*float64(min(priority, maxPrioritySteps))
	return min(max((end-load)/l.width, 0), 1)
}

var (
	// utilizationRamp goes by the fraction of a service's slots that are taken: the largest model
	// is ten times slower, so that slots are taken faster than they become free. The fraction is
	// over all servers: requests with the same prefix crowd on few servers, and with a fraction
	// by server up to 12 in 100 responses are weak while half of all slots are free. It is a ramp
	// rather than a step, as an instance knows the load of 90 servers only to within a fifth of
	// their slots, and with a step all instances would switch at once.
	utilizationRamp = loadRamp{full: 1, step: 0.12, width: 0.25}
	// prefillWaitRamp goes by the mean wait of prompts, as a fraction of the route's target
	// latency.
	//
	// Load: more prompts than the largest model can process, at engines with free slots: an engine
	// of 128 slots is saturated with prompts once 20 are taken. Harm prevented: prefill for the
	// largest model that delays everything else, so that nearly all responses come late. The
	// request of a dropped response waits a second time and takes ten times as long: if the wait is
	// half of the target or more, the second response would be late.
	prefillWaitRamp = loadRamp{full: 0.45, step: 0.05, width: 0.25}
)

// occupancy is how full a service's engines are.
type occupancy struct {
	// utilization is the fraction of all slots that are taken.
	utilization float64
	// prefillWait is the mean wait of prompts, in seconds.
	prefillWait float64
	// slots is the number of slots of all engines.
	slots int
}

// withOneMore adds one request.
func (o occupancy) withOneMore() occupancy {
	if o.slots > 0 {
		o.utilization += 1 / float64(o.slots)
	}
	return o
}

// occupancyOf sums up the views of a service's servers, from this instance's own knowledge. That
// is older and less complete than the peers' load reports, but its errors are steady, and the
// bounds on the use of the largest model allow for them. The peers' reports change with each
// prompt: with them more prompts leave their failure domain and more weak responses are kept.
func occupancyOf(s *service, views []serverView) occupancy {
	if s.slots <= 0 || len(views) == 0 {
		return occupancy{}
	}
	load, wait := 0.0, 0.0
	for _, v := range views {
		load += min(v.own.load, float64(s.slots))
		wait += v.own.wait
	}
	slots := len(views) * s.slots
	return occupancy{utilization: load / float64(slots), prefillWait: wait / float64(len(views)), slots: slots}
}

// headroom is how freely the largest model may be requested for the request: 1 without
// restriction, 0 for never.
func (o occupancy) headroom(r *request) float64 {
	return min(utilizationRamp.headroom(r.Priority, o.utilization), prefillWaitRamp.headroom(r.Priority, o.prefillWait/r.Route.TargetLatency.Seconds()))
}
