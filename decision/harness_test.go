package decision

import (
	"fmt"
	"strings"
	"time"
)

// step is the time between two ticks of the harness.
const step = 10 * time.Millisecond

var epoch = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// outcome is the result that one caller got; elapsed is the time since the arrival.
type outcome struct {
	team    TeamID
	command Command
	at      time.Time
	elapsed time.Duration
}

// running is an attempt on a fake backend server.
type running struct {
	Dispatch
	ends   time.Time
	result AttemptResult
}

// reporter is a *testing.T, *testing.B, *testing.F or *rapid.T.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// harness drives a World with fake backend servers, checks the invariants at each
// command and records the outcomes.
type harness struct {
	t          reporter
	w          *World
	now        time.Time
	events     []Event
	commandLog []string

	live          map[RequestID]Request
	arrived       map[RequestID]time.Time
	outcomes      map[RequestID]outcome
	running       []running
	slots         map[ServerID]int
	inFlight      map[ServerID]int
	allowed       map[TeamID]map[VersionID]bool
	versionStates map[VersionID]VersionState
	// possibleRuns counts the attempts of each request that ran or may have run.
	possibleRuns map[RequestID]int
	lastID       RequestID

	// duration is how long an attempt runs, result how it ends.
	duration func(d Dispatch, r Request) time.Duration
	result   func(d Dispatch, r Request) AttemptResult
	// rating scores a completed answer; nil rates nothing.
	rating func(d Dispatch, r Request) (score float64, late bool)
	// onCommand is called for each command.
	onCommand func(Command)
}

func newHarness(t reporter, cfg Config) *harness {
	h := &harness{
		t: t, w: NewWorld(cfg), now: epoch,
		live: map[RequestID]Request{}, arrived: map[RequestID]time.Time{},
		outcomes: map[RequestID]outcome{}, slots: map[ServerID]int{},
		inFlight: map[ServerID]int{}, possibleRuns: map[RequestID]int{},
	}
	h.duration = func(Dispatch, Request) time.Duration { return 100 * time.Millisecond }
	h.result = func(Dispatch, Request) AttemptResult { return AttemptCompleted }
	h.send(FreshnessChanged{Fresh: true})
	return h
}

func (h *harness) send(in ...Event) { h.events = append(h.events, in...) }

func (h *harness) manifest(generation uint64, teams []Team, versions []Version) {
	h.allowed = map[TeamID]map[VersionID]bool{}
	for _, t := range teams {
		h.allowed[t.ID] = map[VersionID]bool{}
		for _, v := range t.Allowed {
			h.allowed[t.ID][v] = true
		}
	}
	h.versionStates = map[VersionID]VersionState{}
	for _, v := range versions {
		h.versionStates[v.ID] = v.State
	}
	h.send(ManifestApplied{Generation: generation, Teams: teams, Versions: versions})
}

func (h *harness) servers(list ...Server) {
	for _, s := range list {
		h.slots[s.ID] = s.Slots
	}
	h.send(ServersListed{Servers: list})
}

// arrive sends a request with a new id and returns the id.
func (h *harness) arrive(r Request) RequestID {
	h.lastID++
	r.ID = h.lastID
	h.live[r.ID] = r
	h.arrived[r.ID] = h.now
	h.send(RequestArrived{Request: r})
	return r.ID
}

// run ticks until d has passed.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.tick()
	}
}

// tick ends the attempts that are due, runs one tick of the world and advances the
// time by a step.
func (h *harness) tick() {
	kept := h.running[:0]
	var done []running
	for _, a := range h.running {
		if a.ends.After(h.now) {
			kept = append(kept, a)
			continue
		}
		done = append(done, a)
	}
	h.running = kept
	for _, a := range done {
		h.finish(a, a.result)
	}
	in := h.events
	h.events = nil
	for _, c := range h.w.Tick(h.now, in) {
		h.command(c)
	}
	h.now = h.now.Add(step)
}

func (h *harness) finish(a running, result AttemptResult) {
	h.inFlight[a.Server]--
	r := h.live[a.Request]
	if result == AttemptNotRun {
		h.possibleRuns[a.Request]--
	}
	h.send(AttemptEnded{Request: a.Request, Attempt: a.Attempt, Result: result, Tokens: r.MaxTokens})
	if result == AttemptCompleted && a.NeedsRating && h.rating != nil {
		score, late := h.rating(a.Dispatch, r)
		h.send(AnswerRated{
			Request: a.Request, Attempt: a.Attempt, Team: r.Team, Class: r.Class,
			Version: a.Version, Score: score, Late: late,
		})
	}
}

func (h *harness) command(c Command) {
	h.commandLog = append(h.commandLog, fmt.Sprintf("%v %T%+v", h.now.Sub(epoch), c, c))
	if h.onCommand != nil {
		h.onCommand(c)
	}
	switch c := c.(type) {
	case Dispatch:
		h.dispatch(c)
	case CancelAttempt:
		h.cancel(c)
	case Deliver:
		h.recordOutcome(c.Request, c)
	case Refuse:
		if h.possibleRuns[c.Request] > 0 {
			h.t.Errorf("request %d refused as not run, but it ran", c.Request)
		}
		h.recordOutcome(c.Request, c)
	case Fail:
		h.recordOutcome(c.Request, c)
	}
}

// dispatch checks the invariants of every dispatch to a backend server.
func (h *harness) dispatch(d Dispatch) {
	r, live := h.live[d.Request]
	if !live {
		h.t.Errorf("request %d dispatched, but it is not live", d.Request)
	}
	if d.Version != "" && !h.allowed[r.Team][d.Version] {
		h.t.Errorf("request %d of team %s dispatched on version %s, which the team may not use", d.Request, r.Team, d.Version)
	}
	if d.Version != "" && h.versionStates[d.Version] == VersionWithdrawn {
		h.t.Errorf("request %d dispatched on withdrawn version %s", d.Request, d.Version)
	}
	if r.Pinned != "" && d.Version != r.Pinned {
		h.t.Errorf("request %d is pinned to %s, dispatched on %s", d.Request, r.Pinned, d.Version)
	}
	for _, pin := range r.Pins {
		if modelOf(pin) == modelOf(d.Version) && pin != d.Version {
			h.t.Errorf("request %d has a session pinned to %s, dispatched on %s", d.Request, pin, d.Version)
		}
	}
	h.inFlight[d.Server]++
	if h.inFlight[d.Server] > h.slots[d.Server] {
		h.t.Errorf("server %s has %d attempts in flight in %d slots", d.Server, h.inFlight[d.Server], h.slots[d.Server])
	}
	h.possibleRuns[d.Request]++
	if h.possibleRuns[d.Request] > 1 && !r.Idempotent {
		h.t.Errorf("non-idempotent request %d dispatched again", d.Request)
	}
	h.running = append(h.running, running{Dispatch: d, ends: h.now.Add(h.duration(d, r)), result: h.result(d, r)})
}

// modelOf is the part of a version's id before the @.
func modelOf(id VersionID) string {
	model, _, _ := strings.Cut(string(id), "@")
	return model
}

func (h *harness) cancel(c CancelAttempt) {
	for i, a := range h.running {
		if a.Request == c.Request && a.Attempt == c.Attempt {
			h.running[i].ends = h.now
			h.running[i].result = AttemptCancelled
		}
	}
}

// cancelRequest cancels a request as its caller, which then needs no outcome.
func (h *harness) cancelRequest(id RequestID) {
	if _, live := h.live[id]; !live {
		return
	}
	h.send(RequestCancelled{Request: id})
	h.tick()
	if _, ended := h.outcomes[id]; !ended {
		h.outcomes[id] = outcome{team: h.live[id].Team}
		delete(h.live, id)
	}
}

func (h *harness) recordOutcome(id RequestID, c Command) {
	if before, twice := h.outcomes[id]; twice {
		h.t.Errorf("request %d ended twice: %+v, then %+v", id, before.command, c)
	}
	h.outcomes[id] = outcome{
		team: h.live[id].Team, command: c, at: h.now, elapsed: h.now.Sub(h.arrived[id]),
	}
	delete(h.live, id)
}

// delivered counts a team's delivered answers; an empty team counts all teams.
func (h *harness) delivered(team TeamID) int {
	n := 0
	for _, o := range h.outcomes {
		if _, ok := o.command.(Deliver); ok && (team == "" || o.team == team) {
			n++
		}
	}
	return n
}

// requireAllEnded fails the test if a request has not ended.
func (h *harness) requireAllEnded() {
	h.t.Helper()
	if len(h.live) > 0 {
		h.t.Errorf("%d requests have not ended", len(h.live))
	}
}

// Versions of the manifest that most tests use.
const (
	weave1 VersionID = "weave@1"
	weave2 VersionID = "weave@2"
	draft1 VersionID = "draft@1"
)

func testVersions() []Version {
	return []Version{
		{ID: weave1, Model: "weave", State: VersionServing, Share: 1, Cost: 1, Quality: 0.6},
		{ID: draft1, Model: "draft", State: VersionServing, Share: 1, Cost: 10, Quality: 0.9},
	}
}

func testTeam(id TeamID, weight int) Team {
	return Team{
		ID: id, Weight: weight, QualityTarget: 0.5,
		Allowed: []VersionID{weave1, weave2, draft1}, Services: []ServiceID{"stock"},
	}
}

func testServers(n, slots int, versions ...VersionID) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{
			ID: ServerID(fmt.Sprintf("s%d", i)), Domain: DomainID(fmt.Sprintf("d%d", i%3)),
			Versions: versions, Slots: slots,
		})
	}
	return list
}
