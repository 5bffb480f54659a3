package decision

import (
	"slices"
	"strings"
	"time"

	"masticplank.example/decision/internal/verdict"
)

// shift moves work away from versions and backend servers that turned bad, and
// back again when they have proved themselves.
//
// Load: a version that turns bad in mid-season, or one slow backend server among
// many. Harm prevented: callers who get bad or late answers until a person
// notices. The manifest stays as it is; the verdict bounds the exposure and is
// told to the peers, so that each instance need not find out by its own callers.
func (w *World) shift() {
	if w.cfg.Policy.NoVerdicts {
		return
	}
	if !w.now.Before(w.nextShare) {
		w.nextShare = w.now.Add(shareInterval)
		w.shareVerdicts()
	}
	for _, e := range w.outliers.Sweep(w.now) {
		w.ejection(e)
	}
}

// shareEvery is how often it is looked at whether there is a word for the peers: a
// small part of the time that it takes to reach them, so that a tick of one event
// does not pay for it.
const shareInterval = 20 * time.Millisecond

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

// applyVerdicts tells the watcher of the manifest's versions.
func (w *World) applyVerdicts() {
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

// applyOutliers tells the watcher of the listed servers. Alike are those with the
// same versions, since only these can be compared.
func (w *World) applyOutliers() {
	var list []verdict.Member[ServerID, string]
	for _, s := range w.serverList {
		if !s.leaving {
			list = append(list, verdict.Member[ServerID, string]{Server: s.ID, Group: groupOf(s)})
		}
	}
	w.outliers.Apply(list)
	for _, s := range w.serverList {
		if s.ejected && w.outliers.Admit(s.ID, w.now) == verdict.Allowed {
			w.eject(s, false) // it changed its group and starts anew
		}
	}
}

func groupOf(s *server) string {
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
	w.recheck = true
}

// judgeVersion takes an attempt's end as evidence on its version. Ends that say
// nothing of it are left out: not run, or cancelled.
func (w *World) recordVersionResult(a *attempt, e AttemptEnded) {
	if a.version == "" || e.Result == AttemptNotRun || e.Result == AttemptCancelled {
		return
	}
	end := verdict.AttemptResult[ServerID]{
		Server:         a.server.ID,
		OnlyServer:     a.pool.usable <= 1,
		Failed:         e.Result != AttemptCompleted,
		ConnectionLost: e.Result == AttemptUnknown || e.Result == AttemptCrashed,
	}
	if w.verdicts.ObserveAttempt(a.version, end, w.now) {
		w.recheck = true
	}
}

// rateVersion takes a rating as evidence on its version.
func (w *World) recordVersionRating(e AnswerRated) {
	if w.verdicts.ObserveRating(e.Version, string(e.Class), e.Score, w.now) {
		w.recheck = true
	}
}

// judgeServer takes an attempt's end as evidence on its backend server. One that
// refuses because it is leaving does what it should.
func (w *World) recordServerResult(a *attempt, e AttemptEnded) {
	if w.cfg.Policy.NoVerdicts || e.Leaving || e.Result == AttemptCancelled {
		return
	}
	failed := e.Result != AttemptCompleted
	if change, ok := w.outliers.ObserveAttempt(a.server.ID, failed, w.unitTime(a, e), w.now); ok {
		w.ejection(change)
	}
	if a.server.ejected {
		w.refresh(a.server) // a trial has ended
	}
}

// blameServer takes an attempt that ran into its request's deadline as evidence on
// its backend server's pace: as many tokens as were to be expected, in the time
// that it had. Without it a server that is so slow that little ends in time would
// be judged by its shortest answers only, since the rest are cancelled.
func (w *World) recordServerTimeout(a *attempt) {
	if a == nil || w.cfg.Policy.NoVerdicts {
		return
	}
	pace := w.now.Sub(a.started)
	if a.pool.service == "" {
		pace = w.timePerToken(a, int(a.pool.serviceTime.lengthRatio*(a.cost-a.prompt)))
	}
	if change, ok := w.outliers.ObserveAttempt(a.server.ID, false, pace, w.now); ok {
		w.ejection(change)
	}
}

// paceOf is the time a unit of work took at the server: by token from the first
// one on for a model, whole for a plain service; 0 where it says nothing.
func (w *World) unitTime(a *attempt, e AttemptEnded) time.Duration {
	if a.pool.service != "" {
		return w.now.Sub(a.started)
	}
	return w.timePerToken(a, e.Tokens)
}

func (w *World) timePerToken(a *attempt, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	from := a.firstToken
	if from.IsZero() {
		from = a.started
	}
	return w.now.Sub(from) / time.Duration(tokens)
}

func (w *World) ejection(e verdict.Ejection[ServerID]) {
	if s := w.servers[e.Server]; s != nil {
		w.eject(s, e.Ejected)
	}
}

// eject takes a server out of the choice, or back in, and tells the operators.
func (w *World) eject(s *server, ejected bool) {
	if s.ejected != ejected {
		w.emit(ReportEjection{Server: s.ID, Ejected: ejected})
	}
	s.ejected = ejected
	w.refresh(s)
}

// trialCheck is how often an ejected server is asked about.
const trialCheckInterval = time.Second

// isBarred says whether the server is ejected and due no trial now.
func (w *World) isBarred(s *server) bool {
	if !s.ejected || w.outliers.Admit(s.ID, w.now) != verdict.Blocked {
		return false
	}
	w.wakeAt(s, w.now.Add(trialCheckInterval))
	return true
}

// takesNew says whether no verdict speaks against new work for the version. One
// request in many is let through as a probe, so that a mended version is found.
func (w *World) takesNew(v *version) bool {
	if w.cfg.Policy.NoVerdicts {
		return true
	}
	return w.verdicts.Admit(v.ID, w.now) != verdict.Blocked
}
