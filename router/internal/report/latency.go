package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

const (
	// latencySpan is the span of time of one histogram; latencySpanCount of them
	// cover an hour.
	latencySpan      = 5 * time.Minute
	latencySpanCount = 12
	// maxLatencyMS is the longest time that is distinguished; longer ones count as
	// this one.
	maxLatencyMS = 600_000
	// latencyDigits are the significant digits kept: a resolution of 1% is finer
	// than any objective needs, and a histogram then takes about 14 KB.
	latencyDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS, latencyDigits)
}

// rollingHistogram keeps the distribution of a duration over the last hour: the live
// histogram of the current span, and those of the earlier spans in encoded form, which
// takes little memory. The span with number n is at index n modulo latencySpanCount of
// closed; closedNumbers holds the number of the span that is at an index now.
type rollingHistogram struct {
	live          *hdrhistogram.Histogram
	liveNumber    int64
	closed        [latencySpanCount][]byte
	closedNumbers [latencySpanCount]int64
}

// spanNumber numbers the spans of latencySpan since 1970.
func spanNumber(t time.Time) int64 { return t.UnixNano() / int64(latencySpan) }

// record counts one duration, rounded up to a millisecond.
func (l *rollingHistogram) record(now time.Time, d time.Duration) {
	l.roll(now)
	ms := min(max((d+time.Millisecond-1).Milliseconds(), 1), maxLatencyMS)
	// RecordValue fails only for a value outside the histogram's range; ms is within it.
	_ = l.live.RecordValue(ms)
}

// roll encodes and resets the live histogram when its span is over.
func (l *rollingHistogram) roll(now time.Time) {
	n := spanNumber(now)
	if l.live != nil && l.liveNumber == n {
		return
	}
	if l.live == nil {
		l.live = newHistogram()
	} else if l.live.TotalCount() > 0 {
		i := int(l.liveNumber % latencySpanCount)
		l.closed[i], _ = l.live.EncodeV2()
		l.closedNumbers[i] = l.liveNumber
		l.live.Reset()
	}
	l.liveNumber = n
}

// encode merges the histograms of the last hour and encodes the result; nil if nothing
// was counted.
func (l *rollingHistogram) encode(now time.Time) ([]byte, error) {
	if l.live == nil {
		return nil, nil
	}
	l.roll(now)
	total := l.live.Clone()
	for i, data := range l.closed {
		if data == nil || l.closedNumbers[i] <= l.liveNumber-latencySpanCount {
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
