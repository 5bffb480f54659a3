package completion

import (
	"testing"
	"time"
)

// TestForecastAddsWaitPrefillAndGeneration checks the parts of a forecast, and which speed each is scaled by.
func TestForecastAddsWaitPrefillAndGeneration(t *testing.T) {
	var r Rates
	w := Work{Overhead: 50 * time.Millisecond, Prefill: 200 * time.Millisecond, Events: 100}
	got := r.Forecast(w, Place{Wait: time.Second, Now: 2.5, Usual: 1.6})
	if want := 1550 * time.Millisecond; got.FirstEvent != want {
		t.Errorf("first event after %v, want %v", got.FirstEvent, want)
	}
	if want := got.FirstEvent + 100*16*idleInterval/10; (got.End - want).Abs() > time.Millisecond {
		t.Errorf("end after %v, want %v", got.End, want)
	}
}

// TestIntervalsAreLearnedByLoadAtUnitSpeed guards against forecasts that mix idle with full engines, or fast with slow
// ones.
func TestIntervalsAreLearnedByLoadAtUnitSpeed(t *testing.T) {
	var r Rates
	for range 40 {
		for _, factor := range []float64{0.6, 1, 1.6} {
			r.ObserveInterval(time.Duration(factor*float64(20*time.Millisecond)), 0, factor)
			r.ObserveInterval(time.Duration(factor*float64(150*time.Millisecond)), 7, factor)
		}
	}
	if got := r.Interval(0); got < 18*time.Millisecond || got > 28*time.Millisecond {
		t.Errorf("%v between events at an idle engine, want about 20ms", got)
	}
	if got := r.Interval(7); got < 130*time.Millisecond || got > 155*time.Millisecond {
		t.Errorf("%v between events beside 7 requests, want about 150ms", got)
	}
	if got := r.Interval(5); got < 100*time.Millisecond {
		t.Errorf("%v between events beside 5 requests, want what was learned beside 7, about 110ms", got)
	}
	if got := r.FastestInterval(); got > idleInterval {
		t.Errorf("fastest interval %v, want at most %v", got, idleInterval)
	}
}

// TestNewRatesFollowALoadChange guards against rates of a quiet hour that hold in a crest.
func TestNewRatesFollowALoadChange(t *testing.T) {
	var r Rates
	for range 1000 {
		r.ObserveInterval(20*time.Millisecond, 3, 1)
	}
	for range 2 * rateMemory {
		r.ObserveInterval(80*time.Millisecond, 3, 1)
	}
	if got := r.Interval(3); got < 65*time.Millisecond {
		t.Errorf("%v between events after the change, want about 80ms", got)
	}
}

// TestTokens checks which of the estimate, the usual length and the maximum counts.
func TestTokens(t *testing.T) {
	var r Rates
	if got := r.Tokens("a", 0, 0); got != 0 {
		t.Errorf("%d tokens expected although nothing is known, want 0", got)
	}
	for range 10 {
		r.ObserveLength("a", 300)
	}
	for _, c := range []struct{ estimate, maximum, want int }{
		{0, 0, 300}, {0, 100, 100}, {500, 0, 500}, {500, 400, 400}, {80, 400, 80},
	} {
		if got := r.Tokens("a", c.estimate, c.maximum); got != c.want {
			t.Errorf("estimate %d, maximum %d: %d tokens, want %d", c.estimate, c.maximum, got, c.want)
		}
	}
	if got := r.Tokens("b", 0, 700); got != 700 {
		t.Errorf("%d tokens on an unknown route, want the maximum", got)
	}
}

// TestAttemptIsGivenUpForABetterServerOnly checks when an attempt is given up.
func TestAttemptIsGivenUpForABetterServerOnly(t *testing.T) {
	const ms = time.Millisecond
	better := Forecast{FirstEvent: 300 * ms, End: 700 * ms}
	for name, c := range map[string]struct {
		p         Progress
		left      time.Duration
		remaining int
		elsewhere Forecast
		want      bool
	}{
		"overdue, and late here":                         {Progress{Since: 2500 * ms}, 1500 * ms, 10, better, true},
		"overdue, but no other server":                   {Progress{Since: 2500 * ms}, 1500 * ms, 10, Forecast{}, false},
		"overdue, but the other is too late as well":     {Progress{Since: 2500 * ms}, 1500 * ms, 10, Forecast{End: 1400 * ms}, false},
		"overdue a little":                               {Progress{Since: 800 * ms}, 1500 * ms, 10, better, false},
		"overdue, with much time left":                   {Progress{Since: 2500 * ms}, 15 * time.Second, 10, better, false},
		"overdue, and the last chance":                   {Progress{Since: 1300 * ms}, 1000 * ms, 10, better, true},
		"begun, without an event":                        {Progress{Since: 2500 * ms, Begun: true}, 1500 * ms, 10, better, false},
		"slow stream":                                    {Progress{Begun: true, Events: 20, Interval: 270 * ms}, 10 * time.Second, 60, Forecast{End: 6 * time.Second}, true},
		"slow stream that can wait":                      {Progress{Begun: true, Events: 20, Interval: 270 * ms}, 10 * time.Second, 60, Forecast{End: 3 * time.Second}, false},
		"slow stream, the other is little faster":        {Progress{Begun: true, Events: 20, Interval: 200 * ms}, 10 * time.Second, 51, Forecast{End: 8 * time.Second}, false},
		"slow stream that just misses it":                {Progress{Begun: true, Events: 20, Interval: 200 * ms}, 10 * time.Second, 52, Forecast{End: 3 * time.Second}, false},
		"slow stream near its expected end":              {Progress{Begun: true, Events: 60, Interval: 270 * ms}, 100 * ms, 0, Forecast{End: 50 * ms}, false},
		"stream of a few events, whose pace says little": {Progress{Begun: true, Events: 3, Interval: 500 * ms}, 5 * time.Second, 60, Forecast{End: 3 * time.Second}, false},
	} {
		if got := c.p.GivesUp(c.left, 500*ms, 400*ms, c.remaining, c.elsewhere); got != c.want {
			t.Errorf("%s: given up: %v, want %v", name, got, c.want)
		}
	}
}
