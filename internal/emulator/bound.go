package emulator

import (
	"slices"
	"time"
)

// cost returns the minimum engine time that a request takes. It assumes that the engine generates answers in all of its slots.
func (t EngineModel) cost(prompt, events int) time.Duration {
	read := time.Duration(float64(prompt) / t.ReadRate * float64(time.Second))
	pass := time.Duration(t.TokensPerEvent) * (t.PassTime + time.Duration(t.Slots)*t.PerSequence)
	return read + time.Duration(events)*pass/time.Duration(t.Slots)
}

// Capacity returns how many requests a second, of the configured kinds and sizes, all engines can process together.
func (s Setup) Capacity() float64 {
	var cost time.Duration
	for _, k := range s.Kinds {
		cost += time.Duration(k.Share * float64(s.EngineModel.cost(k.Prompt, k.Events)))
	}
	return float64(s.Centres*s.Engines) / cost.Seconds()
}

const (
	// boundWindow is the period in which the bound chooses among the requests that arrive.
	boundWindow = 500 * time.Millisecond
	// boundBacklog is how much work of later windows may be started by an answer that is in time: the longest objective plus the duration of an
	// answer.
	boundBacklog = 1500 * time.Millisecond
)

// bound returns an upper bound on the requests that can be answered in time by a scheduler that knows all of them in advance: it serves the shortest
// first, as far as the engines' time allows. engines returns how many engines can work at a time. A real policy can't reach it, since it has slots,
// pauses and network latency.
func (f *fleet) bound(from, to time.Duration, engines func(time.Duration) float64) int {
	served, backlog := 0, time.Duration(0)
	byWindow := map[time.Duration][]time.Duration{}
	for _, r := range f.requests {
		if r.startedAt >= from && r.startedAt < to {
			w := r.startedAt / boundWindow
			byWindow[w] = append(byWindow[w], f.setup.EngineModel.cost(r.prompt, r.events))
		}
	}
	for w := from / boundWindow; w < to/boundWindow; w++ {
		costs := byWindow[w]
		slices.Sort(costs)
		n := engines(w * boundWindow)
		maxBacklog := time.Duration(n * float64(boundBacklog+boundWindow))
		for _, cost := range costs {
			if backlog+cost > maxBacklog {
				break
			}
			backlog += cost
			served++
		}
		backlog = max(0, backlog-time.Duration(n*float64(boundWindow)))
	}
	return served
}
