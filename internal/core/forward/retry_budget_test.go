package forward_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// The retry budget in these tests, and the step of the simulation.
const (
	budgetRatio  = 0.2
	budgetBase   = 100
	budgetWindow = 10 * time.Second
	budgetStep   = 50 * time.Millisecond
	// droppedAfter is how long after an entry's last heartbeat agents stop to count it.
	droppedAfter = 3500 * time.Millisecond
	// settledAfter is how long before the simulation's begin the first entries started.
	settledAfter = 20 * time.Second
)

// budgetFleet simulates entries whose attempts all fail, so that each of them retries as often as its budget allows.
type budgetFleet struct {
	t       *testing.T
	random  *rand.Rand
	entries []*budgetEntry
	now     time.Duration
	nextID  uint64
	// requests and retries are the times at which requests arrived at entries and retries reached upstreams.
	requests, retries []time.Duration
	// unreported is set while agents tell the entries nothing.
	unreported bool
}

type budgetEntry struct {
	rig *rig
	// cutUntil is the end of the time in which no agent hears the entry, frozenUntil that in which it does nothing, and downUntil that
	// in which it does not run.
	cutUntil, frozenUntil, downUntil time.Duration
	heardAt                          time.Duration
}

// newBudgetFleet returns a fleet whose entries have run for a while.
func newBudgetFleet(t *testing.T, seed uint64, entries int) *budgetFleet {
	f := &budgetFleet{t: t, random: rand.New(rand.NewPCG(seed, 2)), now: -settledAfter}
	for range entries {
		f.entries = append(f.entries, &budgetEntry{rig: newBudgetRig(f.now)})
	}
	f.play(settledAfter, 0)
	return f
}

// newBudgetRig returns an entry that starts at a time.
func newBudgetRig(now time.Duration) *rig {
	r := newStartingRig("")
	r.now = now
	r.add("m1", "model", "perth-a", 100)
	for i := range 200 {
		r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 100)
	}
	r.step(step.Tick{})
	return r
}

// restart replaces an entry by a new process, which knows nothing of the one before.
func (f *budgetFleet) restart(i int, down time.Duration) {
	e := f.entries[i]
	if e.downUntil > f.now {
		return
	}
	e.rig, e.downUntil = nil, f.now+down
}

// play has perSecond requests per second arrive at each entry for the duration d.
func (f *budgetFleet) play(d time.Duration, perSecond float64) {
	for end := f.now + d; f.now < end; f.now += budgetStep {
		counted := f.counted()
		for _, e := range f.entries {
			if e.downUntil > f.now || e.frozenUntil > f.now {
				continue
			}
			if e.rig == nil {
				e.rig = newBudgetRig(f.now)
			}
			e.rig.now = f.now
			if e.cutUntil <= f.now {
				e.heardAt = f.now
				if !f.unreported {
					e.rig.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: max(1, counted), NearEntries: max(1, counted)})
				}
			}
			f.serve(e, perSecond)
		}
	}
}

// counted returns how many entries agents count.
func (f *budgetFleet) counted() int {
	n := 0
	for _, e := range f.entries {
		if f.now-e.heardAt <= droppedAfter {
			n++
		}
	}
	return n
}

// serve has requests arrive at an entry, and each of their attempts fail.
func (f *budgetFleet) serve(e *budgetEntry, perSecond float64) {
	n := int(perSecond*budgetStep.Seconds() + f.random.Float64())
	for range n {
		f.nextID++
		f.requests = append(f.requests, f.now)
		effects := e.rig.arrive(f.nextID, idempotentCall)
		for len(sentIDs(effects)) > 0 {
			effects = e.rig.step(forward.AttemptEnded{ID: f.nextID, Attempt: only[forward.Send](f.t, effects).Attempt, Outcome: forward.Declined})
			for range sentIDs(effects) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// worst returns the largest number of retries in a window beyond the allowed number. The requests are counted in that window, the one
// before it or the one half a window before it, whichever has most.
func (f *budgetFleet) worst() (excess float64) {
	for i, from := range f.retries {
		retries := 0
		for _, at := range f.retries[i:] {
			if at-from >= budgetWindow {
				break
			}
			retries++
		}
		requests := max(f.requestsIn(from), f.requestsIn(from-budgetWindow/2), f.requestsIn(from-budgetWindow))
		excess = max(excess, float64(retries)-budgetRatio*float64(requests)-budgetBase)
	}
	return excess
}

func (f *budgetFleet) requestsIn(from time.Duration) int {
	n := 0
	for _, at := range f.requests {
		if at >= from && at < from+budgetWindow {
			n++
		}
	}
	return n
}

// TestRestartsDoNotEnlargeTheRetryBudget guards against restarted entries that send retries as if their predecessors had sent none, so
// that a service gets more of them than the fleet's budget allows.
func TestRestartsDoNotEnlargeTheRetryBudget(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1, 3, 14} {
		for _, perSecond := range []float64{0.5, 5, 30} {
			for _, spacing := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 9 * time.Second, 11 * time.Second} {
				f := newBudgetFleet(t, 1, entries)
				f.play(time.Second, perSecond)
				for f.now < 24*time.Second {
					for i := range f.entries {
						f.restart(i, 200*time.Millisecond)
					}
					f.play(spacing, perSecond)
				}
				assert.NotEmpty(t, f.retries)
				assert.Zero(t, f.worst(), "%d entries, %v requests a second each, every %v", entries, perSecond, spacing)
			}
		}
	}
}

// TestEntriesThatAgentsDoNotCountStayWithinTheRetryBudget guards against retries beyond the fleet's budget while agents count too few
// entries: some are cut off or frozen and go on, restart one after the other, or the agents tell them nothing for a while.
func TestEntriesThatAgentsDoNotCountStayWithinTheRetryBudget(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{2, 3, 14} {
		for seed := range uint64(20) {
			f := newBudgetFleet(t, seed, entries)
			perSecond := []float64{1, 10}[seed%2]
			for f.now < 40*time.Second {
				f.disturb()
				f.play(time.Duration(f.random.IntN(2500))*time.Millisecond, perSecond)
			}
			assert.NotEmpty(t, f.retries)
			assert.Zero(t, f.worst(), "%d entries, seed %d", entries, seed)
		}
	}
}

// disturb cuts off, freezes or restarts an entry, or has the agents fall silent or go on.
func (f *budgetFleet) disturb() {
	i := f.random.IntN(len(f.entries))
	until := f.now + time.Duration(1+f.random.IntN(20))*time.Second
	switch f.random.IntN(4) {
	case 0:
		f.entries[i].cutUntil = until
	case 1:
		f.entries[i].frozenUntil = until
	case 2:
		f.restart(i, time.Duration(f.random.IntN(3000))*time.Millisecond)
	case 3:
		f.unreported = !f.unreported
	}
}
