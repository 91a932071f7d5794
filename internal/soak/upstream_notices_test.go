package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// noticeHosts is the number of hosts of each kind in this run. noticeSeconds is the duration of the run in CI, in seconds; it has to be
	// long enough for limits, which entries must keep from 3 s after the upstream first sent them.
	noticeHosts   = 3
	noticeSeconds = 15
)

// noticeSeeds run in CI: two first seeds, and each seed that ever failed, with the cause of the failure.
//
// 700024: an engine that had requested a backoff crashed and restarted under the same id. The check counted the requests that reached
// the new instance.
var noticeSeeds = []uint64{1, 2, 700024}

// TestSoakUpstreamNotices guards against entries that ignore what upstreams report in response headers (a rate limit, draining, a
// requested backoff) or a revoked key while faults occur elsewhere and the store is restored from copies. The faults spare all entries but the last and their connections to upstreams, so that
// no fault excuses a violation.
func TestSoakUpstreamNotices(t *testing.T) {
	seconds, hosts := intFromEnv(t, secondsVariable, noticeSeconds), intFromEnv(t, hostsVariable, noticeHosts)
	for _, seed := range seedsToRun(t, noticeSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, hosts)
			stop := make(chan struct{})
			var done, injectors sync.WaitGroup
			s.callers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			sparing := s.newInjector(seed, seed, 0, 0)
			injectors.Go(func() {
				for time.Now().Before(end) {
					sparing.injectFaultSparingEntries()
				}
			})
			injectors.Go(func() { s.newInjector(seed, seed, 0, 0).restoreAndRevokeUntil(end) })
			announcers := max(2, len(s.upstreams)/4)
			for i := range announcers {
				injectors.Go(func() { s.newInjector(seed, seed+1+uint64(i), 0, 0).announceUntil(end, i, announcers) })
			}
			injectors.Wait()
			close(stop)
			done.Wait()
			s.verify()
			s.checkRevocations()
		})
	}
}
