package install_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	self            = "10.0.0.1:7700"
	versionLifetime = 8 * time.Second
)

// harness drives an agent's reducer and the readings of its engine.
type harness struct {
	state *install.State
	now   time.Duration
	// engine is the next reading.
	engine install.EngineRead
}

func newHarness(peers ...string) *harness {
	h := &harness{state: install.NewState(self, versionLifetime), engine: install.EngineRead{Loaded: map[string]int64{}}}
	h.step(install.PeersChanged{Peers: append([]string{self}, peers...)})
	return h
}

func (h *harness) step(ev step.Event) []step.Effect {
	return h.state.Reduce(step.Input{Now: begin.Add(h.now), Event: ev})
}

func (h *harness) read() []step.Effect { return h.step(h.engine) }

// pass advances time, with a reading every 100 ms, and returns the effects that actions does.
func (h *harness) pass(d time.Duration) []step.Effect {
	var effects []step.Effect
	for range int(d / (100 * time.Millisecond)) {
		h.now += 100 * time.Millisecond
		effects = append(effects, h.read()...)
	}
	return actions(effects)
}

// actions returns the effects other than WantedChanged and those that are only logged.
func actions(effects []step.Effect) []step.Effect {
	var list []step.Effect
	for _, e := range effects {
		switch e.(type) {
		case install.PhaseChanged, install.WantedChanged, install.PlanChanged, install.VersionDropped:
		default:
			list = append(list, e)
		}
	}
	return list
}

// fetch activates a version and completes its content.
func (h *harness) fetch(version int64, digest string) []step.Effect {
	h.step(install.VersionActivated{Model: "m", Version: version})
	h.step(install.Resolved{Model: "m", Version: version, Digest: digest})
	return actions(h.step(install.ContentComplete{Digest: digest}))
}

// TestEngineWithoutWeightsLoadsAtOnce guards against an engine that waits for a turn although it receives no requests. It also checks that
// the agent reports the engine as not accepting requests from the load order on.
func TestEngineWithoutWeightsLoadsAtOnce(t *testing.T) {
	h := newHarness("10.0.0.2:7700")
	h.read()
	require.Contains(t, h.step(install.VersionActivated{Model: "m", Version: 1}), install.Resolve{Model: "m", Version: 1})
	require.Contains(t, h.step(install.Resolved{Model: "m", Version: 1, Digest: "d1"}), install.WantedChanged{})
	require.Equal(t, []install.Want{{Model: "m", Version: 1, Digest: "d1"}}, h.state.Wanted())
	h.step(install.ContentComplete{Digest: "d1"})
	require.Equal(t, []step.Effect{install.Prepare{Model: "m", Version: 1, Digest: "d1"}}, h.pass(200*time.Millisecond))
	checked := begin.Add(h.now)
	effects := actions(h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: checked}))
	require.Len(t, effects, 1)
	require.Equal(t, checked, effects[0].(install.LoadOrder).CheckedAt)
	require.True(t, h.state.NotAccepting(), "no requests from the order on")
	h.step(install.LoadOrderEnded{Model: "m", Version: 1, Accepted: true})
	h.engine = install.EngineRead{Loaded: map[string]int64{"m": 1}, OrderCount: 1}
	require.Empty(t, h.pass(time.Second))
	require.False(t, h.state.NotAccepting())
}

// TestLostOrderAnswerIsSettledByReading guards against a second load order when the engine accepted the first but its answer was lost.
func TestLostOrderAnswerIsSettledByReading(t *testing.T) {
	h := newHarness()
	h.read()
	h.fetch(1, "d1")
	h.pass(200 * time.Millisecond)
	h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: begin.Add(h.now)})
	h.step(install.LoadOrderEnded{Model: "m", Version: 1})
	h.engine.Busy, h.engine.OrderCount = true, 1
	require.Empty(t, h.pass(3*time.Second), "no further order while the engine is busy with the accepted one")
	h.engine.Busy, h.engine.Loaded = false, map[string]int64{"m": 1}
	require.Empty(t, h.pass(2*time.Second))
}

// TestOrderWithoutEffectIsPreparedAgain guards against an engine that is never loaded because its load order was lost. The chunks must be
// checked again before the next order.
func TestOrderWithoutEffectIsPreparedAgain(t *testing.T) {
	h := newHarness()
	h.read()
	h.fetch(1, "d1")
	h.pass(200 * time.Millisecond)
	h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: begin.Add(h.now)})
	h.step(install.LoadOrderEnded{Model: "m", Version: 1})
	require.Equal(t, []step.Effect{install.Prepare{Model: "m", Version: 1, Digest: "d1"}}, h.pass(2*time.Second))
}

// TestEngineThatLostItsWeightsLoadsAgain guards against an engine that stays empty after a crash because it was loaded before.
func TestEngineThatLostItsWeightsLoadsAgain(t *testing.T) {
	h := newHarness()
	h.read()
	h.fetch(1, "d1")
	h.engine.Loaded = map[string]int64{"m": 1}
	h.pass(time.Second)
	h.engine = install.EngineRead{Loaded: map[string]int64{}}
	require.Equal(t, []step.Effect{install.Prepare{Model: "m", Version: 1, Digest: "d1"}}, h.pass(time.Second))
}

// TestUnresponsiveEngineGetsNoOrder guards against staging and load orders for an engine that has stopped answering.
func TestUnresponsiveEngineGetsNoOrder(t *testing.T) {
	h := newHarness()
	h.read()
	h.fetch(1, "d1")
	h.now += 5 * time.Second
	require.Empty(t, actions(h.step(install.EngineFailed{})))
	require.Empty(t, actions(h.step(step.Tick{})))
}

// TestFailedStagingIsRepeated guards against a load order for chunks that failed their check, and against giving up after one failure.
func TestFailedStagingIsRepeated(t *testing.T) {
	h := newHarness()
	h.read()
	h.fetch(1, "d1")
	h.pass(200 * time.Millisecond)
	require.Empty(t, actions(h.step(install.Prepared{Model: "m", Version: 1})), "no order without a check")
	require.Equal(t, []step.Effect{install.Prepare{Model: "m", Version: 1, Digest: "d1"}}, h.pass(time.Second))
}

// TestFailedResolveIsRepeated guards against a version that is never fetched because one request for its manifest failed.
func TestFailedResolveIsRepeated(t *testing.T) {
	h := newHarness()
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 1})
	h.step(install.Resolved{Model: "m", Version: 1})
	require.Equal(t, []step.Effect{install.Resolve{Model: "m", Version: 1, EarlierAttempts: 1}}, h.pass(500*time.Millisecond))
}

// TestContradictedDigestIsResolvedAgain guards against fetching forever for a corrupted digest, whose chunks exist nowhere.
func TestContradictedDigestIsResolvedAgain(t *testing.T) {
	h := newHarness()
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 1})
	h.step(install.Resolved{Model: "m", Version: 1, Digest: "wrong"})
	require.Equal(t, []step.Effect{install.Resolve{Model: "m", Version: 1}}, actions(h.step(install.DigestContradicted{Digest: "wrong"})))
	require.Contains(t, h.step(install.Resolved{Model: "m", Version: 1, Digest: "right"}), install.WantedChanged{})
	require.Equal(t, []install.Want{{Model: "m", Version: 1, Digest: "right"}}, h.state.Wanted())
}

// chunkSize, originRate and linkRate are those of the example in docs/design/19-overload.md. A version of 48 chunks takes 2.1 s.
const (
	chunkSize            = 49152
	versionSize          = 48 * chunkSize
	originRate, linkRate = 9e6 / 8, 9.4e6 / 8
)

// transfers reports the chunks that the fleet and this host lack of each version, given by digest.
func (h *harness) transfers(away bool, lacks map[string][2]int64) []step.Effect {
	ev := install.TransfersRead{Transfers: map[string]install.Transfer{}, OriginRate: originRate, LinkRate: linkRate, OriginAway: away}
	for digest, n := range lacks {
		ev.Transfers[digest] = install.Transfer{Size: versionSize, FleetLacks: n[0] * chunkSize, HostLacks: n[1] * chunkSize, Chunks: 48, Held: int(48 - n[1]), Known: int(48 - n[0])}
	}
	return h.step(ev)
}

// TestSoonSupersededVersionIsDropped activates two versions so soon after each other that the first would add nothing to the time in which a
// version can be used. Fetching it would only delay the second.
func TestSoonSupersededVersionIsDropped(t *testing.T) {
	h := newHarness()
	h.engine.Loaded["m"] = 1
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 2})
	h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	h.transfers(false, map[string][2]int64{"d2": {4, 10}})
	h.pass(400 * time.Millisecond)
	effects := h.step(install.VersionActivated{Model: "m", Version: 3})
	require.Empty(t, h.state.Wanted())
	require.Contains(t, effects, install.VersionDropped{
		Model: "m", Version: 2, Reason: "only the newest version is useful",
		Transfer: install.Transfer{Size: versionSize, FleetLacks: 4 * chunkSize, HostLacks: 10 * chunkSize, Chunks: 48, Held: 38, Known: 44},
	})
	h.step(install.ContentComplete{Digest: "d2"})
	require.Empty(t, h.pass(time.Second))
	h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
	h.step(install.ContentComplete{Digest: "d3"})
	require.Contains(t, h.pass(versionLifetime), install.Prepare{Model: "m", Version: 3, Digest: "d3"})
}

// TestNearlyCompleteVersionIsCompletedFirst activates two versions 2 s apart, when the fleet lacks a tenth of the first. It must be
// fetched first, since the origin may become unreachable. The engine waits for the second one as long as that will be complete well before
// the held version ends, and loads the first one once the origin is away. If it were dropped, the engine would hold nothing usable for
// seconds.
func TestNearlyCompleteVersionIsCompletedFirst(t *testing.T) {
	for _, away := range []bool{false, true} {
		h := newHarness()
		h.state.VersionLifetime = 9700 * time.Millisecond
		h.engine.Loaded["m"], h.engine.RequestCount = 1, 3
		h.read()
		h.step(install.VersionActivated{Model: "m", Version: 2})
		h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		h.pass(2 * time.Second)
		h.transfers(false, map[string][2]int64{"d2": {5, 9}})
		h.step(install.VersionActivated{Model: "m", Version: 3})
		h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
		require.Equal(t, []install.Want{{Model: "m", Version: 2, Digest: "d2"}, {Model: "m", Version: 3, Digest: "d3", Rank: 1}}, h.state.Wanted())
		h.pass(500 * time.Millisecond)
		h.transfers(away, map[string][2]int64{"d2": {0, 0}, "d3": {46, 48}})
		h.step(install.ContentComplete{Digest: "d2"})
		prepared := hasPrepare(h.pass(500 * time.Millisecond))
		if !away {
			h.transfers(away, map[string][2]int64{"d3": {35, 42}})
		}
		require.Equal(t, away, hasPrepare(h.pass(500*time.Millisecond)) || prepared, "origin away: %v", away)
	}
}

// TestEnginesLoadABridgingVersionInTurns guards against engines that all load a superseded version at the same time, or so late that none
// accepts requests when the held one ends. Version 2 is whole when the origin goes away, with version 3 activated. A load takes 2.5 s, and
// requests are sent to version 1 until 6.7 s.
func TestEnginesLoadABridgingVersionInTurns(t *testing.T) {
	hosts := strings.Split("a b c d e f g h i j", " ")
	var starts []time.Duration
	for _, host := range hosts {
		h := &harness{state: install.NewState(host, versionLifetime), engine: install.EngineRead{Loaded: map[string]int64{"m": 1}, RequestCount: 3}}
		h.step(install.PeersChanged{Peers: hosts})
		h.read()
		h.step(install.VersionActivated{Model: "m", Version: 2})
		h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		h.pass(2 * time.Second)
		h.transfers(true, map[string][2]int64{"d2": {0, 0}})
		h.step(install.VersionActivated{Model: "m", Version: 3})
		done := hasPrepare(h.step(install.ContentComplete{Digest: "d2"}))
		for !done && !hasPrepare(h.pass(100*time.Millisecond)) {
			require.LessOrEqual(t, h.now, 6700*time.Millisecond)
		}
		starts = append(starts, h.now)
	}
	slices.Sort(starts)
	for i := range 5 {
		require.GreaterOrEqual(t, starts[i+5]-starts[i], 2400*time.Millisecond, "at most half are away, but for a reading: %v", starts)
	}
	require.LessOrEqual(t, starts[4], 4200*time.Millisecond, "half accept requests with version 2 when version 1 ends: %v", starts)
}

// TestRestartedAgentTakesTheOlderVersionToo guards against a process that starts, learns of the newest version first, and leaves out the one
// that its peers can complete while the origin is away. It must tell entries when its engine will accept requests, and not before it knows.
func TestRestartedAgentTakesTheOlderVersionToo(t *testing.T) {
	h := newHarness()
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 3, Age: time.Second})
	h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
	h.transfers(true, map[string][2]int64{"d3": {46, 48}})
	_, _, known := h.state.Ready(begin)
	require.False(t, known, "nobody has the chunks and the origin is away")
	require.Contains(t, h.step(install.VersionActivated{Model: "m", Version: 2, Age: 3 * time.Second}), install.Resolve{Model: "m", Version: 2})
	h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	h.transfers(true, map[string][2]int64{"d2": {0, 12}, "d3": {46, 48}})
	require.Equal(t, []install.Want{{Model: "m", Version: 2, Digest: "d2"}, {Model: "m", Version: 3, Digest: "d3", Rank: 1}}, h.state.Wanted())
	at, version, _ := h.state.Ready(begin)
	require.Equal(t, int64(2), version)
	require.InDelta(t, 1.0, at.Sub(begin).Seconds(), 0.1, "12 of 48 chunks take 0.5 s, the load takes 0.5 s")
	require.True(t, hasPrepare(append(h.step(install.ContentComplete{Digest: "d2"}), h.pass(200*time.Millisecond)...)))
}

// TestFirstRequiredVersionIsFetchedToTheEnd activates three versions during an origin outage. The first one, most of which has arrived,
// must be completed and loaded; the second is skipped. If each activation dropped the version being fetched, none would arrive in time.
func TestFirstRequiredVersionIsFetchedToTheEnd(t *testing.T) {
	h := newHarness()
	h.engine.Loaded["m"] = 1
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 2})
	h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	h.pass(3 * time.Second)
	h.step(install.VersionActivated{Model: "m", Version: 3})
	h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
	require.Len(t, h.state.Wanted(), 2)
	h.pass(time.Second)
	h.transfers(true, map[string][2]int64{"d2": {0, 6}, "d3": {40, 46}})
	h.step(install.VersionActivated{Model: "m", Version: 4})
	h.step(install.Resolved{Model: "m", Version: 4, Digest: "d4"})
	require.Equal(t, []install.Want{{Model: "m", Version: 2, Digest: "d2"}, {Model: "m", Version: 4, Digest: "d4", Rank: 1}}, h.state.Wanted())
	h.step(install.ContentComplete{Digest: "d2"})
	require.Contains(t, h.pass(versionLifetime), install.Prepare{Model: "m", Version: 2, Digest: "d2"})
	h.step(install.VersionActivated{Model: "m", Version: 3})
	require.Equal(t, int64(4), h.state.NewestVersion("m"), "an older version never replaces a newer one")
}

// TestVersionOlderThanTheLoadedOneIsNotWanted guards against fetching and keeping versions that the engine will never load.
func TestVersionOlderThanTheLoadedOneIsNotWanted(t *testing.T) {
	h := newHarness()
	h.engine.Loaded["m"] = 1
	h.read()
	h.fetch(2, "d2")
	h.step(install.VersionActivated{Model: "m", Version: 3})
	h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
	require.Len(t, h.state.Wanted(), 2)
	h.engine.Loaded["m"] = 3
	h.read()
	h.step(install.ContentComplete{Digest: "d3"})
	require.Equal(t, []install.Want{{Model: "m", Version: 3, Digest: "d3"}}, h.state.Wanted())
}

// turns returns when each of n hosts prepares version 2, which is activated at 0 and complete on every host at 3 s. With
// supersededVersion, version 3 is activated 600 ms after that.
func turns(t *testing.T, n int, supersededVersion bool) []time.Duration {
	t.Helper()
	var hosts []string
	for i := range n {
		hosts = append(hosts, string(rune('a'+i)))
	}
	var times []time.Duration
	for _, host := range hosts {
		h := &harness{state: install.NewState(host, versionLifetime), engine: install.EngineRead{Loaded: map[string]int64{"m": 1}}}
		h.step(install.PeersChanged{Peers: hosts})
		h.read()
		h.step(install.VersionActivated{Model: "m", Version: 2})
		h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		h.pass(3 * time.Second)
		done := hasPrepare(h.step(install.ContentComplete{Digest: "d2"}))
		if supersededVersion {
			done = hasPrepare(h.pass(600*time.Millisecond)) || done
			done = hasPrepare(h.step(install.VersionActivated{Model: "m", Version: 3})) || done
			h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
		}
		for !done && !hasPrepare(h.pass(100*time.Millisecond)) {
			require.Less(t, h.now, 30*time.Second)
		}
		times = append(times, h.now)
	}
	return times
}

func hasPrepare(effects []step.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(install.Prepare); ok {
			return true
		}
	}
	return false
}

// TestEnginesLoadInTurnsWhileTheOldVersionIsUsable guards against engines of a service that all load at the same time, so that none accepts
// requests, and against a turn after the old version has expired.
func TestEnginesLoadInTurnsWhileTheOldVersionIsUsable(t *testing.T) {
	highest := 0
	perSecond := map[time.Duration]int{}
	for _, at := range turns(t, 20, false) {
		require.LessOrEqual(t, at, versionLifetime)
		perSecond[at.Truncate(time.Second)]++
	}
	for _, n := range perSecond {
		highest = max(highest, n)
	}
	require.LessOrEqual(t, highest, 8, "%v", perSecond)
}

// TestHalfOfTheEnginesSkipASupersededVersion guards against two loads of every engine for two activations in quick succession: each load
// costs the engine's capacity while its running requests complete.
func TestHalfOfTheEnginesSkipASupersededVersion(t *testing.T) {
	skipping := 0
	for _, at := range turns(t, 20, true) {
		if at > 7*time.Second {
			skipping++
		}
	}
	require.Equal(t, 10, skipping)
}

// TestOrdersFollowAFreshCheck plays random events and requires a check of the chunks before each load order, and one order at a time.
// Stored chunks can become corrupted, and an order without a check would load them.
func TestOrdersFollowAFreshCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("10.0.0.2:7700", "10.0.0.3:7700")
		h.engine.Loaded["m"] = 1
		preparing := false
		newest := int64(1)
		for range 60 {
			var effects []step.Effect
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				newest += int64(rapid.IntRange(0, 1).Draw(t, "newer"))
				effects = h.step(install.VersionActivated{Model: "m", Version: newest})
			case 1:
				effects = h.step(install.Resolved{Model: "m", Version: newest, Digest: string(rune('a' + newest%26))})
			case 2:
				effects = h.step(install.ContentComplete{Digest: string(rune('a' + newest%26))})
			case 3:
				effects = h.step(install.EngineFailed{})
			case 4:
				h.engine.Busy = rapid.Bool().Draw(t, "busy")
				effects = h.read()
			case 5:
				h.engine.Loaded = map[string]int64{"m": rapid.Int64Range(0, newest).Draw(t, "loaded")}
				effects = h.read()
			case 6:
				effects = h.step(install.LoadOrderEnded{Model: "m", Version: newest, Accepted: rapid.Bool().Draw(t, "accepted")})
			case 7:
				ok := rapid.Bool().Draw(t, "ok")
				effects = h.step(install.Prepared{Model: "m", Version: newest, OK: ok, CheckedAt: begin.Add(h.now)})
				for _, e := range effects {
					if _, order := e.(install.LoadOrder); order {
						require.True(t, preparing && ok)
					}
				}
			default:
				h.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				effects = h.step(step.Tick{})
			}
			for _, e := range effects {
				switch e.(type) {
				case install.Prepare:
					require.False(t, h.engine.Busy, "nothing is prepared for a busy engine")
					preparing = true
				case install.LoadOrder:
					require.True(t, preparing)
					preparing = false
				}
			}
		}
	})
}

// TestRestartedEngineWithTheSameIDIsOrderedAgain has an engine crash while its chunks are staged, and restart before any reading fails. Its
// order sequence restarts at 0, and the order that was being prepared for its previous instance must not be sent to the new one.
func TestRestartedEngineWithTheSameIDIsOrderedAgain(t *testing.T) {
	h := newHarness()
	h.engine = install.EngineRead{StartedAt: 100, Loaded: map[string]int64{}, OrderCount: 7}
	h.read()
	h.fetch(1, "d1")
	h.pass(200 * time.Millisecond)
	h.engine = install.EngineRead{StartedAt: 200, Loaded: map[string]int64{}}
	require.Equal(t, []step.Effect{install.Prepare{Model: "m", Version: 1, Digest: "d1"}}, h.pass(300*time.Millisecond))
	effects := actions(h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: begin.Add(h.now)}))
	require.Len(t, effects, 1)
	require.Zero(t, effects[0].(install.LoadOrder).Sequence)
}

// TestTransfersUseMostOfTheLinkWhileTheEngineIsIdle guards against slow transfers where no answers need the link: engines that join without
// weights, a fleet that restarts after a power failure, and engines whose version is no longer usable.
func TestTransfersUseMostOfTheLinkWhileTheEngineIsIdle(t *testing.T) {
	h := newHarness()
	require.InDelta(t, 0.92, h.state.LinkShare(), 0, "nothing is known about the engine")
	h.engine.Loaded["m"], h.engine.RequestCount = 1, 2
	h.read()
	require.InDelta(t, 0.8, h.state.LinkShare(), 0)
	h.engine.RequestCount = 0
	h.read()
	require.InDelta(t, 0.92, h.state.LinkShare(), 0)
}

// TestTransfersUseMostOfTheLinkWhenTheNextVersionIsLate guards against an engine that runs out of usable weights while the next version is
// still transferred with the part of the link that is left beside answers.
func TestTransfersUseMostOfTheLinkWhenTheNextVersionIsLate(t *testing.T) {
	h := newHarness()
	h.engine.Loaded["m"], h.engine.RequestCount = 1, 2
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 2})
	h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	h.transfers(false, map[string][2]int64{"d2": {48, 48}})
	require.InDelta(t, 0.8, h.state.LinkShare(), 0, "there is time enough")
	h.pass(versionLifetime - 1300*time.Millisecond - 3*time.Second)
	h.read()
	require.InDelta(t, 0.92, h.state.LinkShare(), 0)
	h.step(install.ContentComplete{Digest: "d2"})
	require.InDelta(t, 0.8, h.state.LinkShare(), 0, "the version is complete")
}
