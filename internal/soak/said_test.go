package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// saidHosts and saidSeconds are how many hosts of each kind the run has in which upstreams say something of themselves, and how long it
	// lasts in CI: a limit binds three seconds after it was named.
	saidHosts   = 3
	saidSeconds = 15
)

// saidSeeds are played each time: two first ones, and each that ever failed, with a line on the cause.
//
// 700024: an engine that had asked for rest was brought down and started again under its id; the check counted what its next life got.
var saidSeeds = []uint64{1, 2, 700024}

// TestSoakWhatUpstreamsSay guards against entries that don't heed what upstreams say of themselves in the middle of faults elsewhere: all but the
// last entry run on, as do their ways to upstreams, so that the users' rules bind them.
func TestSoakWhatUpstreamsSay(t *testing.T) {
	seconds, hosts := numberFrom(t, secondsVariable, saidSeconds), numberFrom(t, hostsVariable, saidHosts)
	for _, seed := range seedsOf(t, saidSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, hosts)
			stop := make(chan struct{})
			var done, strikers sync.WaitGroup
			s.callers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			around := s.striker(seed, seed, 0, 0)
			strikers.Go(func() {
				for time.Now().Before(end) {
					around.strikeAround()
				}
			})
			sayers := max(2, len(s.upstreams)/4)
			for i := range sayers {
				strikers.Go(func() { s.striker(seed, seed+1+uint64(i), 0, 0).sayUntil(end, i, sayers) })
			}
			strikers.Wait()
			close(stop)
			done.Wait()
			s.settle()
		})
	}
}
