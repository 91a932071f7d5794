package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// restartSeconds is the duration of the run of a seed in CI, in seconds. It is longer than the window of the retry budget.
	restartSeconds = 14
	// restartEntries is the number of entries.
	restartEntries = 3
	// budgetCallers is the number of callers of each entry, and budgetPause their pause between two requests.
	budgetCallers = 2
	budgetPause   = 60 * time.Millisecond
	// budgetBase is the base of the retry budget, which allows no retries in addition for the requests.
	budgetBase = 60
	// budgetSlots is the number of requests that an upstream processes at the same time.
	budgetSlots = 20
)

// budgetSoak is a soak that records what the retry budget is checked against.
type budgetSoak struct {
	*soak
	mu  sync.Mutex
	ids []string
	// sent are the times at which callers sent requests.
	sent []time.Time
}

// call sends requests to an entry until stop is closed.
func (s *budgetSoak) call(c *standin.Caller, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(budgetPause):
		}
		at := time.Now()
		r := c.Post("/again/1")
		s.mu.Lock()
		s.ids, s.sent = append(s.ids, r.ID), append(s.sent, at)
		s.mu.Unlock()
	}
}

// failHalf has half of the requests fail at their upstream, in ways after which they may be sent again. So few fail in a row that upstreams
// stay in use.
func (s *budgetSoak) failHalf(random *rand.Rand) {
	faults := []standin.Fault{standin.Decline, standin.Misdirect, standin.Fail, standin.DropResponse}
	var next []standin.Fault
	for range 400 {
		next = append(next, faults[random.IntN(len(faults))], standin.Healthy)
	}
	s.fleet.Faults.Next(next...)
}

// restartUntil restarts entries until a time: all at once or one after the other, killed or shut down, at intervals of up to two seconds.
func (s *budgetSoak) restartUntil(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		s.failHalf(random)
		signal := syscall.SIGKILL
		if random.IntN(3) == 0 {
			signal = syscall.SIGTERM
		}
		first := random.IntN(len(s.entries) + 1)
		var restarts sync.WaitGroup
		for i, p := range s.entries {
			if first == len(s.entries) || i == first {
				restarts.Go(func() { p.terminateAndRestart(signal) })
			}
		}
		restarts.Wait()
		time.Sleep(time.Duration(300+random.IntN(1700)) * time.Millisecond)
	}
}

// retries returns the times at which upstreams received requests that had been received before, the earliest first.
func (s *budgetSoak) retries() []time.Time {
	var retries []time.Time
	for _, id := range s.ids {
		var received []time.Time
		for _, u := range s.upstreams {
			received = append(received, u.Received(id)...)
		}
		slices.SortFunc(received, time.Time.Compare)
		if len(received) > 1 {
			retries = append(retries, received[1:]...)
		}
	}
	slices.SortFunc(retries, time.Time.Compare)
	return retries
}

// countWithin returns how many of the sorted times lie within the window that begins at a time.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}

// verifyRetries checks that no window has more retries than the budget allows for the requests in it, in the window before it or in the one
// half a window before it, whichever has most.
func (s *budgetSoak) verifyRetries() {
	budget, retries := s.hosts[0].Retries, s.retries()
	slices.SortFunc(s.sent, time.Time.Compare)
	highest := 0
	for _, from := range retries {
		n, requests := countWithin(retries, from, budget.Window), 0
		for _, before := range []time.Duration{0, budget.Window / 2, budget.Window} {
			requests = max(requests, countWithin(s.sent, from.Add(-before), budget.Window))
		}
		require.LessOrEqual(s.t, float64(n), budget.Ratio*float64(requests)+budget.Base, "%d requests", requests)
		highest = max(highest, n)
	}
	s.t.Logf("%d requests, %d retries, at most %d in a window", len(s.sent), len(retries), highest)
	require.NotEmpty(s.t, retries)
}

// TestSoakRetryBudget guards against more retries at the upstreams of a service than the fleet's budget allows, while half of the requests fail and
// entries are restarted again and again.
func TestSoakRetryBudget(t *testing.T) {
	seconds := intFromEnv(t, secondsVariable, restartSeconds)
	for _, seed := range seedsToRun(t, []uint64{1}) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			fleet := standin.NewFleet(t)
			fleet.Slots = budgetSlots
			fleet.Retries.Ratio, fleet.Retries.Base = 0, budgetBase
			s := &budgetSoak{soak: startSoak(t, restartEntries, &soak{t: t, fleet: fleet, version: 1})}
			random := rand.New(rand.NewPCG(seed, 1))
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for i, host := range s.hosts {
				for k := range budgetCallers {
					c := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-%d-%d", t.Name(), i, k), KeepAlive: k%2 == 0}
					callers.Go(func() { s.call(c, stop) })
				}
			}
			s.restartUntil(time.Now().Add(time.Duration(seconds)*time.Second), random)
			close(stop)
			callers.Wait()
			s.verifyRetries()
		})
	}
}
