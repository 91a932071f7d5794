package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// Result counts the outcomes of the requests of a simulation.
type Result struct {
	Total, InTime, Late, Refused, Failed int
	// RefusedTwice counts the requests that were refused again after a retry.
	RefusedTwice int
	// Bound is how many requests a scheduler with knowledge of the future could answer in time.
	Bound int
	// WorstSecond is the lowest fraction of a second's requests that were answered in time, and WorstCentre the lowest of a data centre's.
	WorstSecond, WorstCentre float64
	// Kinds counts the requests by kind.
	Kinds map[string]KindResult
}

// KindResult counts the requests of one kind. Served is the number of those that were answered in time or late.
type KindResult struct{ Total, InTime, Served int }

// Simulate runs a load pattern with a policy.
func Simulate(setup Setup, pattern Pattern, policy forward.Policy, seed uint64) Result {
	setup.Policy = policy
	f := newFleet(setup, seed)
	pattern.Apply(f)
	f.simulation.run(warmUp + measuredTime)
	to := f.simulation.now
	for c := range f.rates {
		f.rates[c] = 0
	}
	f.simulation.run(to + 8*time.Second)
	return f.result(warmUp, to, pattern)
}

// counts counts a group of requests.
type counts struct{ total, inTime int }

func (p counts) share() float64 { return float64(p.inTime) / float64(max(1, p.total)) }

func (f *fleet) result(from, to time.Duration, pattern Pattern) Result {
	r := Result{Kinds: map[string]KindResult{}}
	seconds, centres := map[time.Duration]counts{}, map[int]counts{}
	for _, q := range f.requests {
		if q.startedAt < from || q.startedAt >= to {
			continue
		}
		r.Total++
		kind := r.Kinds[q.kind.Name]
		kind.Total++
		second, centre := seconds[q.startedAt/time.Second], centres[q.centre]
		second.total++
		centre.total++
		switch q.outcome {
		case inTime:
			r.InTime++
			kind.InTime++
			kind.Served++
			second.inTime++
			centre.inTime++
		case late:
			r.Late++
			kind.Served++
		case refusedOutcome:
			r.Refused++
		default:
			r.Failed++
		}
		if q.refusals > 1 {
			r.RefusedTwice++
		}
		r.Kinds[q.kind.Name] = kind
		seconds[q.startedAt/time.Second], centres[q.centre] = second, centre
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
