package capacity

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
)

// Source is how a number was obtained.
type Source string

// Sources of a number.
const (
	Measured     Source = "measured"
	SingleRun    Source = "measured, single run"
	Extrapolated Source = "line through measurements"
	Calculated   Source = "worked out"
	Missing      Source = "not measured"
)

// Row is one row of the table.
type Row struct {
	Role   string
	What   string
	Value  string
	Budget string
	// Headroom is the remaining or missing part of the budget.
	Headroom  string
	Source    Source
	Mechanism string
}

// Page returns docs/CAPACITY-FIRST.md, the page on the product's own path, from the measurements of a folder.
func Page(all Measurements) string {
	var b strings.Builder
	writeHead(&b)
	writeSize(&b, TargetSize)
	writeRows(&b, Rows(all, TargetSize, TargetBudget))
	writeFirstLimits(&b, all)
	writeFits(&b, all)
	return b.String()
}

func writeHead(b *strings.Builder) {
	b.WriteString(`# Capacity of the first version's path

What each role holds, sends and spends at the size of the users' first letter. Printed by ` + "`go run ./cmd/capacity -first`" + ` from
docs/data and from the encoded size of the messages; a test keeps this page and the command alike. "Line through
measurements" is a straight line through the medians, extended to the size: up to five times beyond what was measured,
so take it as an estimate; where it falls, the value at the greatest size is taken. "Worked out" is arithmetic from
sizes, intervals and rates in the code. Nothing here was
measured at 1,500 nodes. All measurements were taken on one machine of 12 cores on which other work ran at the same
time, most of them in a single run: each file's section says so. Times are no better than that.

The figures are of the product's own path. Those of the path that the users' platform runs stand on [the page of its own](CAPACITY.md).

`)
}

func writeSize(b *strings.Builder, s Size) {
	b.WriteString("## The size\n\n| number | value |\n|---|---|\n")
	for _, line := range [][2]string{
		{"nodes (processes of the system)", fmt.Sprint(s.Nodes)}, {"engines", fmt.Sprint(s.Engines)},
		{"accelerators", fmt.Sprint(s.Accelerators)}, {"requests a second at the peak", formatNumber(s.RequestsPerSecond)},
		{"tokens a second at the peak", formatNumber(s.TokensPerSecond)},
		{"first token, 95 in 100", fmt.Sprintf("%.2f s", s.FirstTokenSeconds)},
		{"between tokens, 95 in 100", fmt.Sprintf("%.0f ms", 1000*s.BetweenTokensSeconds)},
		{"hosts that get new weights within minutes", fmt.Sprint(s.BurstHosts)},
		{"regions, data centres", fmt.Sprintf("%d, %d", s.Regions, s.Places)},
		{"changes of configuration a day", formatNumber(s.ChangesPerDay)}, {"in force everywhere within", fmt.Sprintf("%.0f s", s.InForceSeconds)},
		{"control of a node", fmt.Sprintf("%.1f%% of a core, %.0f MB, %.0f KB a second", TargetBudget.CPUPercent, TargetBudget.MiB, TargetBudget.BytesPerSecond/1000)},
		{"hosts that fail a day", formatNumber(s.FailuresPerDay)}, {"hosts restarted or replaced a day", formatNumber(s.RestartsPerDay)},
		{"assumed: services with a setting", fmt.Sprint(AssumedServices)}, {"assumed: entries among the nodes", fmt.Sprint(AssumedEntries)},
	} {
		fmt.Fprintf(b, "| %s | %s |\n", line[0], line[1])
	}
}

func writeRows(b *strings.Builder, rows []Row) {
	b.WriteString("\n## By role\n\n| role | what | at that size | budget | room | how known | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.What, r.Value, r.Budget, r.Headroom, r.Source, r.Mechanism)
	}
}

func writeFits(b *strings.Builder, all Measurements) {
	b.WriteString("\n## Measurements\n\nValues are medians of the runs at a size. With three sizes or more there is a line: value = base + slope x size; it is\n" +
		"no better than its R2 and its worst point say. `single run` means that the size measured least has one value.\n")
	for _, file := range sortedKeys(all) {
		fmt.Fprintf(b, "\n### %s\n\nSize: %s. %s\n\n", file, layoutOf(file).size, layoutOf(file).conditions)
		if file == faultsFile {
			writeFaults(b, all[file])
			continue
		}
		writeSeries(b, all[file])
	}
}

func writeSeries(b *strings.Builder, series map[string]Series) {
	b.WriteString("| series | runs | medians (size: value) | base | slope | R2 | worst point off by |\n|---|---|---|---|---|---|---|\n")
	maxSizes, omitted := 0, 0
	for _, s := range series {
		maxSizes = max(maxSizes, s.Sizes())
	}
	for _, name := range sortedKeys(series) {
		s := series[name]
		if s.Sizes() == 1 && maxSizes >= minSizes {
			omitted++
			continue
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", name, runs(s), medians(s), line(s))
	}
	if omitted > 0 {
		fmt.Fprintf(b, "\n%d series of one size each are in the file only.\n", omitted)
	}
}

func line(s Series) string {
	if s.Sizes() < minSizes {
		return "- | - | - | -"
	}
	l := s.Fit()
	return fmt.Sprintf("%s | %s | %.3f | %.0f%%", formatNumber(l.Base), formatNumber(l.Slope), l.R2, 100*l.MaxDeviation)
}

func runs(s Series) string {
	if n := s.Runs(); n > 1 {
		return fmt.Sprint(n)
	}
	return "single run"
}

// writeFaults writes the worst run of each metric. There is no line, because each fault was run once at one size.
func writeFaults(b *strings.Builder, series map[string]Series) {
	b.WriteString("| metric | runs | median | worst | with |\n|---|---|---|---|---|\n")
	for _, metric := range layouts[faultsFile].metrics {
		total := Series{Metric: metric}
		for _, name := range sortedKeys(series) {
			if series[name].Metric == metric {
				total.Points = append(total.Points, series[name].Points...)
			}
		}
		worstValue, with := worst(series, metric)
		fmt.Fprintf(b, "| %s | %d | %s | %s | %s |\n", metric, len(total.Points), medians(total), formatNumber(worstValue), with)
	}
}

func medians(s Series) string {
	var parts []string
	for _, p := range s.Medians() {
		parts = append(parts, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(parts, ", ")
}

func writeFirstLimits(b *strings.Builder, all Measurements) {
	b.WriteString("\n## What breaks first\n\n")
	for _, line := range firstLimits(all, TargetSize) {
		b.WriteString("- " + line + "\n")
	}
}

// formatNumber formats a value with about three significant digits.
func formatNumber(v float64) string {
	abs := v
	if abs < 0 {
		abs = -abs
	}
	switch {
	case abs >= 1e6:
		return fmt.Sprintf("%.3g million", v/1e6)
	case abs >= 100:
		return fmt.Sprintf("%.0f", v)
	case abs >= 1 || abs == 0:
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2f", v), "0"), ".")
	}
	return fmt.Sprintf("%.3g", v)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// perSecond holds the changes a second in the whole fleet, by kind of record.
type perSecond struct{ settings, hosts, phases, burstPhases float64 }

func changeRates(s Size) perSecond {
	enginesPerHost := float64(s.Engines) / float64(s.Nodes)
	restarts := (s.RestartsPerDay + s.FailuresPerDay) / secondsPerDay
	return perSecond{
		settings: s.ChangesPerDay / secondsPerDay,
		// A restart changes the host list twice (to leaving or gone, and to live), and the advertisement twice.
		hosts: 2 * restarts,
		// The engines of the host go through idle, loading and serving.
		phases:      (1 + 3*enginesPerHost) * restarts,
		burstPhases: 3 * enginesPerHost * float64(s.BurstHosts) / BurstSeconds,
	}
}

// phaseBytes returns the bytes that an entry sends and receives for one change of a phase. The entry receives and forwards the record about once. It
// exchanges the fingerprint with OfferFanout others and in the two answers.
func phaseBytes(b Bytes) float64 {
	return 2*float64(b.Phase) + (2*record.OfferFanout+2)*fingerprintBytes
}

const (
	// fingerprintBytes is the size of a fingerprint as text, and callOverheadBytes that of a call and its answer without their content.
	fingerprintBytes  = 11
	callOverheadBytes = 120
	// spreadSeconds is about how long a change of a phase takes to reach all entries, as in TestPhasesOfABurstReachAllEntries.
	spreadSeconds = 0.7
)

// offerBytes returns the bytes a second that calls take at an entry during a burst, sent and received: offers to and from all neighbours at every
// third tick, and at most as many pushes.
func offerBytes() float64 {
	interval := math.Ceil(float64(record.OfferInterval)/float64(step.TickInterval)) * step.TickInterval.Seconds()
	return 2 * 2 * record.OfferFanout / interval * callOverheadBytes
}

// comparisonBytes returns the bytes a second that an entry exchanges to compare checksums during a burst: the sums of the dynamic buckets, and the
// fingerprints in the buckets that differ by changes that are still being spread. It counts comparisons that the entry starts and those that others
// start.
func comparisonBytes(size Size, rates perSecond) float64 {
	sums := float64(record.Buckets) * 8 * 4 / 3
	differ := math.Min(record.Buckets, rates.burstPhases*spreadSeconds)
	prints := differ * float64(size.Nodes) / record.Buckets * fingerprintBytes
	return 2 * (sums + prints + 2*callOverheadBytes) / record.DynamicInterval.Seconds()
}

// pushCopies is how often a record passes a process's link: each process that receives a record pushes it to Fanout others, and so receives it from
// as many on average.
const pushCopies = 2 * record.Fanout

// watchCalls returns the calls a second of one watcher while nothing changes.
func watchCalls() float64 { return 1 / watch.WatchTimeout.Seconds() }
