package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/admission"
	"masticplank.example/decision/outlier"
	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/speed"
)

// Report is what one or several instances report to the others.
type Report struct {
	// Loads is their load at the backend servers.
	Loads []passthrough.PeerLoad
	// Limits are the rate limits that backend servers stated to them in responses.
	Limits []passthrough.PeerLimit
	// Leaving are the hashes of the backend servers' processes that stated to them that they are leaving.
	Leaving []uint64
	// Brittle are the services whose backend servers stated to them a moment ago that they are brittle, with
	// the number of rejections a second that these survive.
	Brittle map[string]float64
	// Speeds is what they know of the backend servers' speeds, Demand is what their callers ask for.
	Speeds []speed.Row
	Demand []admission.Demand
	// Outliers is what they have lately seen of the backend servers' failures.
	Outliers []outlier.Row
	// Crashes are backend servers that crashed, and what may be the cause.
	Crashes passthrough.CrashEvidence
	// FoundBad are the hashes of the roll-outs in progress whose versions they find bad.
	FoundBad []uint64
	// LostConfigVersion is the highest version of the configuration that they know and that the
	// store lacks since it was restored; 0 for none.
	LostConfigVersion uint64
	// Instances is the number of instances that the report covers.
	Instances int
}

// LoadExchange exchanges the instances' loads at the backend servers, and what backend servers stated: rate
// limits, that they are leaving, and that they are brittle. Each instance sends a report to its collector, and
// gets the sum of all others. A collector does the same with the first-ranked collector of all failure domains,
// so that each sum covers all instances.
type LoadExchange struct {
	client *Client
	now    func() time.Time
	// ownReport returns this instance's report; apply takes the sum of all others.
	ownReport func() Report
	apply     func(others Report)
	// OnUnreadable is called when a report, or an answer to one, cannot be read; it then changes
	// nothing. It may be nil.
	OnUnreadable func(from string, err error)

	mu sync.Mutex
	// followerReports are the reports of the instances that ask this one, by name. collectorReport
	// is the collector's answer to the last report: the sum of all others.
	followerReports map[string]timedReport
	collectorReport timedReport
}

// timedReport is a report with its times.
type timedReport struct {
	Report
	// asOf is the time that the ages of the limits refer to, receivedAt the time at which the
	// report arrived.
	asOf       time.Time
	receivedAt time.Time
}

const (
	// minReportInterval is the shortest time between two reports: a prompt occupies a backend
	// server for some tenths of a second, and a report takes about 50 us of a collector's CPU time.
	minReportInterval = 150 * time.Millisecond
	// reportIntervalPerInstance lengthens the interval with the size of the failure domain, to
	// bound the collector's CPU time for its followers' reports.
	reportIntervalPerInstance = 2500 * time.Microsecond
	// reportTTLIntervals is the number of intervals after which a report no longer counts, as its
	// instance may be gone.
	reportTTLIntervals = 3
	// maxFollowers bounds the instances whose reports are kept, maxNameBytes the name of one.
	maxFollowers = 1024
	maxNameBytes = 256
	// maxReportedTeams bounds the teams in a sum of reports, for each service and priority.
	maxReportedTeams = 64
	// reportTimeout bounds the sending of a report: a later answer would be of no use.
	reportTimeout = 2 * minReportInterval
)

// NewLoadExchange returns an exchange. ownReport returns this instance's report; apply takes the
// sum of all others.
func NewLoadExchange(client *Client, ownReport func() Report, apply func(others Report)) *LoadExchange {
	return &LoadExchange{client: client, now: client.now, ownReport: ownReport, apply: apply, followerReports: map[string]timedReport{}}
}

// interval returns the time between two reports, which depends on the size of the failure domain.
func (l *LoadExchange) interval() time.Duration {
	return max(minReportInterval, time.Duration(l.client.members.DomainSize())*reportIntervalPerInstance)
}

// reportTTL returns how long a report counts.
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

// exchange sends this instance's report and its followers' to the collector, and applies the sum of
// all others' reports.
func (l *LoadExchange) exchange(ctx context.Context) {
	collectors := l.client.members.Collectors()
	if len(collectors) == 0 {
		collectors = l.client.members.RemoteCollectors()
	}
	if len(collectors) > 0 {
		l.sendReport(ctx, collectors[0])
	}
	l.apply(l.sum(l.liveReports("", true)))
}

// sendReport sends a report to a collector, and keeps its answer. Errors are ignored: a collector
// that does not answer is detected by the reads of the topics.
func (l *LoadExchange) sendReport(ctx context.Context, collector Member) {
	askedAt := l.now()
	packed := packReport(l.sum(append(l.liveReports("", false), l.currentReport())), l.now())
	params := loadsParams{
		Name: l.client.members.self.Name, Rows: packed.loads, Tokens: packed.tokens, Limits: packed.limits, Leaving: packed.leaving, Brittle: packed.brittle, Speeds: packed.speeds, Demand: packed.demand, Outliers: packed.outliers, Crashes: packed.crashes, FoundBad: packed.foundBad,
		LostConfigVersion: packed.lostConfigVersion, Instances: packed.instances,
	}
	out, err := l.client.callMember(ctx, collector, methodLoads, params, reportTimeout)
	if err != nil {
		return
	}
	// The ages of limits refer to the time of the request, so that a delayed answer does not look
	// new.
	others, err := l.unpackReport(collector.Name, packedReport{out.Loads, out.Tokens, out.Limits, out.Leaving, out.Brittle, out.Speeds, out.Demand, out.Outliers, out.Crashes, out.FoundBad, out.LostConfigVersion, out.Instances}, askedAt)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectorReport = others
}

// packedReport is a report as it is sent.
type packedReport struct {
	loads, tokens     []byte
	limits            []byte
	leaving           []uint64
	brittle           map[string]float64
	speeds, demand    []byte
	outliers          []byte
	crashes           packedEvidence
	foundBad          []uint64
	lostConfigVersion uint64
	instances         int
}

// packReport encodes a report as of the given time.
func packReport(r Report, now time.Time) packedReport {
	return packedReport{packLoads(r.Loads), packTokens(r.Loads), packLimits(r.Limits), r.Leaving, r.Brittle, packSpeeds(r.Speeds), packDemand(r.Demand), packOutliers(r.Outliers), packEvidence(r.Crashes, now), r.FoundBad, r.LostConfigVersion, r.Instances}
}

// unpackReport decodes another instance's report; the ages in it refer to the given time.
func (l *LoadExchange) unpackReport(from string, p packedReport, at time.Time) (timedReport, error) {
	out := timedReport{asOf: at, receivedAt: l.now()}
	out.Leaving, out.Brittle, out.FoundBad, out.LostConfigVersion, out.Instances = p.leaving, p.brittle, p.foundBad, p.lostConfigVersion, p.instances
	out.Crashes = p.crashes.unpack(at)
	var err error
	if out.Loads, err = unpackLoads(p.loads); err == nil {
		err = unpackTokens(p.tokens, out.Loads)
	}
	if err == nil {
		out.Limits, err = unpackLimits(p.limits)
	}
	if err == nil {
		out.Speeds, err = unpackSpeeds(p.speeds)
	}
	if err == nil {
		out.Demand, err = unpackDemand(p.demand)
	}
	if err == nil {
		out.Outliers, err = unpackOutliers(p.outliers)
	}
	if err != nil && l.OnUnreadable != nil {
		l.OnUnreadable(from, err)
	}
	return out, err
}

// handleReport stores a follower's report and answers with the sum of all others.
func (l *LoadExchange) handleReport(p loadsParams) (answer, error) {
	in, err := l.unpackReport(p.Name, packedReport{p.Rows, p.Tokens, p.Limits, p.Leaving, p.Brittle, p.Speeds, p.Demand, p.Outliers, p.Crashes, p.FoundBad, p.LostConfigVersion, p.Instances}, l.now())
	if err != nil {
		return answer{}, err
	}
	if !l.store(p.Name, in) {
		return answer{}, keyedlog.ErrNotApplied
	}
	out := packReport(l.sum(append(l.liveReports(p.Name, true), l.currentReport())), l.now())
	return answer{Loads: out.loads, Tokens: out.tokens, Limits: out.limits, Leaving: out.leaving, Brittle: out.brittle, Speeds: out.speeds, Demand: out.demand, Outliers: out.outliers, Crashes: out.crashes, FoundBad: out.foundBad, LostConfigVersion: out.lostConfigVersion, Instances: out.instances}, nil
}

// store keeps a follower's report, and reports whether there was room for it.
func (l *LoadExchange) store(name string, r timedReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.followerReports[name]; !known && len(l.followerReports) >= maxFollowers || len(name) > maxNameBytes {
		return false
	}
	l.followerReports[name] = r
	return true
}

// currentReport returns this instance's report as of now.
func (l *LoadExchange) currentReport() timedReport {
	return timedReport{Report: l.ownReport(), asOf: l.now()}
}

// liveReports returns the reports that have not expired: those of all followers but one, and the
// collector's if asked for.
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

// sum adds up the reports: their loads, demand and failures, for each limit and speed the newest statement, all servers that are
// leaving, and all services that are brittle.
func (l *LoadExchange) sum(reports []timedReport) Report {
	now := l.now()
	var loads [][]passthrough.PeerLoad
	var limits [][]passthrough.PeerLimit
	var speeds [][]speed.Row
	var demand [][]admission.Demand
	var outliers [][]outlier.Row
	var evidence passthrough.CrashEvidence
	out := Report{Brittle: map[string]float64{}}
	for _, r := range reports {
		loads = append(loads, r.Loads)
		limits = append(limits, addAge(r.Limits, now.Sub(r.asOf)))
		speeds = append(speeds, addSpeedAge(r.Speeds, now.Sub(r.asOf)))
		demand = append(demand, r.Demand)
		outliers = append(outliers, ageOutliers(r.Outliers, now.Sub(r.asOf)))
		out.Leaving = append(out.Leaving, r.Leaving...)
		out.FoundBad = append(out.FoundBad, r.FoundBad...)
		maps.Copy(out.Brittle, r.Brittle)
		evidence.Crashes = append(evidence.Crashes, r.Crashes.Crashes...)
		evidence.Answers = append(evidence.Answers, r.Crashes.Answers...)
		evidence.Candidates = append(evidence.Candidates, r.Crashes.Candidates...)
		evidence.Verdicts = append(evidence.Verdicts, r.Crashes.Verdicts...)
		evidence.Waiting, evidence.Begun = evidence.Waiting.Add(r.Crashes.Waiting), evidence.Begun.Add(r.Crashes.Begun)
		out.Instances += r.Instances
		out.LostConfigVersion = max(out.LostConfigVersion, r.LostConfigVersion)
	}
	out.Crashes = passthrough.CombineEvidence(evidence)
	out.Loads = sumLoads(loads...)
	out.Limits = newestLimits(limits...)
	out.Speeds, out.Demand = mergeSpeeds(speeds...), admission.Bounded(admission.Sum(demand...), maxReportedTeams)
	out.Outliers = sumOutliers(outliers...)
	out.Leaving, out.FoundBad = sortedUnique(out.Leaving), sortedUnique(out.FoundBad)
	return out
}

// sortedUnique returns the hashes in ascending order, each once.
func sortedUnique(hashes []uint64) []uint64 {
	slices.Sort(hashes)
	return slices.Compact(hashes)
}
