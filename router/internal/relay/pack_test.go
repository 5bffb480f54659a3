package relay

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// serverEntry is a backend server's entry as a platform writes it: similar to the others, with an
// id, an address and a sequence number of its own.
func serverEntry(i int) keyedlog.Record {
	value := fmt.Sprintf(`{"service":"huvo11a","address":"10.128.%d.%d:8080","zone":"salle-rimouski","version":"v1","slots":12,"state":"ready",`+
		`"phase":"combined","modelList":[{"name":"daka510000","version":1,"loras":[]}],"sequence":%d}`, i/200, i%200, i)
	return keyedlog.Record{Key: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Value: []byte(value), Offset: uint64(i)}
}

func serverEntries(n int) []keyedlog.Record {
	var out []keyedlog.Record
	for i := range n {
		out = append(out, serverEntry(i))
	}
	return out
}

// TestPackedRecordsAreTheSame checks that records are the same after packing and unpacking, and
// that many of them are packed.
func TestPackedRecordsAreTheSame(t *testing.T) {
	for _, n := range []int{0, 1, minPackedRecords, 3000} {
		var a answer
		if err := a.setRecords(serverEntries(n)); err != nil {
			t.Fatal(err)
		}
		if n >= minPackedRecords && (len(a.Records) != 0 || len(a.Packed) == 0) {
			t.Errorf("%d records are not packed", n)
		}
		if err := a.unpackRecords(); err != nil {
			t.Fatal(err)
		}
		if len(a.Records) != n {
			t.Fatalf("%d records after unpacking, want %d", len(a.Records), n)
		}
		for i, r := range a.Records {
			if want := serverEntry(i); r.Key != want.Key || string(r.Value) != string(want.Value) || r.Offset != want.Offset {
				t.Fatalf("record %d is %+v after unpacking, want it unchanged", i, r)
			}
		}
	}
}

// TestSnapshotFitsASmallLink checks that the entries of 3,000 backend servers reach each of 100
// followers within half a second over a collector's link of 200 Mbit/s, at 125 KB each.
func TestSnapshotFitsASmallLink(t *testing.T) {
	const maxBytes = 200_000_000 / 8 / 100 / 2
	packed, err := pack(serverEntries(3000))
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > maxBytes {
		t.Errorf("%d bytes, want %d at most", len(packed), maxBytes)
	}
}

// TestDamagedPackIsRejected checks that truncated or invalid packed records are an error.
func TestDamagedPackIsRejected(t *testing.T) {
	packed, err := pack(serverEntries(40))
	if err != nil {
		t.Fatal(err)
	}
	for _, damaged := range [][]byte{packed[:len(packed)/2], packed[4:], []byte("x")} {
		a := answer{Packed: damaged}
		if err := a.unpackRecords(); err == nil {
			t.Errorf("%d damaged bytes were unpacked", len(damaged))
		}
	}
}

// TestSnapshotIsPackedOnceForManyRequests checks that a snapshot is packed once for instances that start
// together, states its true age, and is renewed after its TTL.
func TestSnapshotIsPackedOnceForManyRequests(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewCache(func() time.Time { return now }, nil)
	c.Replace(keyedlog.Snapshot{Records: serverEntries(100), Next: keyedlog.AtOffset(100)}, now)
	first, err := c.newestAnswer(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(packedSnapshotTTL / 2)
	c.Add(keyedlog.Batch{Records: []keyedlog.Record{serverEntry(100)}, Next: keyedlog.AtOffset(101)}, now)
	second, err := c.newestAnswer(t.Context())
	if err != nil || second.Next != 100 || &second.Packed[0] != &first.Packed[0] {
		t.Errorf("within its TTL, the snapshot was packed again, or failed with error %v", err)
	}
	if want := (packedSnapshotTTL / 2).Microseconds(); second.AgeUS != want {
		t.Errorf("age %d us, want %d", second.AgeUS, want)
	}
	if b, err := c.Read(t.Context(), second.position(), 0); err != nil || len(b.Records) != 1 {
		t.Errorf("a read from the snapshot's end: %+v, error %v, want the one newer record", b, err)
	}
	now = now.Add(packedSnapshotTTL)
	if third, err := c.newestAnswer(t.Context()); err != nil || third.Next != 101 {
		t.Errorf("after its TTL, the snapshot ends at %d, error %v, want 101", third.Next, err)
	}
}

// BenchmarkPack3000 measures the packing of the entries of 3,000 backend servers.
func BenchmarkPack3000(b *testing.B) {
	list := serverEntries(3000)
	for b.Loop() {
		if _, err := pack(list); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnpack3000 measures the unpacking of the same entries.
func BenchmarkUnpack3000(b *testing.B) {
	packed, err := pack(serverEntries(3000))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
