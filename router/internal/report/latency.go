package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

const (
	// latencySpan is what each part of a latency's history covers; the parts
	// together make an hour.
	latencySpan  = 5 * time.Minute
	latencySpans = 12
	// maxLatencyMS is the longest time told apart; longer ones count as it.
	maxLatencyMS = 600_000
	// latencyDigits are the significant digits kept: 1% is finer than any
	// objective, and a histogram then takes about 12 KB.
	latencyDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS, latencyDigits)
}

// latency keeps the last hour of a duration: one live histogram, and the ones
// before it in their encoded form, which is small.
type rollingHistogram struct {
	live          *hdrhistogram.Histogram
	liveNumber    int64
	closed        [latencySpans][]byte
	closedNumbers [latencySpans]int64
}

func spanNumber(t time.Time) int64 { return t.UnixNano() / int64(latencySpan) }

// record counts one duration.
func (l *rollingHistogram) record(now time.Time, d time.Duration) {
	l.roll(now)
	ms := min(max((d+time.Millisecond-1).Milliseconds(), 1), maxLatencyMS)
	// The value is within the histogram's range, which is the only error.
	_ = l.live.RecordValue(ms)
}

// roll closes the live histogram when its span is over.
func (l *rollingHistogram) roll(now time.Time) {
	n := spanNumber(now)
	if l.live != nil && l.liveNumber == n {
		return
	}
	if l.live == nil {
		l.live = newHistogram()
	} else if l.live.TotalCount() > 0 {
		i := int(l.liveNumber % latencySpans)
		l.closed[i], _ = l.live.EncodeV2()
		l.closedNumbers[i] = l.liveNumber
		l.live.Reset()
	}
	l.liveNumber = n
}

// encode merges the last hour; nil where nothing was counted.
func (l *rollingHistogram) encode(now time.Time) ([]byte, error) {
	if l.live == nil {
		return nil, nil
	}
	l.roll(now)
	total := l.live.Clone()
	for i, data := range l.closed {
		if data == nil || l.closedNumbers[i] <= l.liveNumber-latencySpans {
			continue
		}
		part, err := hdrhistogram.Decode(data)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		total.Merge(part)
	}
	if total.TotalCount() == 0 {
		return nil, nil
	}
	data, err := total.EncodeV2()
	return data, trace.Wrap(err)
}
