// Package metrics writes a go-metrics registry in the Prometheus text format.
package metrics

import (
	"io"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

// namePrefix starts the name of every metric.
const namePrefix = "masticplank_"

// quantiles of a histogram or a timer that are written.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes the counters, gauges, histograms and timers of r, sorted by name; other
// types are left out. Timers are in nanoseconds. Prometheus does not allow ".", "-", "@"
// and "/" in a name; they become "_".
func Write(w io.Writer, r gometrics.Registry) error {
	var families []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := metricFamily(name, m); f != nil {
			families = append(families, f)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// metricFamily converts one metric; nil for a type that is not supported.
func metricFamily(name string, m any) *dto.MetricFamily {
	fullName := namePrefix + strings.NewReplacer(".", "_", "-", "_", "@", "_", "/", "_").Replace(name)
	switch v := m.(type) {
	case gometrics.Counter:
		return singleFamily(fullName, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: ptr(float64(v.Count()))}})
	case gometrics.Gauge:
		return singleFamily(fullName, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(float64(v.Value()))}})
	case gometrics.GaugeFloat64:
		return singleFamily(fullName, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(v.Value())}})
	case gometrics.Timer:
		s := v.Snapshot()
		return summaryFamily(fullName, s.Count(), s.Sum(), s.Percentiles(quantiles))
	case gometrics.Histogram:
		s := v.Snapshot()
		return summaryFamily(fullName, s.Count(), s.Sum(), s.Percentiles(quantiles))
	default:
		return nil
	}
}

func summaryFamily(name string, count, sum int64, values []float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: ptr(uint64(count)), SampleSum: ptr(float64(sum))}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(q), Value: ptr(values[i])})
	}
	return singleFamily(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}

func singleFamily(name string, kind dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{m}}
}

func ptr[T any](v T) *T { return &v }
