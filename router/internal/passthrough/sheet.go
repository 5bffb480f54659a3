package passthrough

import (
	"fmt"
	"time"

	"masticplank.example/decision/passthrough"
)

// sheet is one instance's counts of one roll-out.
type sheet struct {
	Instance string `json:"instance"`
	// Life tells the instance's processes apart: one that starts again counts anew, and
	// what the one before had seen still holds.
	Life    uint64 `json:"life,omitempty"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Order   uint64 `json:"order"`
	// ElapsedMS is the time since the order, as the instance knew it when it wrote.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Routes are the counts by route.
	Routes map[string]pair `json:"routes"`
	// Sessions are those that were open at the old version when the order came, in the
	// canary's share.
	Sessions []string `json:"sessions,omitempty"`
	// Crash and Times are set in a sheet on a request that crashes servers.
	Crash uint64 `json:"crash,omitempty"`
	Times int    `json:"times,omitempty"`

	readAt time.Time
	dirty  bool
	// past are the sums of all instances at earlier views, oldest first.
	past []past
}

// key is the sheet's key in the store.
func (s *sheet) key() string {
	return fmt.Sprintf("%s/%s/%d/%s/%x", s.Service, s.Target, s.Order, s.Instance, s.Life)
}

// past is what all instances had seen at a time, by route.
type past struct {
	at   time.Time
	sums map[string]pair
}

// recent is how far back the counts reach that are judged beside the whole: long enough
// for five bad answers of a canary, short beside a good first half of a roll-out.
const recent = 5 * time.Second

// pair is the answers of the new and of the old version.
type pair struct {
	New passthrough.Counts `json:"new"`
	Old passthrough.Counts `json:"old"`
}

// view is what all instances saw of one roll-out.
type view struct {
	elapsed    time.Duration
	fresh, old passthrough.Counts
	bad        bool
}

// cleanAnswers is how many good answers of the new version, with no bad one beside them, are
// enough to complete it by one instance's word: of a version that fails three in ten, one
// instance in seventy sees that. With five, one that failed half of its requests was
// completed once in 30 runs.
const cleanAnswers = 12

// clean says whether what was seen of the new version leaves no doubt.
//
// Load: a store that comes back at the end of a roll-out of which it missed the most. Harm
// prevented: a version that others saw failing, completed before they could tell.
func (v view) clean() bool { return v.fresh.Bad == 0 && v.fresh.Good >= cleanAnswers }

// view sums up what all instances saw of the roll-out.
func (b *board) view(r *rollout, now time.Time) view {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.own[r.Service]
	if own == nil || own.Order != r.offset || own.Target != r.Target {
		own = &sheet{Instance: b.instance, Life: b.life, Service: r.Service, Target: r.Target, Order: r.offset, Routes: map[string]pair{}, dirty: true}
		b.own[r.Service] = own
		b.nudge()
	}
	out := view{elapsed: now.Sub(r.since)}
	sums := map[string]pair{}
	add := func(s *sheet) {
		for route, p := range s.Routes {
			sum := sums[route]
			sums[route] = pair{New: sum.New.Plus(p.New), Old: sum.Old.Plus(p.Old)}
		}
	}
	add(own)
	for _, s := range b.others {
		if s.Service != r.Service || s.Target != r.Target || s.Order != r.offset || s.Instance == b.instance && s.Life == b.life {
			continue
		}
		add(&s)
		out.elapsed = max(out.elapsed, time.Duration(s.ElapsedMS)*time.Millisecond+now.Sub(s.readAt))
	}
	for _, p := range sums {
		out.fresh, out.old = out.fresh.Plus(p.New), out.old.Plus(p.Old)
	}
	out.bad = judge(sums) || judge(own.lately(now, sums))
	own.ElapsedMS = out.elapsed.Milliseconds()
	return out
}

// judge says whether the new version is bad, on some route or on all.
func judge(sums map[string]pair) bool {
	var all pair
	for _, p := range sums {
		if passthrough.Judge(p.New, p.Old) {
			return true
		}
		all = pair{New: all.New.Plus(p.New), Old: all.Old.Plus(p.Old)}
	}
	return passthrough.Judge(all.New, all.Old)
}

// lately is what came in the recent time, and notes the sums for later.
func (s *sheet) lately(now time.Time, sums map[string]pair) map[string]pair {
	for len(s.past) > 1 && now.Sub(s.past[1].at) >= recent {
		s.past = s.past[1:]
	}
	out := map[string]pair{}
	if len(s.past) > 0 {
		for route, p := range sums {
			before := s.past[0].sums[route]
			out[route] = pair{New: p.New.Since(before.New), Old: p.Old.Since(before.Old)}
		}
	}
	s.past = append(s.past, past{now, sums})
	return out
}
