package relay

import (
	"context"
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
)

// Loads lets the instances tell each other what they have at the engines. Each one tells its
// collector, and gets the sum of all. A collector does the same with the first collector of the
// failure domains, so that each sum covers all instances.
type Loads struct {
	client *Client
	now    func() time.Time
	// own gives what this instance has; take is given what all others have.
	own  func() []passthrough.SharedLoad
	take func(rows []passthrough.SharedLoad, instances int)
	// Unreadable is told of a report, or an answer to one, that cannot be read and changes
	// nothing; nil for nobody.
	Unreadable func(from string, err error)

	mu sync.Mutex
	// below are the reports of those that ask this instance, by name; above is what the collector
	// knows beyond what this instance told it.
	below map[string]loadReport
	above loadReport
}

// loadReport is what some instances had.
type loadReport struct {
	rows []passthrough.SharedLoad
	// instances is how many they are.
	instances int
	at        time.Time
}

const (
	// loadsEvery is the time between two reports: a prompt holds up an engine for some tenths of
	// a second, and a report costs a collector some 50 us of its processor.
	loadsEvery = 150 * time.Millisecond
	// reportTime is the part of a collector's time that one follower's reports may have.
	reportTime = 2500 * time.Microsecond
	// loadsLives is how many reports long one counts, of an instance that is gone.
	loadsLives = 3
	// loadsTimeout bounds a report: later it is of no use.
	loadsTimeout = 2 * loadsEvery
)

// NewLoads returns the exchange; own gives what this instance has at the engines, and take is
// given what so many other instances have.
func NewLoads(client *Client, own func() []passthrough.SharedLoad, take func(rows []passthrough.SharedLoad, instances int)) *Loads {
	return &Loads{client: client, now: client.now, own: own, take: take, below: map[string]loadReport{}}
}

// every is the time between two reports, by the instances of the failure domain.
func (l *Loads) every() time.Duration {
	return max(loadsEvery, time.Duration(l.client.members.Near())*reportTime)
}

// life is how long a report counts.
func (l *Loads) life() time.Duration { return loadsLives * l.every() }

// Run exchanges reports until ctx ends.
func (l *Loads) Run(ctx context.Context) {
	timer := time.NewTimer(loadsEvery)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			l.once(ctx)
			timer.Reset(l.every())
		case <-ctx.Done():
			return
		}
	}
}

// once tells the collector what is known here, and takes in what it knows beyond that.
func (l *Loads) once(ctx context.Context) {
	to := l.client.members.Collectors()
	if len(to) == 0 {
		to = l.client.members.FarCollectors()
	}
	if len(to) > 0 {
		l.report(ctx, to[0])
	}
	others := total(l.known("", true))
	l.take(others.rows, others.instances)
}

// report tells a collector, and keeps what it answers. One that does not answer is found out by
// the reads of the topics.
func (l *Loads) report(ctx context.Context, to Member) {
	mine := total(append(l.known("", false), l.self()))
	params := loadsParams{Name: l.client.members.self.Name, Rows: packLoads(mine.rows), Instances: mine.instances}
	out, err := l.client.ask(ctx, to, methodLoads, params, loadsTimeout)
	if err != nil {
		return
	}
	rows, err := l.unpack(to.Name, out.Loads)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.above = loadReport{rows, out.Instances, l.now()}
}

// unpack reads what another instance sent.
func (l *Loads) unpack(from string, packed []byte) ([]passthrough.SharedLoad, error) {
	rows, err := unpackLoads(packed)
	if err != nil && l.Unreadable != nil {
		l.Unreadable(from, err)
	}
	return rows, err
}

// told takes in a report and answers with what all others have.
func (l *Loads) told(p loadsParams) (answer, error) {
	rows, err := l.unpack(p.Name, p.Rows)
	if err != nil {
		return answer{}, err
	}
	l.mu.Lock()
	l.below[p.Name] = loadReport{rows, p.Instances, l.now()}
	l.mu.Unlock()
	others := total(append(l.known(p.Name, true), l.self()))
	return answer{Loads: packLoads(others.rows), Instances: others.instances}, nil
}

// self is what this instance has.
func (l *Loads) self() loadReport { return loadReport{rows: l.own(), instances: 1} }

// known are the reports that still count: of those below but for one, and from above if asked for.
func (l *Loads) known(except string, above bool) []loadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, life := l.now(), l.life()
	var out []loadReport
	for name, r := range l.below {
		switch {
		case now.Sub(r.at) > life:
			delete(l.below, name)
		case name != except:
			out = append(out, r)
		}
	}
	if above && now.Sub(l.above.at) <= life {
		out = append(out, l.above)
	}
	return out
}

// total adds reports up.
func total(reports []loadReport) loadReport {
	var lists [][]passthrough.SharedLoad
	var out loadReport
	for _, r := range reports {
		lists = append(lists, r.rows)
		out.instances += r.instances
	}
	out.rows = plus(lists...)
	return out
}
