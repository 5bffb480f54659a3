package decision

import (
	"slices"
	"strings"
	"time"

	"masticplank.example/decision/internal/verdict"
)

// shift moves traffic away from versions and backend servers that have become bad,
// and back when they have recovered.
//
// Load: a version that turns bad in a busy season, or one slow backend server among
// many. Harm prevented: callers get bad or late answers until a person notices. The
// manifest is not changed; a verdict limits the exposure and is shared with the
// peers, so that each instance does not have to detect it with its own callers.
func (w *World) shift() {
	if w.cfg.Policy.NoVerdicts {
		return
	}
	if !w.now.Before(w.nextVerdictsAt) {
		w.nextVerdictsAt = w.now.Add(shareCheckInterval)
		w.shareVerdicts()
	}
	for _, e := range w.outliers.Sweep(w.now) {
		w.applyEjection(e)
	}
}

// shareCheckInterval is how often the verdicts to share are collected: a small
// fraction of the time that a message takes to reach the peers, and long enough that
// most ticks do not bear the cost.
const shareCheckInterval = 20 * time.Millisecond

func (w *World) shareVerdicts() {
	for _, v := range w.verdicts.VerdictsToShare(w.now) {
		w.emit(ShareVerdict{Verdict: VersionVerdict{Version: v.Version, Bad: v.Bad, Until: v.Until}})
	}
}

func newVerdicts(cfg Config) *verdict.Versions[VersionID, ServerID] {
	c := verdict.DefaultVersionConfig()
	c.ProbeEvery = uint64(cfg.ProbeEvery)
	return verdict.NewVersions[VersionID, ServerID](c)
}

func newOutliers(cfg Config) *verdict.Outliers[ServerID, string] {
	c := verdict.DefaultOutlierConfig()
	c.SlowFactor = cfg.SlowFactor
	c.MaxEjectedShare = cfg.MaxEjected
	return verdict.NewOutliers[ServerID, string](c)
}

// applyVerdictVersions passes the manifest's versions to the version verdicts.
func (w *World) applyVerdictVersions() {
	var rows []verdict.VersionInfo[VersionID]
	for _, v := range w.versions {
		if !v.gone {
			rows = append(rows, verdict.VersionInfo[VersionID]{ID: v.ID, Predecessor: v.Predecessor, Quality: v.Quality})
		}
	}
	slices.SortFunc(rows, func(a, b verdict.VersionInfo[VersionID]) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	w.verdicts.Apply(rows)
}

// applyOutlierServers passes the listed servers to the outlier detection. Servers
// with the same versions form a group, since only these are comparable.
func (w *World) applyOutlierServers() {
	var list []verdict.Member[ServerID, string]
	for _, s := range w.serverList {
		if !s.leaving {
			list = append(list, verdict.Member[ServerID, string]{Server: s.ID, Group: outlierGroup(s)})
		}
	}
	w.outliers.Apply(list)
	for _, s := range w.serverList {
		if s.ejected && w.outliers.Admit(s.ID, w.now) == verdict.Allowed {
			w.setEjected(s, false) // its group changed, which resets its state
		}
	}
}

func outlierGroup(s *server) string {
	if s.Service != "" {
		return "service " + string(s.Service)
	}
	ids := slices.Clone(s.Versions)
	slices.Sort(ids)
	var b strings.Builder
	for _, id := range ids {
		b.WriteString(string(id))
		b.WriteByte(' ')
	}
	return b.String()
}

func (w *World) ingestVerdict(e VersionVerdict) {
	w.verdicts.ApplyPeerVerdict(verdict.SharedVerdict[VersionID]{Version: e.Version, Bad: e.Bad, Until: e.Until}, w.now)
	w.recheckNeeded = true
}

// recordVersionResult records an attempt's result for the verdict on its version.
// Results that say nothing about the version are skipped: not run and cancelled.
func (w *World) recordVersionResult(a *attempt, e AttemptEnded) {
	if a.version == "" || e.Result == AttemptNotRun || e.Result == AttemptCancelled {
		return
	}
	end := verdict.AttemptResult[ServerID]{
		Server:         a.server.ID,
		OnlyServer:     a.pool.usableServers <= 1,
		Failed:         e.Result != AttemptCompleted,
		ConnectionLost: e.Result == AttemptUnknown || e.Result == AttemptCrashed,
	}
	if w.verdicts.ObserveAttempt(a.version, end, w.now) {
		w.recheckNeeded = true
	}
}

// recordVersionRating records a rating for the verdict on its version.
func (w *World) recordVersionRating(e AnswerRated) {
	if w.verdicts.ObserveRating(e.Version, string(e.Class), e.Score, w.now) {
		w.recheckNeeded = true
	}
}

// recordServerResult records an attempt's result for the outlier detection of its
// backend server. Cancelled attempts say nothing about the server, and a refusal by
// a leaving server is correct behaviour; both are skipped.
func (w *World) recordServerResult(a *attempt, e AttemptEnded) {
	if w.cfg.Policy.NoVerdicts || e.Leaving || e.Result == AttemptCancelled {
		return
	}
	failed := e.Result != AttemptCompleted
	if change, ok := w.outliers.ObserveAttempt(a.server.ID, failed, w.unitLatency(a, e), w.now); ok {
		w.applyEjection(change)
	}
	if a.server.ejected {
		w.refreshFree(a.server) // a probe has ended
	}
}

// recordServerTimeout records an attempt that reached its request's deadline for
// the outlier detection: as if it had generated the expected number of tokens in
// the time that it ran. Otherwise a server so slow that few attempts end in time
// would be measured by its shortest answers only, since the rest are cancelled.
func (w *World) recordServerTimeout(a *attempt) {
	if a == nil || w.cfg.Policy.NoVerdicts {
		return
	}
	latency := w.now.Sub(a.started)
	if a.pool.service == "" {
		latency = w.tokenLatency(a, int(a.pool.serviceTime.lengthRatio*(a.cost-a.promptCost)))
	}
	if change, ok := w.outliers.ObserveAttempt(a.server.ID, false, latency, w.now); ok {
		w.applyEjection(change)
	}
}

// unitLatency is the time that a unit of work took at the server: the time per
// token from the first token on for a model, the total time for a plain service; 0
// if unknown.
func (w *World) unitLatency(a *attempt, e AttemptEnded) time.Duration {
	if a.pool.service != "" {
		return w.now.Sub(a.started)
	}
	return w.tokenLatency(a, e.Tokens)
}

// tokenLatency is the mean time per token since the first token, or since the start
// if no first token was reported; 0 for no tokens.
func (w *World) tokenLatency(a *attempt, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	from := a.firstToken
	if from.IsZero() {
		from = a.started
	}
	return w.now.Sub(from) / time.Duration(tokens)
}

func (w *World) applyEjection(e verdict.Ejection[ServerID]) {
	if s := w.servers[e.Server]; s != nil {
		w.setEjected(s, e.Ejected)
	}
}

// setEjected excludes the server from selection or readmits it, and reports a
// change to the operators.
func (w *World) setEjected(s *server, ejected bool) {
	if s.ejected != ejected {
		w.emit(ReportEjection{Server: s.ID, Ejected: ejected})
	}
	s.ejected = ejected
	w.refreshFree(s)
}

// probeCheckInterval is how often it is checked whether an ejected server is due a
// probe.
const probeCheckInterval = time.Second

// isBlocked reports whether the server is ejected and not due a probe now. If so, it
// schedules the next check.
func (w *World) isBlocked(s *server) bool {
	if !s.ejected || w.outliers.Admit(s.ID, w.now) != verdict.Blocked {
		return false
	}
	w.scheduleWake(s, w.now.Add(probeCheckInterval))
	return true
}

// takesNew reports whether the version may get a new request. With a bad verdict
// only one request in Config.ProbeEvery is let through as a probe, so that a
// recovery of the version is detected.
func (w *World) takesNew(v *version) bool {
	if w.cfg.Policy.NoVerdicts {
		return true
	}
	return w.verdicts.Admit(v.ID, w.now) != verdict.Blocked
}
