package outlier

import (
	"testing"
	"time"
)

const report = 150 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// fleet is a few tables that exchange all reports at once.
type fleet struct {
	now     time.Time
	tables  []*Table
	servers []Server
	changes [][]Change
}

func newFleet(instances, servers int) *fleet {
	f := &fleet{now: start, changes: make([][]Change, instances)}
	for i := range instances {
		f.tables = append(f.tables, New(uint64(i)))
	}
	for i := range servers {
		f.servers = append(f.servers, Server(i))
	}
	return f
}

// exchange passes the time of a report and lets all tables judge.
func (f *fleet) exchange() {
	f.now = f.now.Add(report)
	for i, t := range f.tables {
		byServer := map[Server]Row{}
		for j, o := range f.tables {
			if i == j {
				continue
			}
			for _, row := range o.Report(f.now) {
				if have, ok := byServer[row.Server]; ok {
					row = have.Merge(row)
				}
				byServer[row.Server] = row
			}
		}
		var rows []Row
		for _, row := range byServer {
			rows = append(rows, row)
		}
		t.Apply(f.now, rows)
		f.changes[i] = t.Judge(f.now, [][]Server{f.servers}, len(f.tables))
	}
}

// respond lets all servers but one respond once, at instances in turn.
func (f *fleet) respond(except Server) {
	for i, s := range f.servers {
		if s != except {
			f.tables[i%len(f.tables)].Responded(f.now, s)
		}
	}
}

func (f *fleet) ejecting(s Server) int {
	count := 0
	for _, t := range f.tables {
		if t.Ejected(s) {
			count++
		}
	}
	return count
}

// TestFailuresAtDifferentInstancesAddUp guards against a server that fails once at each of many instances and is found by
// none, and against its good past that hides it.
func TestFailuresAtDifferentInstancesAddUp(t *testing.T) {
	f := newFleet(6, 10)
	for range 20 {
		f.respond(f.servers[9])
		f.tables[0].Responded(f.now, 9)
		f.exchange()
	}
	for i := range 5 {
		f.respond(9)
		f.tables[i].Failed(f.now, 9, false)
		f.exchange()
	}
	if got := f.ejecting(9); got != 6 {
		t.Fatalf("%d of 6 instances have ejected the server after five failures", got)
	}
	for _, s := range f.servers[:9] {
		if got := f.ejecting(s); got != 0 {
			t.Errorf("%d instances have ejected server %d, which responds", got, s)
		}
	}
}

// TestOneInstanceAloneEjectsNothing guards against an instance with a fault of its own that takes servers from all.
func TestOneInstanceAloneEjectsNothing(t *testing.T) {
	f := newFleet(6, 10)
	for range 20 {
		f.respond(9)
		f.tables[2].Failed(f.now, 9, false)
		f.exchange()
		if got := f.ejecting(9); got != 0 {
			t.Fatalf("%d instances have ejected a server that only one of them sees fail", got)
		}
	}
}

// TestServersThatAllFailStayInUse guards against services that lose their servers as the requests or the network fail, and
// against ejections that outlast the reason for them.
func TestServersThatAllFailStayInUse(t *testing.T) {
	f := newFleet(6, 10)
	for range 4 {
		f.respond(9)
		f.tables[0].Failed(f.now, 9, false)
		f.tables[1].Failed(f.now, 9, false)
		f.exchange()
	}
	if f.ejecting(9) == 0 {
		t.Fatal("the first server that fails is not ejected")
	}
	for range 8 {
		for i, s := range f.servers {
			f.tables[i%6].Failed(f.now, s, false)
			f.tables[(i+1)%6].Failed(f.now, s, false)
		}
		f.exchange()
	}
	for _, s := range f.servers {
		if got := f.ejecting(s); got != 0 {
			t.Errorf("%d instances have ejected server %d, though all servers fail alike", got, s)
		}
	}
}

// TestServersThatFailFirstStayInUse guards against servers that get more than others of the requests that break each
// connection, and are compared with what the others responded before.
func TestServersThatFailFirstStayInUse(t *testing.T) {
	f := newFleet(6, 10)
	for range 20 {
		f.respond(Server(len(f.servers))) // all
		f.exchange()
	}
	for round := range 12 {
		f.tables[round%6].Failed(f.now, 9, false)
		f.tables[(round+1)%6].Failed(f.now, 9, false)
		for i, s := range f.servers[:9] {
			if i%4 == round%4 {
				f.tables[(i+round)%6].Failed(f.now, s, false)
			}
		}
		f.exchange()
		if got := f.ejecting(9); got != 0 {
			t.Fatalf("%d instances have ejected a server after %d rounds in which all servers failed", got, round+1)
		}
	}
}

// TestMostServersStayInUse guards against ejections that leave the others too little room.
func TestMostServersStayInUse(t *testing.T) {
	f := newFleet(6, 10)
	for range 12 {
		for i, s := range f.servers {
			if i < 4 {
				f.tables[i].Failed(f.now, s, false)
				f.tables[i+1].Failed(f.now, s, false)
			} else {
				f.tables[0].Responded(f.now, s)
			}
		}
		f.exchange()
		count := 0
		for _, s := range f.servers {
			if f.tables[5].Ejected(s) {
				count++
			}
		}
		if most := int(maxEjectedFraction * 10); count > most {
			t.Fatalf("%d of 10 servers are ejected, want at most %d", count, most)
		}
	}
	two := newFleet(6, 2)
	for range 12 {
		two.tables[0].Failed(two.now, 0, false)
		two.tables[1].Failed(two.now, 0, false)
		two.tables[2].Responded(two.now, 1)
		two.exchange()
		if two.ejecting(0) > 0 {
			t.Fatal("one of two servers is ejected")
		}
	}
}

// ejectLast ejects the last of ten servers at all instances.
func ejectLast(t *testing.T, f *fleet) Server {
	t.Helper()
	last := f.servers[len(f.servers)-1]
	for i := 0; i < 8 && f.ejecting(last) < len(f.tables); i++ {
		f.respond(last)
		f.tables[i%len(f.tables)].Failed(f.now, last, false)
		f.tables[(i+1)%len(f.tables)].Failed(f.now, last, false)
		f.exchange()
	}
	if got := f.ejecting(last); got != len(f.tables) {
		t.Fatalf("%d of %d instances have ejected the server", got, len(f.tables))
	}
	return last
}

// usable is how many instances may send the server a request.
func (f *fleet) usable(s Server) int {
	count := 0
	for _, t := range f.tables {
		if t.Usable(f.now, s) {
			count++
		}
	}
	return count
}

// TestFewInstancesTryFirst guards against all instances that try a server at once, and against a server that still fails
// and is tried as often as before.
func TestFewInstancesTryFirst(t *testing.T) {
	const instances = 60
	f := newFleet(instances, 10)
	last := ejectLast(t, f)
	for _, least := range []time.Duration{minEjectionTime, 2 * minEjectionTime} {
		begun := f.now
		for f.usable(last) == 0 {
			f.respond(last)
			f.exchange()
		}
		if waited := f.now.Sub(begun); waited < least-3*report {
			t.Errorf("tried again after %v, want %v", waited, least)
		}
		if got := f.usable(last); got > instances/4 {
			t.Errorf("%d of %d instances try the server first", got, instances)
		}
		for i, table := range f.tables {
			if table.Usable(f.now, last) {
				table.Tried(f.now, last)
				if table.Usable(f.now, last) {
					t.Error("an instance may send a second request before the first one's result is known")
				}
				f.tables[i].Failed(f.now, last, false)
			}
		}
		f.exchange()
		f.exchange()
		if got := f.usable(last); got != 0 {
			t.Errorf("%d instances may use the server after it has failed again", got)
		}
	}
}

// TestRecoveredServerIsTakenBack guards against a server that responds again and gets nothing.
func TestRecoveredServerIsTakenBack(t *testing.T) {
	f := newFleet(12, 10)
	last := ejectLast(t, f)
	for range 100 {
		for _, table := range f.tables {
			if table.Usable(f.now, last) {
				table.Tried(f.now, last)
				table.Responded(f.now, last)
			}
		}
		f.respond(last)
		f.exchange()
		if f.ejecting(last) == 0 {
			break
		}
	}
	if took := f.now.Sub(start); f.ejecting(last) != 0 || took > minEjectionTime+4*minTrialStep {
		t.Errorf("%d instances have the server ejected %v after its first failure", f.ejecting(last), took)
	}
}

// TestNewInstanceAdoptsEjections guards against instances that have just started and find each server by requests of
// their own.
func TestNewInstanceAdoptsEjections(t *testing.T) {
	f := newFleet(12, 10)
	last := ejectLast(t, f)
	f.tables[3] = New(99)
	f.exchange()
	if !f.tables[3].Ejected(last) {
		t.Error("an instance that has just started uses a server that all others have ejected")
	}
	one := Row{Server: f.servers[0], Ejecting: 1, Remaining: time.Second}
	f.tables[3].Apply(f.now, []Row{one})
	f.tables[3].Judge(f.now, [][]Server{f.servers}, 12)
	if f.tables[3].Ejected(f.servers[0]) {
		t.Error("an instance adopts what a single other one has decided")
	}
}

// TestFailuresAge guards against failures of long ago that add up.
func TestFailuresAge(t *testing.T) {
	f := newFleet(6, 10)
	for i := range 12 {
		f.tables[i%6].Failed(f.now, 9, false)
		for range 40 {
			f.respond(9)
			f.exchange()
		}
		if got := f.ejecting(9); got != 0 {
			t.Fatalf("%d instances have ejected a server with one failure each %v", got, 40*report)
		}
	}
}

// TestOldReportsSayNothingNew guards against evidence that is counted again when reports that were lost arrive again.
func TestOldReportsSayNothingNew(t *testing.T) {
	table := New(1)
	services := [][]Server{{1, 2, 3, 4, 5}}
	row := Row{Server: 1, Failed: 2, Total: 3, Instances: 2}
	now := start
	for i := range 20 {
		var rows []Row
		if i%2 == 0 {
			rows = []Row{row.Aged(now.Sub(start))}
		}
		table.Apply(now, rows)
		table.Judge(now, services, 6)
		if table.Ejected(1) {
			t.Fatalf("two failures eject a server once they have been reported %d times", i/2+1)
		}
		now = now.Add(report)
	}
}

// TestReportIsBounded guards against reports that grow with the number of servers, and leave out those that matter.
func TestReportIsBounded(t *testing.T) {
	table := New(1)
	for s := range Server(10_000) {
		table.Responded(start, s)
	}
	table.Failed(start, 9_999, true)
	rows := table.Report(start)
	if len(rows) != maxOwnRows {
		t.Errorf("%d rows, want %d", len(rows), maxOwnRows)
	}
	if last := rows[len(rows)-1]; last.Server != 9_999 || last.Failed != 1 || last.Instances != 1 {
		t.Errorf("the server that fails is reported as %+v", last)
	}
}

// TestRowsAddUp guards against a failure that counts twice, or as older than it is.
func TestRowsAddUp(t *testing.T) {
	a := Row{Server: 1, Failed: 1, Total: 2, Age: time.Second, Instances: 1, Ejecting: 1, Remaining: time.Second}
	b := Row{Server: 1, Total: 3}
	want := Row{Server: 1, Failed: 1, Total: 5, Age: time.Second, Instances: 1, Ejecting: 1, Remaining: time.Second}
	if got := a.Merge(b); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := b.Merge(a); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := a.Aged(500 * time.Millisecond); got.Failed >= 1 || got.Age != 1500*time.Millisecond || got.Remaining != 500*time.Millisecond {
		t.Errorf("half a second later: %+v", got)
	}
}

// TestServersThatAreLeftAreUsed guards against a service whose sound servers are taken out of service, so that only
// ejected ones are left and its callers are all refused.
func TestServersThatAreLeftAreUsed(t *testing.T) {
	f := newFleet(6, 10)
	ejectLast(t, f)
	f.servers = f.servers[8:]
	f.exchange()
	if got := f.ejecting(9); got != 0 {
		t.Errorf("%d instances have ejected one of the last two servers", got)
	}
}
