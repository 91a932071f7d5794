package experiment

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
)

// Summary summarizes results.
type Summary struct {
	Requests int
	Complete int
	Refused  int
	Late     int
	Cut      int
	// Goodput is the number of complete answers a second, counting those that ended during the load.
	Goodput float64
	// FirstByteP50 and FirstByteP95 are quantiles of the time to the first byte of complete answers.
	FirstByteP50 time.Duration
	FirstByteP95 time.Duration
	// RefusalP95 is the 95th percentile of the time that a refusal took.
	RefusalP95 time.Duration
	// Codes counts the refusals by result code.
	Codes map[code.Code]int
}

// Summarize summarizes the results that filter accepts and whose requests arrived after the warm-up.
func Summarize(results []Result, warmUp, duration time.Duration, filter func(Result) bool) Summary {
	s := Summary{Codes: map[code.Code]int{}}
	var firstBytes, refusals []time.Duration
	inTime := 0
	for _, r := range results {
		if r.At < warmUp || !filter(r) {
			continue
		}
		s.Requests++
		if r.Code != 0 {
			s.Codes[r.Code]++
		}
		switch {
		case r.Complete:
			s.Complete++
			if r.At+r.Total <= duration {
				inTime++
			}
			firstBytes = append(firstBytes, r.FirstByte)
		case r.Cut:
			s.Cut++
		case r.Code == code.Overloaded || r.Code == code.ClientOverShare:
			s.Refused++
			refusals = append(refusals, r.Total)
		default:
			s.Late++
		}
	}
	s.Goodput = float64(inTime) / (duration - warmUp).Seconds()
	s.FirstByteP50, s.FirstByteP95 = Quantile(firstBytes, 0.5), Quantile(firstBytes, 0.95)
	s.RefusalP95 = Quantile(refusals, 0.95)
	return s
}

// All accepts every result.
func All(Result) bool { return true }

// Of accepts the results of one client account.
func Of(client string) func(Result) bool {
	return func(r Result) bool { return r.Client == client }
}

// Quantile returns the q-quantile of times, or 0 if there are none. It sorts times.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(q*float64(len(times)-1))]
}

func (s Summary) sortedCodes() []code.Code {
	codes := make([]code.Code, 0, len(s.Codes))
	for c := range s.Codes {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
