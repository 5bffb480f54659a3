package relay

import (
	"context"
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
)

// Report is what some instances tell the others.
type Report struct {
	// Loads is what they have at the engines.
	Loads []passthrough.PeerLoad
	// Limits are the rate limits that they were told by backend servers' answers.
	Limits []passthrough.PeerLimit
	// LostConfig is the highest version of the configuration that they know and that the store
	// lacks since it came back from a copy; 0 for none.
	LostConfigVersion uint64
	// Instances is how many they are.
	Instances int
}

// Loads lets the instances tell each other what they have at the engines, and which rate limits
// these state. Each one tells its collector, and gets the sum of all. A collector does the same
// with the first collector of the failure domains, so that each sum covers all instances.
type LoadExchange struct {
	client *Client
	now    func() time.Time
	// own gives what this instance has; take is given what all others have.
	ownReport func() Report
	apply     func(others Report)
	// Unreadable is told of a report, or an answer to one, that cannot be read and changes
	// nothing; nil for nobody.
	OnUnreadable func(from string, err error)

	mu sync.Mutex
	// below are the reports of those that ask this instance, by name; above is what the collector
	// knows beyond what this instance told it.
	followerReports map[string]timedReport
	collectorReport timedReport
}

// loadReport is a report with its time.
type timedReport struct {
	Report
	// at is what the ages of limits count from, receivedAt when the report came in.
	asOf       time.Time
	receivedAt time.Time
}

const (
	// loadsEvery is the time between two reports: a prompt holds up an engine for some tenths of
	// a second, and a report costs a collector some 50 us of its processor.
	minReportInterval = 150 * time.Millisecond
	// reportTime is the part of a collector's time that one follower's reports may have.
	reportIntervalPerInstance = 2500 * time.Microsecond
	// loadsLives is how many reports long one counts, of an instance that is gone.
	reportTTLIntervals = 3
	// loadsTimeout bounds a report: later it is of no use.
	reportTimeout = 2 * minReportInterval
)

// NewLoads returns the exchange; own gives what this instance tells, and take is given what all
// others tell.
func NewLoadExchange(client *Client, ownReport func() Report, apply func(others Report)) *LoadExchange {
	return &LoadExchange{client: client, now: client.now, ownReport: ownReport, apply: apply, followerReports: map[string]timedReport{}}
}

// every is the time between two reports, by the instances of the failure domain.
func (l *LoadExchange) interval() time.Duration {
	return max(minReportInterval, time.Duration(l.client.members.DomainSize())*reportIntervalPerInstance)
}

// life is how long a report counts.
func (l *LoadExchange) reportTTL() time.Duration { return reportTTLIntervals * l.interval() }

// Run exchanges reports until ctx ends.
func (l *LoadExchange) Run(ctx context.Context) {
	timer := time.NewTimer(minReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			l.exchange(ctx)
			timer.Reset(l.interval())
		case <-ctx.Done():
			return
		}
	}
}

// once tells the collector what is known here, and takes in what it knows beyond that.
func (l *LoadExchange) exchange(ctx context.Context) {
	to := l.client.members.Collectors()
	if len(to) == 0 {
		to = l.client.members.RemoteCollectors()
	}
	if len(to) > 0 {
		l.sendReport(ctx, to[0])
	}
	l.apply(l.sum(l.liveReports("", true)))
}

// report tells a collector, and keeps what it answers. One that does not answer is found out by
// the reads of the topics.
func (l *LoadExchange) sendReport(ctx context.Context, to Member) {
	askedAt := l.now()
	packed := packReport(l.sum(append(l.liveReports("", false), l.currentReport())))
	params := loadsParams{
		Name: l.client.members.self.Name, Rows: packed.loads, Limits: packed.limits,
		LostConfigVersion: packed.lostConfigVersion, Instances: packed.instances,
	}
	out, err := l.client.callMember(ctx, to, methodLoads, params, reportTimeout)
	if err != nil {
		return
	}
	// The ages of limits count from the question: an old answer must not look new.
	others, err := l.unpack(to.Name, packedReport{out.Loads, out.Limits, out.LostConfigVersion, out.Instances}, askedAt)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectorReport = others
}

// packedReport is a report as instances send it.
type packedReport struct {
	loads, limits     []byte
	lostConfigVersion uint64
	instances         int
}

func packReport(r Report) packedReport {
	return packedReport{packLoads(r.Loads), packLimits(r.Limits), r.LostConfigVersion, r.Instances}
}

// unpack reads what another instance sent; the ages in it are as of the time.
func (l *LoadExchange) unpack(from string, p packedReport, at time.Time) (timedReport, error) {
	out := timedReport{asOf: at, receivedAt: l.now()}
	out.LostConfigVersion, out.Instances = p.lostConfigVersion, p.instances
	var err error
	if out.Loads, err = unpackLoads(p.loads); err == nil {
		out.Limits, err = unpackLimits(p.limits)
	}
	if err != nil && l.OnUnreadable != nil {
		l.OnUnreadable(from, err)
	}
	return out, err
}

// told takes in a report and answers with what all others have.
func (l *LoadExchange) handleReport(p loadsParams) (answer, error) {
	in, err := l.unpack(p.Name, packedReport{p.Rows, p.Limits, p.LostConfigVersion, p.Instances}, l.now())
	if err != nil {
		return answer{}, err
	}
	l.mu.Lock()
	l.followerReports[p.Name] = in
	l.mu.Unlock()
	out := packReport(l.sum(append(l.liveReports(p.Name, true), l.currentReport())))
	return answer{Loads: out.loads, Limits: out.limits, LostConfigVersion: out.lostConfigVersion, Instances: out.instances}, nil
}

// self is what this instance has.
func (l *LoadExchange) currentReport() timedReport {
	return timedReport{Report: l.ownReport(), asOf: l.now()}
}

// known are the reports that still count: of those below but for one, and from above if asked for.
func (l *LoadExchange) liveReports(except string, withCollector bool) []timedReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, ttl := l.now(), l.reportTTL()
	var out []timedReport
	for name, r := range l.followerReports {
		switch {
		case now.Sub(r.receivedAt) > ttl:
			delete(l.followerReports, name)
		case name != except:
			out = append(out, r)
		}
	}
	if withCollector && now.Sub(l.collectorReport.receivedAt) <= ttl {
		out = append(out, l.collectorReport)
	}
	return out
}

// total adds reports up: their loads, and of each limit the newest word.
func (l *LoadExchange) sum(reports []timedReport) Report {
	now := l.now()
	var loads [][]passthrough.PeerLoad
	var limits [][]passthrough.PeerLimit
	var out Report
	for _, r := range reports {
		loads = append(loads, r.Loads)
		limits = append(limits, addAge(r.Limits, now.Sub(r.asOf)))
		out.Instances += r.Instances
		out.LostConfigVersion = max(out.LostConfigVersion, r.LostConfigVersion)
	}
	out.Loads = sumLoads(loads...)
	out.Limits = newestLimits(limits...)
	return out
}
