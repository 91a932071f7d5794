package emulator

import (
	"math"
	"runtime"
	"sync"
)

// Row is what a way of deciding comes to on a pattern, over some seeds.
type Row struct {
	Pattern, Way string
	Seeds        int
	// InTime, Late, Refused, Twice and Failed are parts of the requests, Bound is what one who knows the future could have answered in time.
	InTime, Late, Refused, Twice, Failed, Bound float64
	// Spread is the standard deviation of InTime over the seeds.
	Spread float64
	// WorstSecond and WorstCentre are the means of the worst second's and the worst data centre's part in time.
	WorstSecond, WorstCentre float64
}

// Compare plays each way on each pattern with the same seeds, on some processors at once, and tells of each play that ended.
func Compare(setup Setup, patterns []Pattern, ways []Way, seeds, jobs int, played func()) []Row {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	results := make([][]Result, len(patterns)*len(ways))
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
				results[i][seed] = Play(setup, patterns[i/len(ways)], ways[i%len(ways)].Policy, uint64(seed+1))
				played()
			})
		}
	}
	done.Wait()
	var rows []Row
	for i, r := range results {
		rows = append(rows, rowOf(patterns[i/len(ways)].Name, ways[i%len(ways)].Name, r))
	}
	return rows
}

func rowOf(pattern, way string, results []Result) Row {
	row := Row{Pattern: pattern, Way: way, Seeds: len(results)}
	n := float64(len(results))
	squares := 0.0
	for _, r := range results {
		asked := float64(max(1, r.Asked))
		row.InTime += float64(r.InTime) / asked / n
		row.Late += float64(r.Late) / asked / n
		row.Refused += float64(r.Refused) / asked / n
		row.Twice += float64(r.RefusedTwice) / asked / n
		row.Failed += float64(r.Failed) / asked / n
		row.Bound += float64(r.Bound) / asked / n
		row.WorstSecond += r.WorstSecond / n
		row.WorstCentre += r.WorstCentre / n
	}
	for _, r := range results {
		d := float64(r.InTime)/float64(max(1, r.Asked)) - row.InTime
		squares += d * d
	}
	row.Spread = math.Sqrt(squares / max(1, n-1))
	return row
}
