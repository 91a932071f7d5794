package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// exposedMetric is a metric that can write its series in the text exposition format.
type exposedMetric interface {
	describe() Definition
	write(w io.Writer)
}

// polledGauge is a gauge whose values are read whenever the metrics are written.
type polledGauge struct {
	definition Definition
	// read returns the values by the value of the first label; the key is empty for a gauge without labels.
	read func() map[string]int64
}

// Write writes every metric in the text exposition format of Prometheus. It returns the error of w.
func (m *Metrics) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, e := range m.exposed {
		d := e.describe()
		_, _ = fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", d.Name, d.Help, d.Name, d.Kind)
		e.write(b)
	}
	return b.Flush()
}

func (c Counter) describe() Definition { return c.definition }

func (c Counter) write(w io.Writer) {
	for _, l := range c.sorted() {
		_, _ = fmt.Fprintf(w, "%s%s %d\n", c.definition.Name, c.definition.labelText(l, ""), c.get(l).Count())
	}
}

func (g DurationGauge) describe() Definition { return g.definition }

func (g DurationGauge) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s %g\n", g.definition.Name, g.seconds.Value())
}

func (h Histogram) describe() Definition { return h.definition }

func (h Histogram) write(w io.Writer) {
	d := h.definition
	for _, l := range h.sorted() {
		s := h.get(l)
		sum := s.sum.Count()
		n := int64(0)
		for i, c := range s.counts {
			n += c.Count()
			_, _ = fmt.Fprintf(w, "%s_bucket%s %d\n", d.Name, d.labelText(l, "le="+bucketBound(i)), n)
		}
		_, _ = fmt.Fprintf(w, "%s_sum%s %g\n", d.Name, d.labelText(l, ""), time.Duration(sum).Seconds())
		_, _ = fmt.Fprintf(w, "%s_count%s %d\n", d.Name, d.labelText(l, ""), n)
	}
}

// bucketBound returns the label value of a bucket's upper bound, in seconds.
func bucketBound(i int) string {
	if i == len(buckets) {
		return `"+Inf"`
	}
	return fmt.Sprintf(`"%g"`, buckets[i].Seconds())
}

func (g polledGauge) describe() Definition { return g.definition }

func (g polledGauge) write(w io.Writer) {
	values := g.read()
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		_, _ = fmt.Fprintf(w, "%s%s %d\n", g.definition.Name, g.definition.labelText(labelsOf([]string{k}), ""), values[k])
	}
}

// Markdown returns the content of docs/METRICS.md, in Markdown.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nPrinted by `samphireweir metrics`; a test checks that this page matches the binary. Each process serves them\n")
	b.WriteString("in the text exposition format at `GET /metrics` on its operators' address.\n\n")
	fmt.Fprintf(&b, "The number of series is bounded: teams and services are those with a setting in force (others count under `-`),\n"+
		"upstreams are those of the agent's own host, and beyond %d combinations of labels a metric counts under `%s`.\n\n", MaxSeries, OtherLabel)
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range Catalogue {
		labels := strings.Join(d.Labels, ", ")
		if labels == "" {
			labels = "-"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", d.Name, d.Kind, labels, d.Help)
	}
	return b.String()
}
