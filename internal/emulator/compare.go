package emulator

import (
	"math"
	"runtime"
	"sync"
)

// Row holds the results of one policy variant on one load pattern, averaged over the seeds.
type Row struct {
	Pattern, Variant string
	Seeds            int
	// InTime, Late, Refused, Twice and Failed are fractions of the requests. Bound is the fraction that a scheduler with knowledge of the future
	// could answer in time.
	InTime, Late, Refused, Twice, Failed, Bound float64
	// StdDev is the standard deviation of InTime over the seeds.
	StdDev float64
	// WorstSecond and WorstCentre are the fractions answered in time in the worst second and in the worst data centre, averaged over the seeds.
	WorstSecond, WorstCentre float64
}

// Compare simulates each variant on each pattern with the same seeds, with up to jobs simulations at once (0 for one per processor). It calls onRun
// after each simulation.
func Compare(setup Setup, patterns []Pattern, variants []Variant, seeds, jobs int, onRun func()) []Row {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	results := make([][]Result, len(patterns)*len(variants))
	for i := range results {
		results[i] = make([]Result, seeds)
	}
	gate := make(chan struct{}, jobs)
	var done sync.WaitGroup
	for i := range results {
		for seed := range seeds {
			gate <- struct{}{}
			done.Go(func() {
				defer func() { <-gate }()
				results[i][seed] = Simulate(setup, patterns[i/len(variants)], variants[i%len(variants)].Policy, uint64(seed+1))
				onRun()
			})
		}
	}
	done.Wait()
	var rows []Row
	for i, r := range results {
		rows = append(rows, rowOf(patterns[i/len(variants)].Name, variants[i%len(variants)].Name, r))
	}
	return rows
}

func rowOf(pattern, variant string, results []Result) Row {
	row := Row{Pattern: pattern, Variant: variant, Seeds: len(results)}
	n := float64(len(results))
	squares := 0.0
	for _, r := range results {
		total := float64(max(1, r.Total))
		row.InTime += float64(r.InTime) / total / n
		row.Late += float64(r.Late) / total / n
		row.Refused += float64(r.Refused) / total / n
		row.Twice += float64(r.RefusedTwice) / total / n
		row.Failed += float64(r.Failed) / total / n
		row.Bound += float64(r.Bound) / total / n
		row.WorstSecond += r.WorstSecond / n
		row.WorstCentre += r.WorstCentre / n
	}
	for _, r := range results {
		d := float64(r.InTime)/float64(max(1, r.Total)) - row.InTime
		squares += d * d
	}
	row.StdDev = math.Sqrt(squares / max(1, n-1))
	return row
}
