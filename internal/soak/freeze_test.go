package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestFrozenEntryPassesOnWhatArrivedMeanwhile guards against an entry that charges its own freeze to an upstream: it gives up an answer that
// arrived while the entry did not run, avoids the engine, and has the request run a second time or refuses it.
func TestFrozenEntryPassesOnWhatArrivedMeanwhile(t *testing.T) {
	// firstEventTimeout is longer than an entry waits for the first event of a stream.
	const firstEventTimeout = 2 * time.Second
	s := newSoak(t, 1)
	c := &standin.Caller{Address: s.hosts[0].CallersListen, Name: t.Name()}
	q := standin.Request{Path: "/stream/1"}
	require.Eventually(t, func() bool { return s.call(c, q).Status == 200 }, recoveryTimeout, 50*time.Millisecond)
	engine := s.engines()[0]
	release := engine.Hold()
	var reply standin.Reply
	var sender sync.WaitGroup
	sender.Go(func() { reply = s.call(c, q) })
	require.Eventually(t, func() bool { return engine.Queued() == 1 }, recoveryTimeout, time.Millisecond)
	s.entries[0].freeze(func() {
		completed := engine.CompletedStreams()
		release()
		require.Eventually(t, func() bool { return engine.CompletedStreams() > completed }, recoveryTimeout, time.Millisecond)
		time.Sleep(firstEventTimeout)
	})
	sender.Wait()
	require.NoError(t, reply.Err)
	require.Equal(t, 200, reply.Status, reply.Body)
	require.Equal(t, 1, engine.Runs(reply.ID))
}

// starvedSeeds are the seeds of TestSoakStarvedEntries in CI.
var starvedSeeds = []uint64{1}

// TestSoakStarvedEntries guards against an entry that charges its own lack of processor time to upstreams: requests run a second time, answers
// are cut, or callers are told that a request did not run although it did. One entry after the other is starved, beside the faults of TestSoak.
func TestSoakStarvedEntries(t *testing.T) {
	seconds, hosts := intFromEnv(t, secondsVariable, ciSeconds), intFromEnv(t, hostsVariable, defaultHosts)
	for _, seed := range seedsToRun(t, starvedSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, hosts)
			stop := make(chan struct{})
			var done, injectors sync.WaitGroup
			s.callers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			injectors.Go(func() { s.newInjector(seed, seed, 0, 0).starveUntil(end) })
			injectors.Go(func() { s.newInjector(seed, seed+1, 0, 21).injectUntil(end) })
			injectors.Go(func() { s.newInjector(seed, seed+2, 0, 0).announceUntil(end, 0, 1) })
			injectors.Wait()
			close(stop)
			done.Wait()
			s.verify()
		})
	}
}

// starveUntil starves one entry after the other until a time: it runs for a tenth of the time, for up to 3 s.
func (s *injector) starveUntil(end time.Time) {
	const off, on = 180 * time.Millisecond, 20 * time.Millisecond
	for time.Now().Before(end) {
		p := pick(s, s.entries)
		for range 3 + s.random.IntN(12) {
			p.freeze(func() { time.Sleep(off) })
			time.Sleep(on)
		}
		s.pause()
	}
}
