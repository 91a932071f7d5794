// Package count computes the figures of a run from the stand-ins' logs and the callers' ledger. Its functions are pure.
package count

import (
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

// Percentile returns the smallest value that at least the given share (0 to 1) of the values does not exceed (nearest
// rank). It returns 0 for no values.
func Percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// RunsByKey counts the runs of each idempotency key in the plain services' log.
func RunsByKey(lines []standinclient.PlainLine) map[string]int {
	runs := map[string]int{}
	for _, line := range lines {
		if line.IdempotencyKey != "" {
			runs[line.IdempotencyKey]++
		}
	}
	return runs
}

// DuplicateKeys returns the idempotency keys that ran more than once, sorted.
func DuplicateKeys(lines []standinclient.PlainLine) []string {
	var keys []string
	for key, runs := range RunsByKey(lines) {
		if runs > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// FalseNotRun returns the refusals that said "not run" although a stand-in's log shows the run. A run is recognised by
// its request id. It is also recognised by its idempotency key, if the key ran more often than the other requests with
// that key can explain.
func FalseNotRun(records []ledger.Record, plain []standinclient.PlainLine, engines []standinclient.EngineLine) []ledger.Record {
	ran := runIDs(plain, engines)
	unexplained := keysWithUnexplainedRuns(records, plain)
	var wrong []ledger.Record
	for _, record := range records {
		if !refusedAsNotRun(record) {
			continue
		}
		if ran[record.RequestID] || unexplained[record.Key] {
			wrong = append(wrong, record)
		}
	}
	return wrong
}

func refusedAsNotRun(record ledger.Record) bool {
	return record.Outcome == ledger.Refused && record.Ran == ledger.NotRun
}

// runIDs returns the request ids of all runs in the logs.
func runIDs(plain []standinclient.PlainLine, engines []standinclient.EngineLine) map[string]bool {
	ids := map[string]bool{}
	for _, line := range plain {
		ids[line.RequestID] = true
	}
	for _, line := range engines {
		if line.IsRun() {
			ids[line.RequestID] = true
		}
	}
	delete(ids, "")
	return ids
}

// keysWithUnexplainedRuns returns the keys that ran more often than requests with that key may have run.
func keysWithUnexplainedRuns(records []ledger.Record, plain []standinclient.PlainLine) map[string]bool {
	unexplained := RunsByKey(plain)
	for _, record := range records {
		if record.Key != "" && !refusedAsNotRun(record) {
			unexplained[record.Key]--
		}
	}
	keys := map[string]bool{}
	for key, runs := range unexplained {
		if runs > 0 {
			keys[key] = true
		}
	}
	return keys
}

// WithOutcome returns the records with the given outcome.
func WithOutcome(records []ledger.Record, outcome ledger.Outcome) []ledger.Record {
	var chosen []ledger.Record
	for _, record := range records {
		if record.Outcome == outcome {
			chosen = append(chosen, record)
		}
	}
	return chosen
}

// Outcomes counts the records of the given kind and outcome.
func Outcomes(records []ledger.Record, kind ledger.Kind, outcome ledger.Outcome) int {
	count := 0
	for _, record := range records {
		if record.Kind == kind && record.Outcome == outcome {
			count++
		}
	}
	return count
}

// LookupTimes returns the durations of the complete lookups that started in the period [from, to).
func LookupTimes(records []ledger.Record, from, to time.Time) []time.Duration {
	var times []time.Duration
	for _, record := range records {
		if record.Kind != ledger.Lookup || record.Outcome != ledger.Complete {
			continue
		}
		if record.Start.Before(from) || !record.Start.Before(to) {
			continue
		}
		times = append(times, record.Took)
	}
	return times
}

// Resends counts, for all idempotency keys together, the requests after the first one with the same key.
func Resends(records []ledger.Record) int {
	sent := map[string]bool{}
	resends := 0
	for _, record := range records {
		if record.Key == "" {
			continue
		}
		if sent[record.Key] {
			resends++
		}
		sent[record.Key] = true
	}
	return resends
}
