package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// The users' rules on a part of the prompt that crashes engines: from contactGrace after the fifth crash on, entries in touch send at most
// three more requests with it; from twice that time on, sound requests begin at least half as often as before.
const (
	toleratedCrashes = 5
	maxLaterRequests = 3
	minSoundShare    = 0.5
)

const (
	crashPart = "dead0001"
	// partHosts is the number of hosts of each kind, partSeconds the duration of the faults in CI, in seconds.
	partHosts   = 4
	partSeconds = 6
	// partFaults is the number of kinds of fault: those of processes, engines, settings and the store, but for a loss of all processes.
	partFaults = 10
	// partSoundPause and partCrashPause are the pauses of one caller between two requests, without and with the part.
	partSoundPause = 30 * time.Millisecond
	partCrashPause = 300 * time.Millisecond
	// partQuietTime is how long there are only sound requests at the start.
	partQuietTime = 2 * time.Second
)

// partSeeds run in CI: two first seeds, and each seed that ever failed, with the cause of the failure.
var partSeeds = []uint64{1, 2}

// partSoak is a run in which requests with one part of their prompt crash engines.
type partSoak struct {
	*soak
	mu sync.Mutex
	// replies are the outcomes of the sound requests.
	replies []soundReply
}

type soundReply struct {
	sent     time.Time
	answered bool
}

func newPartSoak(t *testing.T, hosts int) *partSoak {
	s := &soak{t: t, fleet: standin.NewFleet(t), version: 1, directEngines: true}
	return &partSoak{soak: startSoak(t, hosts, s)}
}

// callers starts the callers of all entries, which send requests until stop is closed.
func (s *partSoak) callers(stop <-chan struct{}, done *sync.WaitGroup) {
	crashFrom := time.Now().Add(partQuietTime)
	for i, host := range s.hosts {
		subject := func() string { return fmt.Sprintf("%x", 0x5b0000+rand.IntN(20)) }
		sound := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-sound-%d", s.t.Name(), i), KeepAlive: i%2 == 0}
		s.repeat(stop, done, partSoundPause, func() {
			sent := time.Now()
			r := s.call(sound, standin.Request{Path: "/stream/1", SharedParts: []string{"f1", subject()}})
			s.mu.Lock()
			defer s.mu.Unlock()
			s.replies = append(s.replies, soundReply{sent: sent, answered: r.Err == nil && r.Status == http.StatusOK})
		})
		crashing := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-crash-%d", s.t.Name(), i), KeepAlive: i%2 == 1}
		s.repeat(stop, done, partCrashPause, func() {
			if time.Now().After(crashFrom) {
				s.call(crashing, standin.Request{Path: "/stream/1", SharedParts: []string{"f1", subject(), crashPart}})
			}
		})
	}
}

// repeat calls f with a pause after each call until stop is closed.
func (s *partSoak) repeat(stop <-chan struct{}, done *sync.WaitGroup, pause time.Duration, f func()) {
	done.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause/2 + rand.N(pause)):
				f()
			}
		}
	})
}

// inTouch reports whether an entry and the store were without disruption for contactGrace before a time.
func (s *partSoak) inTouch(entry int, at time.Time) bool {
	return !overlaps(s.entries[entry].disruptions, at.Add(-contactGrace), at) && !overlaps(s.storeOutages, at.Add(-contactGrace), at)
}

// lateRequests returns how many requests with the part entries in touch sent to engines too late.
func (s *partSoak) lateRequests() int {
	crashes := s.fleet.Crashing.Crashes()
	if len(crashes) < toleratedCrashes {
		return 0
	}
	bound, n := crashes[toleratedCrashes-1].At.Add(contactGrace), 0
	for _, r := range s.fleet.Crashing.Reached() {
		entry, err := strconv.Atoi(r.Header.Get(entryHeader))
		require.NoError(s.t, err)
		if r.At.After(bound) && s.inTouch(entry, r.At) {
			n++
		}
	}
	return n
}

// soundShare returns the share of the sound requests of a time that were answered.
func (s *partSoak) soundShare(from, to time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, answered := 0, 0
	for _, r := range s.replies {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		all++
		if r.answered {
			answered++
		}
	}
	require.Positive(s.t, all)
	return float64(answered) / float64(all)
}

// TestSoakCrashingPart guards against a part of prompts that keeps crashing engines while processes are killed, terminated and frozen, the store
// is down and engines restart: what entries know of it must survive that. Sound requests, which share the caller, the route and their
// other parts with it, must be served once the faults are over, while requests with the part still come.
func TestSoakCrashingPart(t *testing.T) {
	seconds, hosts := intFromEnv(t, secondsVariable, partSeconds), intFromEnv(t, hostsVariable, partHosts)
	for _, seed := range seedsToRun(t, partSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newPartSoak(t, hosts)
			c := &standin.Caller{Address: s.hosts[0].CallersListen, Name: t.Name()}
			require.Eventually(t, func() bool { return s.call(c, standin.Request{Path: "/stream/1"}).Status == http.StatusOK }, recoveryTimeout, 50*time.Millisecond)
			s.fleet.Crashing.Unframed = seed%2 == 0
			s.fleet.Crashing.Set(crashPart, int(seed%3), seed%4 == 1)
			stop := make(chan struct{})
			var done, injectors sync.WaitGroup
			s.callers(stop, &done)
			time.Sleep(partQuietTime)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			for stream := range uint64(2) {
				injectors.Go(func() { s.newInjector(seed, seed+stream, 0, partFaults).injectUntil(end) })
			}
			injectors.Wait()
			time.Sleep(2 * contactGrace)
			calm := time.Now()
			time.Sleep(contactGrace)
			close(stop)
			done.Wait()
			share := s.soundShare(calm, calm.Add(contactGrace))
			t.Logf("%d crashes, %d requests with the part reached engines, %d of them late; sound requests answered: %.2f of %d", len(s.fleet.Crashing.Crashes()),
				len(s.fleet.Crashing.Reached()), s.lateRequests(), share, len(s.replies))
			require.NotEmpty(t, s.fleet.Crashing.Crashes())
			require.LessOrEqual(t, s.lateRequests(), maxLaterRequests)
			require.GreaterOrEqual(t, share, minSoundShare)
		})
	}
}
