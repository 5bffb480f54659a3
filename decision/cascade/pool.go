package cascade

// Pool is what an instance knows of all engines of a service together.
type Pool struct {
	// Backlog is how many seconds the outstanding prefill of all instances takes all engines.
	Backlog float64
	// Utilization is the fraction of all slots that are taken.
	Utilization float64
	// Capacity is the number of engines, each weighed by its speed.
	Capacity float64
	// Instances is the number of instances that decide by such a pool.
	Instances int
	// Shared is true if the other instances' loads are known, not only estimated.
	Shared bool
}

// ramp is a range of a measure of load: all requests get the larger models below full, none from none on, and fewer the
// higher it is in between. It is a range, not a limit, as all instances see nearly the same load, some tenths of a second
// late: with a limit all would switch at once.
type ramp struct{ full, none float64 }

func (r ramp) level(x float64) float64 { return min(max((r.none-x)/(r.none-r.full), 0), 1) }

// at is the load at which the level is as given.
func (r ramp) at(level float64) float64 { return r.none - level*(r.none-r.full) }

var (
	// backlogRamp is the backlog as a fraction of the shortest target. A request whose response was dropped waits for it
	// twice: once at the smallest model and once at the larger one, whose prefill comes on top.
	backlogRamp = ramp{full: 0.15, none: 0.4}
	// ampleRamp is the same for requests that are given the largest model at once, half of which do not need it: they get
	// what room there is before any request whose response was dropped has to do without.
	ampleRamp = ramp{full: 0.05, none: 0.15}
	// utilizationRamp is the fraction of slots that are taken: a larger model's request holds its slot longer.
	utilizationRamp = ramp{full: 0.75, none: 1}
)

// level is the fraction of the work for larger models for which there is room, at a backlog other than the pool's.
func (p Pool) level(backlog ramp, at float64) float64 {
	return min(backlog.level(at), utilizationRamp.level(p.Utilization))
}

// room is how many seconds of prefill can be added before the level falls below a position.
func (p Pool) room(backlog ramp, position float64) float64 {
	if utilizationRamp.level(p.Utilization) < position {
		return 0
	}
	return max(backlog.at(position)-p.Backlog, 0) * p.Capacity
}
