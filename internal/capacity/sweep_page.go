package capacity

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// SweepPage returns docs/CAPACITY.md from the sweeps.
func SweepPage(sweeps []Sweep) string {
	var b strings.Builder
	b.WriteString(`# Capacity

What each role spends as the fleet grows, and where that leads at the size of the users' first letter. Printed by ` + "`go run ./cmd/capacity`" + ` from
docs/data/sweep; a test keeps this page and the command alike. Each sweep plays one day of a deployment at three or four sizes, one run each, on
a machine on which other work ran. Slopes are those of a straight line through the sizes, a host; the last columns carry line and
power on to the users' size, about five times beyond what was measured: they are no measurement.

The figures are of the path that the users' platform runs. Those of the first version's path stand on [a page of their own](CAPACITY-FIRST.md).

`)
	writeSize(&b, TargetSize)
	for _, s := range sweeps {
		s.write(&b)
	}
	writeSweepBreaks(&b, sweeps)
	return b.String()
}

func (s Sweep) write(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s\n\n", s.Name)
	for _, r := range s.Remarks {
		b.WriteString(r + "\n")
	}
	b.WriteString("\nMiddle and busiest process of each role.\n\n| role | what |")
	sizes := s.sizes()
	for _, n := range sizes {
		fmt.Fprintf(b, " %s hosts |", formatNumber(n))
	}
	fmt.Fprintf(b, " base, slope of the middle | base, slope of the busiest | power | busiest at %d: line, power | budget | mechanism |\n", TargetSize.Nodes)
	b.WriteString("|---|---|" + strings.Repeat("---|", len(sizes)+6) + "\n")
	for _, series := range s.Series {
		series.write(b, sizes)
	}
}

// sizes returns the numbers of hosts that occur in any series.
func (s Sweep) sizes() []float64 {
	seen := map[float64]bool{}
	var sizes []float64
	for _, series := range s.Series {
		for _, p := range series.Points {
			if !seen[p.Hosts] {
				seen[p.Hosts] = true
				sizes = append(sizes, p.Hosts)
			}
		}
	}
	sort.Float64s(sizes)
	return sizes
}

func (s SweepSeries) write(b *strings.Builder, sizes []float64) {
	fmt.Fprintf(b, "| %s | %s, %s |", s.Role, s.What, s.Unit)
	for _, n := range sizes {
		b.WriteString(" " + s.at(n) + " |")
	}
	middleLine, busiestLine := s.line(middle), s.line(busiest)
	fmt.Fprintf(b, " %s, %s | %s, %s | %s | %s | %s | %s |\n", formatNumber(middleLine.Base), formatNumber(middleLine.Slope), formatNumber(busiestLine.Base), formatNumber(busiestLine.Slope),
		orDash(s.growthExponent()), s.extrapolated(), budgetOf(s.Unit, s.Role), mechanismOf(s.Role, s.What))
}

// at returns the values of a series at a number of hosts as text.
func (s SweepSeries) at(hosts float64) string {
	for _, p := range s.Points {
		switch {
		case p.Hosts != hosts:
		case p.Middle == p.Busiest:
			return formatNumber(p.Middle)
		default:
			return formatNumber(p.Middle) + " / " + formatNumber(p.Busiest)
		}
	}
	return "-"
}

// extrapolated returns the values of the busiest process at the target size, by the line and by the power law.
func (s SweepSeries) extrapolated() string {
	last := s.Points[len(s.Points)-1]
	byPower := last.Busiest * math.Pow(float64(TargetSize.Nodes)/last.Hosts, s.growthExponent())
	return formatNumber(math.Max(0, s.line(busiest).At(float64(TargetSize.Nodes)))) + ", " + orDash(byPower)
}

func orDash(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "-"
	}
	return formatNumber(v)
}

// fleetRole is the role of metrics of the fleet as a whole.
const fleetRole = "fleet"

// Units of the metrics that have a budget.
const (
	unitCore      = "% of a core"
	unitMegabytes = "MB"
	unitKilobytes = "kB a second"
)

func budgetOf(unit, role string) string {
	v, ok := budgetValue(unit, role)
	if !ok {
		return "-"
	}
	return formatNumber(v)
}

// budgetValue returns the budget that the users set for the control of a node. The total usage of a process is compared with it, including its work
// for callers.
func budgetValue(unit, role string) (float64, bool) {
	if role == fleetRole {
		return 0, false
	}
	switch unit {
	case unitCore:
		return TargetBudget.CPUPercent, true
	case unitMegabytes:
		return TargetBudget.MiB, true
	case unitKilobytes:
		return TargetBudget.BytesPerSecond / 1000, true
	}
	return 0, false
}

// mechanisms describes what causes the usage in each metric.
var mechanisms = map[string]string{
	"entry, processor":                "requests, each of which looks at the upstreams of the nearest data centre that has room; reports of the agents that it greets; lists and changes passed on",
	"entry, memory":                   "requests in flight, the list of upstreams, what is kept for those that read from it",
	"entry, bytes":                    "reports of a bounded number of agents; lists and changes, packed, to the square root of its data centre's entries and to some agents",
	"entry, wake-ups":                 "requests, ticks of 20 ms, reports of the agents that it greets",
	"entry, connections":              "a connection for each request in flight, kept ones of callers",
	"entry, new connections":          "a connection for each request",
	"agent, processor":                "a reading of its engine each 100 ms, reports to the entries that greet it, chunks",
	"agent, memory":                   "the chunks of the versions in force, the list of upstreams",
	"agent, bytes":                    "reports to a bounded number of entries, lists read from an entry, news of chunks to its neighbours",
	"agent, wake-ups":                 "ticks of 100 ms, readings, greetings and chunks",
	"agent, connections":              "neighbours in the mesh, hosts that fetch chunks, the engine",
	"agent, new connections":          "the origin, and peers whose connections were idle",
	"fleet, served":                   "admission and choice at each entry by itself",
	"fleet, manifest in force":        "the reader of each data centre waits for changes, the others at it or at one that does",
	"fleet, a leaving upstream known": "the same",
	"fleet, next change in force after a process was killed": "others notice a reader that is silent after 0.8 s",
	"fleet, serving after all ended":                         "processes find one another by seeds, one entry of a data centre lists the store, the others read from it; what lies at the engines is used",
}

func mechanismOf(role, what string) string {
	if text, known := mechanisms[role+", "+what]; known {
		return text
	}
	return "-"
}

// writeSweepBreaks lists the metrics that exceed the users' budget at the target size, the largest excess first.
func writeSweepBreaks(b *strings.Builder, sweeps []Sweep) {
	b.WriteString("\n## What breaks first\n\nThe busiest process against the budget for control, work for callers included, by the line:\n\n")
	type over struct {
		times float64
		text  string
	}
	var list []over
	for _, s := range sweeps {
		for _, series := range s.Series {
			budget, ok := budgetValue(series.Unit, series.Role)
			value := series.line(busiest).At(float64(TargetSize.Nodes))
			if ok && value > budget {
				list = append(list, over{value / budget, fmt.Sprintf("%s, %s of %s: %s %s, %s times the budget; carried by: %s",
					s.Name, series.What, series.Role, formatNumber(value), series.Unit, formatNumber(value/budget), mechanismOf(series.Role, series.What))})
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].times > list[j].times })
	for _, o := range list {
		b.WriteString("- " + o.text + "\n")
	}
	if len(list) == 0 {
		b.WriteString("- Nothing.\n")
	}
}
