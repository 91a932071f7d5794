package telemetry

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// maxLabels is the maximum number of labels of a metric.
	maxLabels = 4
	// MaxSeries is the maximum number of label combinations of one metric. Further ones are counted under OtherLabel.
	MaxSeries = 512
	// OtherLabel is the value of every label for combinations beyond MaxSeries.
	OtherLabel = "other"
)

// labelValues are the values of a metric's labels, in the order of its definition.
type labelValues [maxLabels]string

func labelsOf(values []string) labelValues {
	var l labelValues
	copy(l[:], values)
	return l
}

// family holds the series of one metric, keyed by their labels.
type family[T any] struct {
	definition Definition
	newSeries  func(name string) T

	mu     sync.RWMutex
	series map[labelValues]T
}

func newFamily[T any](d Definition, newSeries func(name string) T) *family[T] {
	return &family[T]{definition: d, newSeries: newSeries, series: map[labelValues]T{}}
}

// get returns the series with these labels. It allocates only when it creates the series.
func (f *family[T]) get(l labelValues) T {
	f.mu.RLock()
	s, ok := f.series[l]
	f.mu.RUnlock()
	if ok {
		return s
	}
	return f.add(l)
}

// add creates the series with these labels, or returns the one labelled OtherLabel if there are MaxSeries already.
func (f *family[T]) add(l labelValues) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.series) >= MaxSeries {
		l = f.otherLabels()
	}
	if s, ok := f.series[l]; ok {
		return s
	}
	s := f.newSeries(f.definition.Name + f.definition.labelText(l, ""))
	f.series[l] = s
	return s
}

func (f *family[T]) otherLabels() labelValues {
	var l labelValues
	for i := range f.definition.Labels {
		l[i] = OtherLabel
	}
	return l
}

// sorted returns the labels of all series, sorted so that the output is stable.
func (f *family[T]) sorted() []labelValues {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make([]labelValues, 0, len(f.series))
	for l := range f.series {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return strings.Join(list[i][:], "\x00") < strings.Join(list[j][:], "\x00") })
	return list
}

// labelText formats the labels followed by extra, such as {team="a",le="1"}. It is empty if there are none.
func (d Definition) labelText(l labelValues, extra string) string {
	var parts []string
	for i, name := range d.Labels {
		parts = append(parts, fmt.Sprintf("%s=%q", name, l[i]))
	}
	if extra != "" {
		parts = append(parts, extra)
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Counter is a counter or gauge with labels.
type Counter struct{ *family[metrics.Counter] }

func newCounter(r metrics.Registry, d Definition) Counter {
	return Counter{newFamily(d, func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) })}
}

// Add adds n to the series with these labels. n may be negative for a gauge only.
func (c Counter) Add(n int64, values ...string) { c.get(labelsOf(values)).Inc(n) }

// Value returns the value of the series with these labels.
func (c Counter) Value(values ...string) int64 { return c.get(labelsOf(values)).Count() }

// buckets are the upper bounds of the buckets of histograms. They range from the overhead of one hop (1 ms) to the duration of a
// long answer (5 minutes).
var buckets = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 820 * time.Millisecond,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// distribution is one series of a histogram: a counter for each bucket, one for durations above the last bound, and the sum in
// nanoseconds.
type distribution struct {
	counts []metrics.Counter
	sum    metrics.Counter
}

func newDistribution(r metrics.Registry, name string) *distribution {
	d := &distribution{sum: metrics.NewRegisteredCounter(name+".sum_ns", r)}
	for i := 0; i <= len(buckets); i++ {
		d.counts = append(d.counts, metrics.NewRegisteredCounter(name+".bucket."+strconv.Itoa(i), r))
	}
	return d
}

func (d *distribution) observe(took time.Duration) {
	i := sort.Search(len(buckets), func(i int) bool { return took <= buckets[i] })
	d.counts[i].Inc(1)
	d.sum.Inc(int64(took))
}

// Histogram counts durations in buckets, by labels.
type Histogram struct{ *family[*distribution] }

func newHistogram(r metrics.Registry, d Definition) Histogram {
	return Histogram{newFamily(d, func(name string) *distribution { return newDistribution(r, name) })}
}

// Observe records one duration in the series with these labels.
func (h Histogram) Observe(took time.Duration, values ...string) {
	h.get(labelsOf(values)).observe(took)
}

// Count returns the number of durations recorded in the series with these labels.
func (h Histogram) Count(values ...string) int64 {
	n := int64(0)
	for _, c := range h.get(labelsOf(values)).counts {
		n += c.Count()
	}
	return n
}

// DurationGauge is a gauge without labels whose value is a duration, exposed in seconds.
type DurationGauge struct {
	definition Definition
	seconds    metrics.GaugeFloat64
}

func newDurationGauge(r metrics.Registry, d Definition) DurationGauge {
	return DurationGauge{d, metrics.NewRegisteredGaugeFloat64(d.Name, r)}
}

// Set sets the value.
func (g DurationGauge) Set(d time.Duration) { g.seconds.Update(d.Seconds()) }

// Value returns the value.
func (g DurationGauge) Value() time.Duration {
	return time.Duration(g.seconds.Value() * float64(time.Second))
}
