package capacity

import (
	"fmt"
	"math"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/setting"
)

// Rows returns the rows of the table.
func Rows(all Measurements, size Size, budget Budget) []Row {
	var rows []Row
	rows = append(rows, processRows(all, size, budget)...)
	rows = append(rows, faultRows(all, size)...)
	rows = append(rows, watcherRows(size, budget)...)
	rows = append(rows, platformRows(all, size)...)
	rows = append(rows, entryRows(size, budget)...)
	rows = append(rows, routingRows(all, size)...)
	rows = append(rows, agentRows(size)...)
	rows = append(rows, rolloutRows(all, size)...)
	rows = append(rows, claimRows(all, size, budget)...)
	return append(rows, burstRows(all, size, budget)...)
}

// estimate extrapolates a measured line to the size. The result is at least the value at the largest measured size. ok is false if nothing was
// measured.
func estimate(all Measurements, metric string, size Size) (float64, bool) {
	s, found := all[settingsFile][metric]
	if !found {
		return 0, false
	}
	medians := s.Medians()
	return math.Max(s.Fit().At(float64(size.Nodes)), medians[len(medians)-1].Value), true
}

func extrapolatedRow(all Measurements, size Size, role, what, metric, unit string, limit float64, mechanism string) Row {
	r := Row{Role: role, What: what, Budget: formatNumber(limit) + unit, Mechanism: mechanism, Source: Missing, Value: "-", Headroom: "-"}
	if v, ok := estimate(all, metric, size); ok {
		r.Value, r.Headroom, r.Source = formatNumber(v)+unit, headroom(v, limit), Extrapolated
	}
	return r
}

// headroom returns as text how much of a budget is left or missing.
func headroom(value, budget float64) string {
	if value <= budget {
		return fmt.Sprintf("%.0f%% free", 100*(1-value/budget))
	}
	return fmt.Sprintf("short: %.1f times the budget", value/budget)
}

func processRows(all Measurements, size Size, budget Budget) []Row {
	b := recordSizes(size)
	state := float64(AssumedServices*b.Setting+size.Nodes*(b.Listed+b.Advert)) / (1 << 20)
	rates := changeRates(size)
	changes := pushCopies * (rates.settings*float64(b.Setting) + rates.hosts*float64(b.Listed+b.Advert))
	rows := []Row{
		extrapolatedRow(all, size, "every process", "processor, idle", "cpu_percent_mean", "% of a core", budget.CPUPercent,
			"one exchange of sums a second with a neighbour; a tick every 100 ms"),
		extrapolatedRow(all, size, "every process", "memory, resident", "resident_mib_mean", " MiB", budget.MiB,
			"records of settings, list and advertisements; 8 neighbours bound the connections"),
		extrapolatedRow(all, size, "every process", "control bytes a second, idle", "control_bytes_per_s_mean", "", budget.BytesPerSecond,
			"sums of 2 x 8 bytes when states are equal; buckets and versions only when not"),
		{"every process", "state of the relay", formatNumber(state) + " MiB", formatNumber(budget.MiB) + " MiB", headroom(state, budget.MiB), Calculated,
			fmt.Sprintf("encoded: setting %d, line of the list %d, advertisement %d bytes", b.Setting, b.Listed, b.Advert)},
		{"every process", "control bytes a second for changes of settings and hosts", formatNumber(changes), formatNumber(budget.BytesPerSecond),
			headroom(changes, budget.BytesPerSecond), Calculated, fmt.Sprintf("push to 4 of 8 neighbours: each record passes a link about %d times", pushCopies)},
	}
	if s, found := all[settingsFile]["control_bytes_per_change"]; found {
		v := s.Fit().At(float64(size.Nodes)) * rates.settings
		rows = append(rows, Row{"every process", "the same for settings, from the measured bytes of a change", formatNumber(v),
			formatNumber(budget.BytesPerSecond), headroom(v, budget.BytesPerSecond), Extrapolated, "the experiment's changes, 1 a second, beyond the idle traffic"})
	}
	return append(rows, extrapolatedRow(all, size, "every process", "accepted to in force on the last process", "accept_to_last_ms", " ms",
		1000*size.InForceSeconds, "watchers in each place, push, exchange of what was missed"))
}

func watcherRows(size Size, budget Budget) []Row {
	interval := math.Max(watch.HostsInterval.Seconds(), float64(size.Nodes*listedHostBytes)/watch.HostsBytesPerSecond)
	list := float64(size.Nodes*listedHostBytes) / interval
	object := objectBytes(size)
	changes := size.ChangesPerDay / secondsPerDay * object
	total := list + changes
	return []Row{
		{"watcher", "list of hosts: bytes a second", formatNumber(list), formatNumber(budget.BytesPerSecond), headroom(list, budget.BytesPerSecond), Calculated,
			fmt.Sprintf("a reading of %d KB each %.0f s by each watcher, %d watchers by turns", size.Nodes*listedHostBytes/1000, interval, watch.WatchersPerDataCentre*size.Places)},
		{"watcher", "watch of settings: bytes a second", formatNumber(changes), formatNumber(budget.BytesPerSecond), headroom(changes, budget.BytesPerSecond), Calculated,
			fmt.Sprintf("an object with its full history is %.0f bytes; the relay leaves the history out", object)},
		{"watcher", "both together", formatNumber(total), formatNumber(budget.BytesPerSecond), headroom(total, budget.BytesPerSecond), Calculated, "beside what every process spends"},
	}
}

// listedHostBytes is the approximate size of one host in the platform's host list, in bytes.
const listedHostBytes = 90

// objectBytes returns the size in bytes of a setting's object with a full history.
func objectBytes(size Size) float64 {
	s := typicalSetting(size)
	o := &setting.Object{}
	for version := range uint64(setting.FullHistory + setting.MetadataHistory + 1) {
		o = o.Next(1<<40+version, &s, setting.ChangeInfo{Change: s.Change, Author: s.Author, At: s.At})
	}
	return float64(encodedSize("", o))
}

func platformRows(all Measurements, size Size) []Row {
	watchers := float64(watch.WatchersPerDataCentre * size.Places)
	calls := watchers*watchCalls() + watchers*size.ChangesPerDay/secondsPerDay
	perPlace := float64(size.Nodes / size.Places)
	outage := float64(size.Places) * (2/watch.MaxRetry.Seconds() + math.Log(perPlace)/watch.RankDelay.Seconds())
	rows := []Row{
		{"platform", "reads a second for settings", formatNumber(calls), formatNumber(PlatformReads), headroom(calls, PlatformReads), Calculated,
			"watchers by place, not by host; see the slope of objectapi_calls_per_s"},
		{"platform", "tries a second while it is down", formatNumber(outage), formatNumber(PlatformReads), headroom(outage, PlatformReads), Calculated,
			"the wait after a failure grows with the rank: the sum grows with the logarithm of the fleet"},
		{"platform", "writes a second for settings", formatNumber(size.ChangesPerDay / secondsPerDay), formatNumber(PlatformWrites),
			headroom(size.ChangesPerDay/secondsPerDay, PlatformWrites), Calculated, "one conditional write a change, history within"},
	}
	if s, found := all[settingsFile]["objectapi_calls_per_s"]; found {
		l := s.Fit()
		rows = append(rows, Row{"platform", fmt.Sprintf("reads a second, 4 places, at %.0f processes", l.MaxSize), formatNumber(s.Medians()[len(s.Medians())-1].Value),
			formatNumber(PlatformReads), headroom(l.At(l.MaxSize), PlatformReads), Measured, "the same at 10 processes and at the most that were run"})
	}
	return rows
}

func entryRows(size Size, budget Budget) []Row {
	b := recordSizes(size)
	rates := changeRates(size)
	state := float64(size.Nodes*b.Phase) / (1 << 20)
	ordinary := rates.phases * phaseBytes(b)
	records := rates.burstPhases * phaseBytes(b)
	burst := records + offerBytes() + comparisonBytes(size, rates)
	requests := size.RequestsPerSecond / AssumedEntries
	return []Row{
		{"entry", "phases of all engines, beside the relay's state", formatNumber(state) + " MiB", formatNumber(budget.MiB) + " MiB", headroom(state, budget.MiB), Calculated,
			fmt.Sprintf("%d bytes a host, held by entries only", b.Phase)},
		{"entry", "control bytes a second for phases, ordinary day", formatNumber(ordinary), formatNumber(budget.BytesPerSecond), headroom(ordinary, budget.BytesPerSecond), Calculated,
			"an agent pushes its phases to two entries; entries offer fingerprints and send what the other lacks"},
		{"entry", "the same while a burst reaches its hosts", formatNumber(burst), formatNumber(budget.BytesPerSecond), headroom(burst, budget.BytesPerSecond), Calculated,
			fmt.Sprintf("three phases an engine on %d hosts in %d s: records and fingerprints %s, the calls at most %s, comparing sums %s", size.BurstHosts, BurstSeconds, formatNumber(records), formatNumber(offerBytes()), formatNumber(comparisonBytes(size, rates)))},
		{"entry", "requests a second", formatNumber(requests), "-", "-", Calculated, fmt.Sprintf("%d entries assumed; work for callers, not control", AssumedEntries)},
	}
}

func agentRows(size Size) []Row {
	engines := float64(size.Engines) / float64(size.Nodes)
	requests := size.RequestsPerSecond / float64(size.Nodes)
	return []Row{
		{"agent", "engines, requests and tokens a second", fmt.Sprintf("%.1f, %.0f, %.0f", engines, requests, size.TokensPerSecond/float64(size.Nodes)), "-", "-", Calculated,
			"the mean over all nodes at the peak; work for callers, not control"},
		{"agent", "phases of other hosts", "0", "-", "-", Calculated, "agents hold none; they ask an entry which versions are served during a rollout"},
	}
}

// firstLimits describes which limits a growing fleet reaches first.
func firstLimits(all Measurements, size Size) []string {
	b := recordSizes(size)
	rates := changeRates(size)
	burst := rates.burstPhases*phaseBytes(b) + offerBytes() + comparisonBytes(size, rates)
	lines := []string{
		fmt.Sprintf("Claim owners' memory: %s claims a second that must not run twice fill a process's %s MiB with an hour's records of one partition (worked out from %d bytes a record). More partitions than %d come first.",
			formatNumber(ownerClaims(TargetBudget)), formatNumber(TargetBudget.MiB), claimRecordBytes, claim.PartitionCount),
		fmt.Sprintf("Entries' control bytes during a burst: %s a second against %s (worked out). The records alone, in and out, are %s. Fewer and larger messages, in a smaller encoding, come next.",
			formatNumber(burst), formatNumber(TargetBudget.BytesPerSecond), formatNumber(2*rates.burstPhases*float64(b.Phase))),
		fmt.Sprintf("The watchers' reading of the list of hosts, %d KB each time: at ten times the hosts the interval grows to %.0f s, which is slow for a departed host; local evidence carries until then.",
			size.Nodes*listedHostBytes/1000, 10*float64(size.Nodes*listedHostBytes)/watch.HostsBytesPerSecond),
		"With all watchers of the fleet dead at once, a change waits for the silence limit (9 s) and the next in rank; see TestChangesPropagateAfterAllWatchersFail.",
	}
	if v, ok := estimate(all, "resident_mib_mean", size); ok {
		lines = append(lines, fmt.Sprintf("Memory: %s MiB of %s by the line through the measurements.", formatNumber(v), formatNumber(TargetBudget.MiB)))
	}
	return lines
}
