package speed

import (
	"math"
	"testing"
	"time"
)

// testStart is an arbitrary time.
var testStart = time.Unix(1_000_000, 0)

const testServer = Server(7)

// state records statements that are gap apart, and returns the time after the last one.
func state(t *Table, now time.Time, gap time.Duration, slowdowns ...float64) time.Time {
	for _, x := range slowdowns {
		now = now.Add(gap)
		t.Stated(now, testServer, x)
	}
	return now
}

// requireFactor fails the test unless a factor is within a hundredth of the one wanted.
func requireFactor(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*want {
		t.Errorf("%s is %.2f, want %.2f", what, got, want)
	}
}

// TestUnknownServerHasUnitSpeed guards against servers that are avoided because nothing is known of them.
func TestUnknownServerHasUnitSpeed(t *testing.T) {
	var table Table
	requireFactor(t, "Usual", table.Usual(testStart, testServer), 1)
	requireFactor(t, "Now", table.Now(testStart, testServer), 1)
	if rows := table.Report(testStart); len(rows) != 0 {
		t.Errorf("an empty table reports %v, want nothing", rows)
	}
}

// TestBusyStatementsDoNotMoveTheUsualFactor guards against a fast server that is taken for a slow one while its machine
// is busy for a moment.
func TestBusyStatementsDoNotMoveTheUsualFactor(t *testing.T) {
	var table Table
	now := state(&table, testStart, 300*time.Millisecond, 0.6, 1.5, 0.6, 0.6, 0.6, 1.5, 1.5, 0.6, 0.6)
	requireFactor(t, "Usual", table.Usual(now, testServer), 0.6)
}

// TestUsualFactorFollowsAChange guards against a machine that has become slow for good and still gets as much as before
// three seconds later.
func TestUsualFactorFollowsAChange(t *testing.T) {
	var table Table
	now := state(&table, testStart, time.Second/3, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6)
	now = state(&table, now, time.Second/3, 1.6, 4, 1.6, 1.6, 1.6, 1.6, 1.6, 4, 1.6)
	requireFactor(t, "Usual after 3 s", table.Usual(now, testServer), 1.6)
}

// TestNowReturnsToUsual guards against a server that is avoided long after its machine was busy.
func TestNowReturnsToUsual(t *testing.T) {
	var table Table
	now := state(&table, testStart, 300*time.Millisecond, 1, 1, 1, 1, 2.5)
	requireFactor(t, "Now", table.Now(now, testServer), 2.5)
	requireFactor(t, "Now a TTL later", table.Now(now.Add(StatementTTL), testServer), 1)
}

// TestStatementsOfPeersCountOnce guards against one busy statement that is repeated in each report and outweighs all
// others.
func TestStatementsOfPeersCountOnce(t *testing.T) {
	var table Table
	now := state(&table, testStart, 300*time.Millisecond, 1, 1, 1, 1)
	for i := range 20 {
		age := time.Duration(50+150*i) * time.Millisecond
		jitter := time.Duration(i%3) * 4 * time.Millisecond
		table.Apply(now.Add(age), []Row{{Server: testServer, Usual: 2.5, Samples: 1, Now: 2.5, Age: age - jitter - 40*time.Millisecond}})
	}
	requireFactor(t, "Usual", table.Usual(now, testServer), 1)
}

// TestNewInstanceTakesOverWhatPeersKnow guards against an instance that has just started and treats all servers alike.
func TestNewInstanceTakesOverWhatPeersKnow(t *testing.T) {
	var table Table
	table.Apply(testStart, []Row{{Server: testServer, Usual: 1.6, Samples: 30, Now: 4, Age: time.Second}})
	requireFactor(t, "Usual", table.Usual(testStart, testServer), 1.6)
	table.Apply(testStart.Add(time.Second), nil)
	requireFactor(t, "Usual without reports", table.Usual(testStart, testServer), 1.6)
}

// TestReportHasOwnEvidenceOnly guards against evidence that is counted again each time it is passed on.
func TestReportHasOwnEvidenceOnly(t *testing.T) {
	var table Table
	table.Apply(testStart, []Row{{Server: testServer, Usual: 1.6, Samples: 30, Now: 1.6, Age: time.Second, Ratio: 5, RatioSamples: 9}})
	if rows := table.Report(testStart); len(rows) != 0 {
		t.Errorf("peers' evidence is reported as own: %v", rows)
	}
	now := state(&table, testStart, time.Second, 1.6)
	if rows := table.Report(now); len(rows) != 1 || rows[0].Samples != 1 || rows[0].RatioSamples != 0 {
		t.Errorf("one own statement is reported as %v, want one row with one sample", rows)
	}
	if rows := table.Report(now.Add(ownMemory + 1)); len(rows) != 0 {
		t.Errorf("an old statement is reported: %v", rows)
	}
}

// TestReportIsBounded guards against reports that grow with the number of servers, and lack those that matter.
func TestReportIsBounded(t *testing.T) {
	var table Table
	for i := range 10_000 {
		factor := 1.0
		if i%200 == 0 {
			factor = 1.6
		}
		table.Stated(testStart, Server(i), factor)
	}
	rows := table.Report(testStart)
	slow := 0
	for _, row := range rows {
		if row.Usual > 1 {
			slow++
		}
	}
	if len(rows) > maxOwnRows || slow != 50 {
		t.Errorf("%d rows with %d of 50 slow servers, want at most %d with all of them", len(rows), slow, maxOwnRows)
	}
}

// TestServerIsFoundSlowByMeasuredTimes guards against a server that takes five times as long without stating it, and
// gets as much as before; and against one that is avoided after that has ended.
func TestServerIsFoundSlowByMeasuredTimes(t *testing.T) {
	var table Table
	now := state(&table, testStart, time.Second/3, 0.6, 0.6, 0.6)
	for i := range 2 {
		now = now.Add(300 * time.Millisecond)
		table.Measured(now, testServer, 4+float64(i))
		table.Apply(now, []Row{{Server: testServer, Ratio: 5, RatioSamples: 2 * (i + 1)}})
	}
	if got := table.Usual(now, testServer); got < 2.5*0.6 || !table.Slow(testServer) {
		t.Errorf("Usual is %.2f, want at least 2.5 times the stated 0.6 after six measured times of about 5", got)
	}
	now = now.Add(measuredMemory + time.Second)
	table.Apply(now, nil)
	requireFactor(t, "Usual later", table.Usual(now, testServer), 0.6)
}

// TestUsualTimesFindNoServerSlow guards against sound servers that get less because of a few long prompts.
func TestUsualTimesFindNoServerSlow(t *testing.T) {
	var table Table
	now := testStart
	for i := range 200 {
		now = now.Add(250 * time.Millisecond)
		ratio := 0.9
		if i%5 == 0 {
			ratio = 6
		}
		table.Measured(now, testServer, ratio)
		table.Apply(now, []Row{{Server: testServer, Ratio: 1.2, RatioSamples: 5}})
		if table.Slow(testServer) {
			t.Fatalf("found slow after %d usual times", i+1)
		}
	}
}

// TestRetainForgetsServers guards against a table that grows with each server that was ever listed.
func TestRetainForgetsServers(t *testing.T) {
	var table Table
	now := state(&table, testStart, time.Second, 1.6, 1.6, 1.6)
	table.Retain(func(Server) bool { return false })
	requireFactor(t, "Usual", table.Usual(now, testServer), 1)
	if len(table.entries)+len(table.own) != 0 {
		t.Error("a forgotten server is kept")
	}
}
