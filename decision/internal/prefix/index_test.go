package prefix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

type (
	index = Index[string, uint64]
	match = Match[string]
)

// chain returns the n block hashes of one prompt.
func chain(prompt uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = prompt*1000 + uint64(i)
	}
	return out
}

// Guards against matches on blocks that a server does not have any more: after
// evictions, lost or late events, a restart, or the removal of the server.
func TestMatch(t *testing.T) {
	p := chain(1, 10)
	mixed := append(slices.Clone(p[:4]), chain(2, 6)...)
	cases := []struct {
		name   string
		setup  func(x *index)
		prompt []uint64
		want   []match
	}{
		{"empty index", func(*index) {}, p, nil},
		{"confirmed", func(x *index) { x.ApplyCacheEvent("a", 1, p, nil, startTime) }, p, []match{{"a", 10, true}}},
		{"own dispatch", func(x *index) { x.RecordDispatch("a", p, startTime) }, p, []match{{"a", 10, false}}},
		{"expired own dispatch", func(x *index) { x.RecordDispatch("a", p, startTime.Add(-time.Hour)) }, p, nil},
		{"confirmed dispatch", func(x *index) {
			x.RecordDispatch("a", p, startTime)
			x.ApplyCacheEvent("a", 1, p, nil, startTime)
			x.RecordDispatch("a", p, startTime)
		}, p, []match{{"a", 10, true}}},
		{"common prefix", func(x *index) { x.ApplyCacheEvent("a", 1, p, nil, startTime) }, mixed, []match{{"a", 4, true}}},
		{"deepest first", func(x *index) {
			x.ApplyCacheEvent("a", 1, p[:6], nil, startTime)
			x.ApplyCacheEvent("b", 1, p[:9], nil, startTime)
		}, p, []match{{"b", 9, true}, {"a", 6, true}}},
		{"evicted", func(x *index) {
			x.ApplyCacheEvent("a", 1, p, nil, startTime)
			x.ApplyCacheEvent("a", 2, nil, p[5:], startTime)
		}, p, []match{{"a", 5, true}}},
		{"not confirmed after one gap", func(x *index) {
			x.ApplyCacheEvent("a", 1, p, nil, startTime)
			x.ApplyCacheEvent("a", 3, nil, nil, startTime)
		}, p, []match{{"a", 10, false}}},
		{"invalid after two gaps", func(x *index) {
			x.ApplyCacheEvent("a", 1, p, nil, startTime)
			x.ApplyCacheEvent("a", 3, nil, nil, startTime)
			x.ApplyCacheEvent("a", 9, nil, nil, startTime)
		}, p, nil},
		{"invalid after a restart", func(x *index) {
			x.ApplyCacheEvent("a", 7, p, nil, startTime)
			x.ApplyCacheEvent("a", 1, p[:2], nil, startTime)
		}, p, []match{{"a", 2, true}}},
		{"late event evicts but adds nothing", func(x *index) {
			x.ApplyCacheEvent("a", 3, p[:6], nil, startTime)
			x.ApplyCacheEvent("a", 2, p[6:], p[5:6], startTime)
		}, p, []match{{"a", 5, true}}},
		{"forgotten server", func(x *index) {
			x.ApplyCacheEvent("a", 1, p, nil, startTime)
			x.Forget("a")
			x.RecordDispatch("b", p[:1], startTime)
		}, p, []match{{"b", 1, false}}},
		{"listed again after forgetting", func(x *index) {
			x.ApplyCacheEvent("a", 9, p, nil, startTime)
			x.Forget("a")
			x.ApplyCacheEvent("a", 1, p[:3], nil, startTime)
		}, p, []match{{"a", 3, true}}},
		{"at most maxHolders servers per block", func(x *index) {
			for i := range 9 {
				x.ApplyCacheEvent(fmt.Sprint(i), 1, p, nil, startTime.Add(time.Duration(i)))
			}
		}, p, []match{{"8", 10, true}, {"5", 10, true}, {"6", 10, true}, {"7", 10, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := New[string, uint64](DefaultConfig())
			c.setup(x)
			if got := x.Match(c.prompt, 8, startTime, nil); !slices.Equal(got, c.want) {
				t.Errorf("matches %v, want %v", got, c.want)
			}
		})
	}
}

// Guards, for random sequences of calls, against an index that grows past its
// bound, matches that are longer than the prompt, too many or not ordered by
// length, matches of forgotten servers, and results that differ for equal inputs.
func TestIndexProperties(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxBlocks = 40
	rapid.Check(t, func(t *rapid.T) {
		x, y := New[string, uint64](cfg), New[string, uint64](cfg)
		forgotten := map[string]bool{}
		now := startTime
		for _, s := range rapid.SliceOfN(rapid.Uint32(), 1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(s>>24) * time.Second)
			id := fmt.Sprint(s % 5)
			p := chain(uint64(s>>4%8), 1+int(s>>8%20))
			for _, z := range []*index{x, y} {
				switch s >> 14 % 4 {
				case 0:
					z.ApplyCacheEvent(id, uint64(s>>16%6), p, nil, now)
				case 1:
					z.ApplyCacheEvent(id, uint64(s>>16%6), nil, p, now)
				case 2:
					z.RecordDispatch(id, p, now)
				case 3:
					z.Forget(id)
				}
			}
			forgotten[id] = s>>14%4 == 3
			got := x.Match(p, 3, now, nil)
			if !slices.Equal(got, y.Match(p, 3, now, nil)) {
				t.Fatal("equal inputs match differently")
			}
			if len(got) > 3 || x.Len() > cfg.MaxBlocks {
				t.Fatalf("%d matches and %d indexed blocks, want at most 3 and MaxBlocks", len(got), x.Len())
			}
			for i, m := range got {
				if m.Blocks < 1 || m.Blocks > len(p) || forgotten[m.Server] || i > 0 && got[i-1].Blocks < m.Blocks {
					t.Fatalf("matches %v for a prompt of %d blocks: wrong length or order, or a forgotten server", got, len(p))
				}
			}
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	x := New[string, uint64](DefaultConfig())
	var prompts [][]uint64
	for i := range 1000 {
		p := chain(uint64(i), 60)
		prompts = append(prompts, p)
		x.RecordDispatch(fmt.Sprint(i%100), p[:i%60+1], startTime)
	}
	var out []match
	b.ReportAllocs()
	for i := range b.N {
		out = x.Match(prompts[i%len(prompts)], 2, startTime, out[:0])
	}
}

func ExampleIndex() {
	x := New[string, uint64](DefaultConfig())
	now := startTime
	x.ApplyCacheEvent("s1", 1, []uint64{11, 12, 13}, nil, now)
	x.RecordDispatch("s2", []uint64{11, 12}, now)
	for _, m := range x.Match([]uint64{11, 12, 13, 14}, 2, now, nil) {
		fmt.Println(m.Server, m.Blocks, m.Confirmed)
	}
	// Output:
	// s1 3 true
	// s2 2 false
}
