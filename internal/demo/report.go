package demo

import (
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/demo/count"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/report"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	p90 = 0.90
	p95 = 0.95
)

// report computes the report from the logs and the ledger.
func (r *run) report(engines []standinclient.EngineLine, plain []standinclient.PlainLine) report.Report {
	records := r.book.Records()
	tally := r.book.Tally()
	result := report.Report{
		Hosts:          len(r.hosts),
		Live:           len(r.fleet.live()),
		Spread:         r.spreadFigures(r.spreads[0], engines, records),
		Requests:       tally.Sent,
		Complete:       tally.Complete,
		Refused:        tally.Refused,
		RefusedLookups: count.Outcomes(records, ledger.Lookup, ledger.Refused),
		RefusedByCode:  refusedByCode(records),
		Generations:    count.Outcomes(records, ledger.Generation, ledger.Complete),
		Resends:        count.Resends(records),
		Skipped:        r.generator.Skipped(),
		Lost:           tally.Lost,
		Doubled:        len(count.DuplicateKeys(plain)),
		FalseNotRun:    len(count.FalseNotRun(records, plain, engines)),
		Mixed:          tally.Incorrect + count.RunsAcrossVersions(engines) + count.LoadsWithWrongContent(engines, r.contents()),
		Exited:         r.exited,
		Killed:         r.killed,
		Policy:         r.options.Policy,
		Seed:           r.options.Seed,
		SizeBytes:      int64(r.options.Size),
		LinkRate:       r.options.LinkRate(),
	}
	if len(r.spreads) > 1 {
		second := r.spreadFigures(r.spreads[1], engines, records)
		result.Second = &second
	}
	return result
}

func (r *run) spreadFigures(result *spreadResult, engines []standinclient.EngineLine, records []ledger.Record) report.Spread {
	before := count.Percentile(count.LookupTimes(records, r.baselineStart, r.baselineEnd), p95)
	during := count.Percentile(count.LookupTimes(records, result.startedAt, result.endedAt), p95)
	figures := report.Spread{
		Version:      result.version,
		Serving:      result.serving,
		OriginCopies: float64(result.bytes) / float64(result.manifest.Size),
		SlowP95Ratio: count.Ratio(during, before),
		P95BeforeMS:  milliseconds(before),
		P95DuringMS:  milliseconds(during),
	}
	if live := len(r.fleet.live()); live > 0 {
		figures.ProcessorSeconds = result.cpuSeconds / float64(live)
	}
	figures.MemoryMB = result.memoryMB
	figures.Transfers, _ = r.transfers(result.manifest.Digest, result.manifest.Size) // an unreadable log leaves the figures incomplete
	times := r.liveServeTimes(result, engines)
	if result.serving == len(r.fleet.live()) && len(times) == result.serving {
		all := count.Ratio(count.Percentile(times, 1), r.options.copyTime())
		p90Ratio := count.Ratio(count.Percentile(times, p90), r.options.copyTime())
		figures.TimeRatio = &all
		figures.P90Ratio = &p90Ratio
	}
	return figures
}

// liveServeTimes returns, for the live hosts whose engines loaded the version, the time from the acceptance of the
// setting to the end of the load.
func (r *run) liveServeTimes(result *spreadResult, engines []standinclient.EngineLine) []time.Duration {
	byEngine := count.ServeTimes(engines, result.manifest.Digest, result.acceptedAt)
	var times []time.Duration
	for _, host := range r.fleet.live() {
		if took, served := byEngine[host.Engine]; served {
			times = append(times, took)
		}
	}
	return times
}

// contents returns the SHA-256 of each version's content, keyed by the version's digest.
func (r *run) contents() map[string]string {
	contents := map[string]string{}
	for _, manifest := range r.manifests {
		contents[manifest.Digest] = manifest.SHA256
	}
	return contents
}

// refusedByCode counts the refused requests by code and by what the refusal said about execution.
func refusedByCode(records []ledger.Record) map[string]int {
	codes := map[string]int{}
	for _, record := range records {
		if record.Outcome == ledger.Refused {
			codes[strconv.Itoa(record.Code)+" "+record.Ran]++
		}
	}
	return codes
}

func milliseconds(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}
