package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// The users' rules on a part of the prompt that crashes engines.
const (
	// contactTime is the time in which processes learn of what happens elsewhere.
	contactTime = 3 * time.Second
	// toleratedCrashes is the number of crashes after which the part must be known, contactTime later.
	toleratedCrashes = 5
	// maxLaterRequests is the number of requests with the part that may reach engines after that, however long they keep coming.
	maxLaterRequests = 3
	// minSoundShare is the least share of sound requests that are answered at their first attempt from 2 contactTime after the last
	// tolerated crash, relative to before the first crash.
	minSoundShare = 0.5
)

const (
	crashPart = "dead0001"
	firstPart = "f1"
	// crashInterval is the mean time between two requests with the part, soundInterval between two others.
	crashInterval = 80 * time.Millisecond
	soundInterval = 20 * time.Millisecond
	// soundPhase is how long there are only sound requests at the start.
	soundPhase = 1500 * time.Millisecond
)

// crashingPartRun is a run in which requests with one part of their prompt crash engines while sound requests go on.
type crashingPartRun struct {
	t       *testing.T
	fleet   *standin.Fleet
	entries []*entry

	mu         sync.Mutex
	crashStart time.Time
	replies    []soundReply
}

// soundReply is the outcome of a sound request.
type soundReply struct {
	sent     time.Time
	answered bool
}

// newCrashingPartRun starts entries, and engines with agents, that hold the weights.
func newCrashingPartRun(t *testing.T, entries, engines int) *crashingPartRun {
	fleet := standin.NewFleet(t)
	fleet.Slots = 6
	fleet.Crashing.Downtime = 2 * time.Second
	fleet.WriteManifest()
	fleet.ActivateVersion(1)
	for i := range engines {
		ip := standin.NextIP()
		fleet.AddEngine(fmt.Sprintf("i-%d", i), ip, 0).EventInterval = 40 * time.Millisecond
		fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	run := &crashingPartRun{t: t, fleet: fleet}
	for range entries {
		run.entries = append(run.entries, start(t, fleet))
	}
	for _, e := range run.entries {
		require.Eventually(t, func() bool { return e.Post("/stream/1").Status == http.StatusOK }, testTimeout, pollInterval)
	}
	return run
}

// send sends a request with shared parts through a random entry.
func (run *crashingPartRun) send(parts []string) standin.Reply {
	e := run.entries[rand.IntN(len(run.entries))]
	return e.Do(context.Background(), standin.Request{Path: "/stream/1", SharedParts: parts, DeadlineMS: 6000})
}

// play sends sound requests for the given time, and after soundPhase also requests with the part. crashParts and soundParts return the
// lists of shared parts.
func (run *crashingPartRun) play(duration time.Duration, crashParts, soundParts func() []string) {
	var done sync.WaitGroup
	begin := time.Now()
	run.crashStart = begin.Add(soundPhase)
	every := func(interval time.Duration, from time.Time, send func()) {
		done.Go(func() {
			time.Sleep(time.Until(from))
			for time.Since(begin) < duration {
				done.Go(send)
				time.Sleep(interval/2 + rand.N(interval))
			}
		})
	}
	every(soundInterval, begin, func() {
		sent := time.Now()
		r := run.send(soundParts())
		run.mu.Lock()
		defer run.mu.Unlock()
		run.replies = append(run.replies, soundReply{sent: sent, answered: r.Err == nil && r.Status == http.StatusOK && r.Body == streamBody(6)})
	})
	every(crashInterval, run.crashStart, func() { run.send(crashParts()) })
	done.Wait()
}

// requestsAfterBound returns how many requests with the part reached engines later than contactTime after the last tolerated crash.
func (run *crashingPartRun) requestsAfterBound() int {
	crashes := run.fleet.Crashing.Crashes()
	if len(crashes) < toleratedCrashes {
		return 0
	}
	n := 0
	for _, r := range run.fleet.Crashing.Reached() {
		if r.At.After(crashes[toleratedCrashes-1].At.Add(contactTime)) {
			n++
		}
	}
	return n
}

// soundShares returns the share of sound requests that were answered at their first attempt: those sent before the first crash, and those
// sent from 2 contactTime after the last tolerated crash (or the last one, if there were fewer).
func (run *crashingPartRun) soundShares() (before, after float64) {
	crashes := run.fleet.Crashing.Crashes()
	require.NotEmpty(run.t, crashes)
	bound := crashes[min(len(crashes), toleratedCrashes)-1].At.Add(2 * contactTime)
	var all, answered [2]int
	for _, r := range run.replies {
		phase := 0
		switch {
		case r.sent.After(bound):
			phase = 1
		case !r.sent.Before(run.crashStart):
			continue
		}
		all[phase]++
		if r.answered {
			answered[phase]++
		}
	}
	require.Positive(run.t, all[0])
	require.Positive(run.t, all[1])
	return float64(answered[0]) / float64(all[0]), float64(answered[1]) / float64(all[1])
}

// TestPartThatCrashesEnginesIsNotSent guards against requests that are all different and have one part of their prompt in common, which
// crashes each engine that begins an answer on it: none of them alone crashes many engines. Requests without the part, which share the
// caller, the route and other parts with them, must be served meanwhile.
func TestPartThatCrashesEnginesIsNotSent(t *testing.T) {
	subject := func() string { return fmt.Sprintf("%x", 0x5b0000+rand.IntN(12)) }
	sound := func() []string { return []string{firstPart, subject()} }
	for _, c := range []struct {
		name       string
		unframed   bool
		events     int
		cut        bool
		crashParts func() []string
	}{
		{"the caller, the route and the first part are shared", false, 0, false, func() []string { return []string{firstPart, crashPart} }},
		{"a further part is shared with sound requests", false, 1, true, func() []string { return []string{firstPart, subject(), crashPart} }},
		{"answers end with their connection", true, 2, false, func() []string { return []string{firstPart, crashPart} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := newCrashingPartRun(t, 2, 16)
			run.fleet.Crashing.Unframed = c.unframed
			run.fleet.Crashing.Set(crashPart, c.events, c.cut)
			run.play(soundPhase+10*time.Second, c.crashParts, sound)
			before, after := run.soundShares()
			t.Logf("%d crashes, %d requests with the part reached engines, %d of them late; sound requests answered: %.2f before, %.2f after",
				len(run.fleet.Crashing.Crashes()), len(run.fleet.Crashing.Reached()), run.requestsAfterBound(), before, after)
			require.LessOrEqual(t, run.requestsAfterBound(), maxLaterRequests)
			require.GreaterOrEqual(t, after, minSoundShare*before)
		})
	}
}
