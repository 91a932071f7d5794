package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// Result is what became of the callers of a play.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	// RefusedTwice counts those that came back after a refusal and were refused again.
	RefusedTwice int
	// Bound is how many one who knows the future could have answered in time at most.
	Bound int
	// WorstSecond is the least part of a second's callers that were answered in time, and WorstCentre that of a data centre's.
	WorstSecond, WorstCentre float64
}

// Play plays a pattern with a policy.
func Play(setup Setup, pattern Pattern, policy forward.Policy, seed uint64) Result {
	setup.Policy = policy
	f := newFleet(setup, seed)
	pattern.Play(f)
	f.world.run(warmUp + playTime)
	to := f.world.now
	for c := range f.rates {
		f.rates[c] = 0
	}
	f.world.run(to + 8*time.Second)
	return f.result(warmUp, to, pattern)
}

// part counts some callers.
type part struct{ asked, inTime int }

func (p part) share() float64 { return float64(p.inTime) / float64(max(1, p.asked)) }

func (f *fleet) result(from, to time.Duration, pattern Pattern) Result {
	var r Result
	seconds, centres := map[time.Duration]part{}, map[int]part{}
	for _, q := range f.requests {
		if q.first < from || q.first >= to {
			continue
		}
		r.Asked++
		second, centre := seconds[q.first/time.Second], centres[q.centre]
		second.asked++
		centre.asked++
		switch q.outcome {
		case inTime:
			r.InTime++
			second.inTime++
			centre.inTime++
		case late:
			r.Late++
		case refusedOutcome:
			r.Refused++
		default:
			r.Failed++
		}
		if q.refusals > 1 {
			r.RefusedTwice++
		}
		seconds[q.first/time.Second], centres[q.centre] = second, centre
	}
	r.WorstSecond, r.WorstCentre = 1, 1
	for _, p := range seconds {
		r.WorstSecond = min(r.WorstSecond, p.share())
	}
	for _, p := range centres {
		r.WorstCentre = min(r.WorstCentre, p.share())
	}
	all := float64(f.setup.Centres * f.setup.Engines)
	r.Bound = f.bound(from, to, func(at time.Duration) float64 {
		if pattern.Engines == nil {
			return all
		}
		return all * pattern.Engines(at)
	})
	return r
}
