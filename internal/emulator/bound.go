package emulator

import (
	"slices"
	"time"
)

// work is the least time of an engine that a request takes, when the engine always writes at all its places.
func (t EngineTerms) work(prompt, events int) time.Duration {
	read := time.Duration(float64(prompt) / t.ReadRate * float64(time.Second))
	pass := time.Duration(t.Stride) * (t.Step + time.Duration(t.Slots)*t.PerSequence)
	return read + time.Duration(events)*pass/time.Duration(t.Slots)
}

// Capacity is how many requests a second of the usual kinds and sizes the engines can do together.
func (s Setup) Capacity() float64 {
	var work time.Duration
	for _, k := range s.Kinds {
		work += time.Duration(k.Share * float64(s.Terms.work(k.Prompt, k.Events)))
	}
	return float64(s.Centres*s.Engines) / work.Seconds()
}

const (
	// boundWindow is the time in which one who knows the future chooses among the requests that come.
	boundWindow = 500 * time.Millisecond
	// boundBacklog is how much work of later may be begun by an answer that is in time: the longest objective, and the time of an answer.
	boundBacklog = 1500 * time.Millisecond
)

// bound is how many of the requests one who knows them all beforehand could answer in time at most: the shortest first, as far as the engines'
// time reaches. engines tells how many could work at a moment. Nobody who must keep places, pauses and ways reaches it.
func (f *fleet) bound(from, to time.Duration, engines func(time.Duration) float64) int {
	served, backlog := 0, time.Duration(0)
	byWindow := map[time.Duration][]time.Duration{}
	for _, r := range f.requests {
		if r.first >= from && r.first < to {
			w := r.first / boundWindow
			byWindow[w] = append(byWindow[w], f.setup.Terms.work(r.prompt, r.events))
		}
	}
	for w := from / boundWindow; w < to/boundWindow; w++ {
		works := byWindow[w]
		slices.Sort(works)
		n := engines(w * boundWindow)
		most := time.Duration(n * float64(boundBacklog+boundWindow))
		for _, work := range works {
			if backlog+work > most {
				break
			}
			backlog += work
			served++
		}
		backlog = max(0, backlog-time.Duration(n*float64(boundWindow)))
	}
	return served
}
