package capacity

import (
	"fmt"
	"math"

	"samphireweir.example/samphireweir/internal/core/claim"
)

const (
	// claimRecordBytes is what a sealed record takes in an owner's memory: BenchmarkRecordsInMemory of core/claim, one run.
	claimRecordBytes = 157
	// claimRetentionSeconds is how long a run under a UUIDv7 key is remembered by default.
	claimRetentionSeconds = 3600
	// farthest is how many times beyond the greatest measured size a line is taken for an estimate.
	farthest = 5
	ownerWay = "group commit by the partition's owner, each 100 ms, 400 writes a second at most: "
	rollout  = "after, 1 in 4 out of service: "
)

// last returns the median at the greatest size of a series, with the size.
func last(all Measurements, file, name string) (p Point, known bool) {
	s, known := all[file][name]
	if !known {
		return p, false
	}
	medians := s.Medians()
	return medians[len(medians)-1], true
}

// measuredRow gives a series' value at its greatest size; limit 0 is none.
func measuredRow(all Measurements, role, what, file, name, unit string, limit float64, mechanism string) Row {
	r := Row{Role: role, What: what, Value: "-", Budget: "-", Room: "-", Source: Missing, Mechanism: mechanism}
	p, known := last(all, file, name)
	if limit > 0 {
		r.Budget = number(limit) + unit
	}
	if !known {
		return r
	}
	r.Value, r.Source = number(p.Value)+unit, Measured
	if all[file][name].Runs() == 1 {
		r.Source = SingleRun
	}
	if limit > 0 {
		r.Room = room(p.Value, limit)
	}
	r.What += fmt.Sprintf(", at %s %s", number(p.Size), sizeNames[file])
	return r
}

// sizeNames says what the sizes of a file count.
var sizeNames = map[string]string{
	claimsFile: "claims a second", ordersFile: "engines", routingFile: "times the engines' rate", burstsFile: "hosts",
	settingsFile: "processes",
}

func claimRows(all Measurements, size Size, budget Budget) []Row {
	rows := []Row{
		{"claim owner", "claims a second that the platform's writes allow one by one", number(PlatformWrites), "-", "-", WorkedOut,
			fmt.Sprintf("%.2f%% of %s requests a second; owners group claims into one write", 100*PlatformWrites/size.RequestsPerSecond, number(size.RequestsPerSecond))},
		measuredRow(all, "claim owner", "platform's writes a second of all owners", claimsFile, ownerWay+"writes_per_s", "", PlatformWrites,
			"a write each 100 ms for each partition with claims, and the sealing of records"),
		measuredRow(all, "claim owner", "added latency, 99 in 100", claimsFile, ownerWay+"p99_ms", " ms", 0, "the wait for the next write; part of the first token's time for calls that must not run twice"),
		measuredRow(all, "claim owner", "refusal while the platform is down, 99 in 100", claimsFile, ownerWay+"outage_p99_ms", " ms", 0, "refused as not run"),
	}
	if p, known := last(all, claimsFile, ownerWay+"writes_per_s"); known {
		beyond := farthest * p.Size
		writes := all[claimsFile][ownerWay+"writes_per_s"].Fit().At(beyond)
		rows = append(rows, Row{"claim owner", fmt.Sprintf("the same writes at %s claims a second, as far as the line is taken", number(beyond)),
			number(writes), number(PlatformWrites), room(writes, PlatformWrites), Extended, "the letter does not say how many calls must not run twice"})
		memory := ownerMemory(p.Size)
		rows = append(rows, Row{"claim owner", fmt.Sprintf("memory of an hour's records, at %s claims a second", number(p.Size)),
			number(memory) + " MiB", number(budget.MiB) + " MiB", room(memory, budget.MiB), WorkedOut,
			fmt.Sprintf("%d bytes a record (benchmark, one run), %d partitions; the first budget that gives way: %s claims a second fill it", claimRecordBytes, claim.Partitions, number(ownerClaims(budget)))})
	}
	return rows
}

// ownerMemory is what one partition's records take at a rate of claims in the whole fleet, in MiB.
func ownerMemory(claims float64) float64 {
	return claims / claim.Partitions * claimRetentionSeconds * claimRecordBytes / (1 << 20)
}

// ownerClaims is the rate at which one partition's records alone fill a process's memory.
func ownerClaims(budget Budget) float64 { return budget.MiB / ownerMemory(1) }

func rolloutRows(all Measurements, size Size) []Row {
	engines := float64(size.BurstHosts) * float64(size.Engines) / float64(size.Nodes)
	var rows []Row
	for _, c := range []struct {
		metric string
		limit  float64
	}{{"writes", PlatformWrites}, {"reads", PlatformReads}} {
		s, known := all[ordersFile][rollout+c.metric]
		if !known {
			continue
		}
		l := s.Fit()
		rate := l.At(engines) / BurstSeconds
		rows = append(rows, Row{"agent", fmt.Sprintf("platform's %s a second while %s engines get a version", c.metric, number(engines)),
			number(rate), number(c.limit), room(rate, c.limit), Extended,
			fmt.Sprintf("slots in one table a service, conditional writes; a guess: %s times beyond the %s engines that were measured", number(engines/l.To), number(l.To))})
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

// faultRows gives the worst of all faults that were injected.
func faultRows(all Measurements, size Size) []Row {
	inForce, with := worst(all[faultsFile], "in_force_s")
	errorsFor, after := worst(all[faultsFile], "errors_for_s")
	if with == "" {
		return nil
	}
	return []Row{
		{"every process", "the same in the worst fault", number(inForce) + " s", number(size.InForceSeconds) + " s", room(inForce, size.InForceSeconds), SingleRun,
			with + "; 6 hosts on one machine"},
		{"every process", "callers' errors after the worst fault", number(errorsFor) + " s", "-", "-", SingleRun, after + "; 6 hosts on one machine; runs of older commits count too"},
	}
}

// worst finds the greatest value of a metric in any group.
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
		{"place delegate", "copies into a data centre, and from the origin", fmt.Sprintf("%d, about 1", size.Places), "about 4 copies of the origin's link", "-", WorkedOut,
			"one fetcher for each chunk and place"},
		measuredRow(all, "origin fetcher", "copies from the origin", burstsFile, origin+"origin_copies", "", 4, "each chunk has one fetcher of the origin in the fleet"),
		measuredRow(all, "place delegate", "copies over a link between places", burstsFile, origin+"between_places", "", 0, "one delegate a chunk and place; a second when the first is late"),
		measuredRow(all, "agent", "time to the last host, in copy times of the origin's link", burstsFile, origin+"time_ratio", "", 0, "at 200 hosts the one machine's processors were the limit"),
		measuredRow(all, "agent", "processor seconds of a burst", burstsFile, origin+"processor_seconds", " s", 0, "8 MB in 64 KB chunks: 128 digests, and announcements"),
		measuredRow(all, "agent", "memory at the end of a burst", burstsFile, origin+"memory_mb", " MB", budget.MiB*(1<<20)/1e6, "the version's own 8.4 MB included, which is not control"),
	}
	if p, known := last(all, burstsFile, origin+"control_bytes"); known {
		rate := p.Value / BurstSeconds
		rows = append(rows, Row{"agent", fmt.Sprintf("announcements' bytes a second of a burst of 128 chunks over %d s, at %s hosts", BurstSeconds, number(p.Size)),
			number(rate), number(budget.BytesPerSecond), room(rate, budget.BytesPerSecond), SingleRun,
			fmt.Sprintf("%s bytes a chunk and host, sent; they grow with the chunks: %s chunks fill the budget", number(p.Value/burstChunks), number(math.Floor(budget.BytesPerSecond*BurstSeconds/(p.Value/burstChunks))))})
	}
	return append(rows, Row{"origin fetcher", "hosts that a burst serves", fmt.Sprint(size.BurstHosts), "-", "-", Missing, "measured up to the hosts named above, on one machine"})
}

// burstChunks is how many chunks the versions of the bursts' experiment have.
const burstChunks = 128
