package capacity

import (
	"fmt"
	"math"

	"samphireweir.example/samphireweir/internal/core/claim"
)

const (
	// claimRecordBytes is the memory of a sealed record at its owner, in bytes. It was measured in one run of BenchmarkRecordsInMemory of core/claim.
	claimRecordBytes = 157
	// claimRetentionSeconds is the default retention of the record of a run with a UUIDv7 key.
	claimRetentionSeconds = 3600
	// maxExtrapolation is how many times beyond the largest measured size a line is used as an estimate.
	maxExtrapolation = 5
	ownerSeries      = "group commit by the partition's owner, each 100 ms, 400 writes a second at most: "
	rolloutSeries    = "after, 1 in 4 out of service: "
)

// largestPoint returns the median at the largest size of a series, with that size.
func largestPoint(all Measurements, file, name string) (p Point, known bool) {
	s, known := all[file][name]
	if !known {
		return p, false
	}
	medians := s.Medians()
	return medians[len(medians)-1], true
}

// measuredRow returns a row with a series' value at its largest size. A limit of 0 means none.
func measuredRow(all Measurements, role, what, file, name, unit string, limit float64, mechanism string) Row {
	r := Row{Role: role, What: what, Value: "-", Budget: "-", Headroom: "-", Source: Missing, Mechanism: mechanism}
	p, known := largestPoint(all, file, name)
	if limit > 0 {
		r.Budget = formatNumber(limit) + unit
	}
	if !known {
		return r
	}
	r.Value, r.Source = formatNumber(p.Value)+unit, Measured
	if all[file][name].Runs() == 1 {
		r.Source = SingleRun
	}
	if limit > 0 {
		r.Headroom = headroom(p.Value, limit)
	}
	r.What += fmt.Sprintf(", at %s %s", formatNumber(p.Size), sizeNames[file])
	return r
}

// sizeNames says what the sizes in a file count.
var sizeNames = map[string]string{
	claimsFile: "claims a second", ordersFile: "engines", routingFile: "times the engines' rate", burstsFile: "hosts",
	settingsFile: "processes",
}

func claimRows(all Measurements, size Size, budget Budget) []Row {
	rows := []Row{
		{"claim owner", "claims a second that the platform's writes allow one by one", formatNumber(PlatformWrites), "-", "-", Calculated,
			fmt.Sprintf("%.2f%% of %s requests a second; owners group claims into one write", 100*PlatformWrites/size.RequestsPerSecond, formatNumber(size.RequestsPerSecond))},
		measuredRow(all, "claim owner", "platform's writes a second of all owners", claimsFile, ownerSeries+"writes_per_s", "", PlatformWrites,
			"a write each 100 ms for each partition with claims, and the sealing of records"),
		measuredRow(all, "claim owner", "added latency, 99 in 100", claimsFile, ownerSeries+"p99_ms", " ms", 0, "the wait for the next write; part of the first token's time for calls that must not run twice"),
		measuredRow(all, "claim owner", "refusal while the platform is down, 99 in 100", claimsFile, ownerSeries+"outage_p99_ms", " ms", 0, "refused as not run"),
	}
	if p, known := largestPoint(all, claimsFile, ownerSeries+"writes_per_s"); known {
		extrapolated := maxExtrapolation * p.Size
		writes := all[claimsFile][ownerSeries+"writes_per_s"].Fit().At(extrapolated)
		rows = append(rows, Row{"claim owner", fmt.Sprintf("the same writes at %s claims a second, as far as the line is taken", formatNumber(extrapolated)),
			formatNumber(writes), formatNumber(PlatformWrites), headroom(writes, PlatformWrites), Extrapolated, "the letter does not say how many calls must not run twice"})
		memory := ownerMemory(p.Size)
		rows = append(rows, Row{"claim owner", fmt.Sprintf("memory of an hour's records, at %s claims a second", formatNumber(p.Size)),
			formatNumber(memory) + " MiB", formatNumber(budget.MiB) + " MiB", headroom(memory, budget.MiB), Calculated,
			fmt.Sprintf("%d bytes a record (benchmark, one run), %d partitions; the first budget that gives way: %s claims a second fill it", claimRecordBytes, claim.PartitionCount, formatNumber(ownerClaims(budget)))})
	}
	return rows
}

// ownerMemory returns the memory of one partition's records in MiB, for a rate of claims a second in the whole fleet.
func ownerMemory(claims float64) float64 {
	return claims / claim.PartitionCount * claimRetentionSeconds * claimRecordBytes / (1 << 20)
}

// ownerClaims returns the rate of claims a second at which the records of one partition alone fill a process's memory budget.
func ownerClaims(budget Budget) float64 { return budget.MiB / ownerMemory(1) }

func rolloutRows(all Measurements, size Size) []Row {
	engines := float64(size.BurstHosts) * float64(size.Engines) / float64(size.Nodes)
	var rows []Row
	for _, c := range []struct {
		metric string
		limit  float64
	}{{"writes", PlatformWrites}, {"reads", PlatformReads}} {
		s, known := all[ordersFile][rolloutSeries+c.metric]
		if !known {
			continue
		}
		l := s.Fit()
		rate := l.At(engines) / BurstSeconds
		rows = append(rows, Row{"agent", fmt.Sprintf("platform's %s a second while %s engines get a version", c.metric, formatNumber(engines)),
			formatNumber(rate), formatNumber(c.limit), headroom(rate, c.limit), Extrapolated,
			fmt.Sprintf("slots in one table a service, conditional writes; a guess: %s times beyond the %s engines that were measured", formatNumber(engines/l.MaxSize), formatNumber(l.MaxSize))})
	}
	return rows
}

func routingRows(all Measurements, size Size) []Row {
	return []Row{
		measuredRow(all, "entry", "first byte, 95 in 100", routingFile, "overload, admission: first byte p95 ms", " ms", 1000*size.FirstTokenSeconds,
			"admission refuses what would wait too long; 2 entries and 8 engines of the stand-in"),
		measuredRow(all, "entry", "goodput as a part of the best", routingFile, "overload, admission: goodput / best goodput", "", 0,
			"refusals cost little; without limits it falls, see routing"),
		measuredRow(all, "entry", "time to a refusal, 95 in 100", routingFile, "overload, admission: refusal p95 ms", " ms", 0, "a request waits in the queue before it is refused"),
	}
}

// faultRows returns rows with the worst values of all injected faults.
func faultRows(all Measurements, size Size) []Row {
	inForce, with := worst(all[faultsFile], "in_force_s")
	errorsFor, after := worst(all[faultsFile], "errors_for_s")
	if with == "" {
		return nil
	}
	return []Row{
		{"every process", "the same in the worst fault", formatNumber(inForce) + " s", formatNumber(size.InForceSeconds) + " s", headroom(inForce, size.InForceSeconds), SingleRun,
			with + "; 6 hosts on one machine"},
		{"every process", "callers' errors after the worst fault", formatNumber(errorsFor) + " s", "-", "-", SingleRun, after + "; 6 hosts on one machine; runs of older commits count too"},
	}
}

// worst returns the largest value of a metric in any group, and the group.
func worst(series map[string]Series, metric string) (value float64, group string) {
	value = -1
	for _, name := range sortedKeys(series) {
		s := series[name]
		for _, p := range s.Points {
			if s.Metric == metric && p.Value > value {
				value, group = p.Value, s.Group
			}
		}
	}
	return value, group
}

func burstRows(all Measurements, size Size, budget Budget) []Row {
	const origin = "origin, v1: "
	rows := []Row{
		{"place delegate", "copies into a data centre, and from the origin", fmt.Sprintf("%d, about 1", size.Places), "about 4 copies of the origin's link", "-", Calculated,
			"one fetcher for each chunk and place"},
		measuredRow(all, "origin fetcher", "copies from the origin", burstsFile, origin+"origin_copies", "", 4, "each chunk has one fetcher of the origin in the fleet"),
		measuredRow(all, "place delegate", "copies over a link between places", burstsFile, origin+"between_places", "", 0, "one delegate a chunk and place; a second when the first is late"),
		measuredRow(all, "agent", "time to the last host, in copy times of the origin's link", burstsFile, origin+"time_ratio", "", 0, "at 200 hosts the one machine's processors were the limit"),
		measuredRow(all, "agent", "processor seconds of a burst", burstsFile, origin+"processor_seconds", " s", 0, "8 MB in 64 KB chunks: 128 digests, and announcements"),
		measuredRow(all, "agent", "memory at the end of a burst", burstsFile, origin+"memory_mb", " MB", budget.MiB*(1<<20)/1e6, "the version's own 8.4 MB included, which is not control"),
	}
	if p, known := largestPoint(all, burstsFile, origin+"control_bytes"); known {
		rate := p.Value / BurstSeconds
		rows = append(rows, Row{"agent", fmt.Sprintf("announcements' bytes a second of a burst of 128 chunks over %d s, at %s hosts", BurstSeconds, formatNumber(p.Size)),
			formatNumber(rate), formatNumber(budget.BytesPerSecond), headroom(rate, budget.BytesPerSecond), SingleRun,
			fmt.Sprintf("%s bytes a chunk and host, sent; they grow with the chunks: %s chunks fill the budget", formatNumber(p.Value/burstChunks), formatNumber(math.Floor(budget.BytesPerSecond*BurstSeconds/(p.Value/burstChunks))))})
	}
	return append(rows, Row{"origin fetcher", "hosts that a burst serves", fmt.Sprint(size.BurstHosts), "-", "-", Missing, "measured up to the hosts named above, on one machine"})
}

// burstChunks is the number of chunks of each version in the burst experiment.
const burstChunks = 128
