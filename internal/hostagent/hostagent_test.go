package hostagent_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// testTimeout limits how long a test waits for a condition. It is far longer than needed, since test machines can be busy.
const testTimeout = 60 * time.Second

// start runs n engines that hold a version, and an agent for each.
func start(t *testing.T, fleet *standin.Fleet, n int, version int64) (engines []*standin.Upstream, stops []func()) {
	t.Helper()
	for i := range n {
		ip := standin.NextIP()
		engines = append(engines, fleet.AddEngine(string(rune('a'+i)), ip, version))
		agent := hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil)
		stops = append(stops, fleet.Run(agent.Run))
	}
	return engines, stops
}

func requireLoaded(t *testing.T, engines []*standin.Upstream, version int64) {
	t.Helper()
	for _, e := range engines {
		require.Eventually(t, func() bool { return e.Weights.Loaded() == version }, testTimeout, 20*time.Millisecond)
	}
	for _, e := range engines {
		corrupted, _ := e.Weights.Loads()
		require.Zero(t, corrupted, "an engine loaded chunks that were missing or corrupted")
	}
}

// TestEmptyEnginesLoadWeightsWithFewOriginReads guards against hosts that each read a whole copy of the weights from the origin instead of
// sharing chunks with each other.
func TestEmptyEnginesLoadWeightsWithFewOriginReads(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 4, 0)
	requireLoaded(t, engines, 1)
	require.LessOrEqual(t, fleet.Origin.SentChunks(), 3*fleet.Origin.Chunks, "four hosts that do not share chunks would read four copies")
}

// TestHostSendsOneOriginRequestAtATime guards against a host that opens several connections to the origin, which accepts a bounded number from
// all hosts together. The origin responds slowly, so that concurrent requests would overlap.
func TestHostSendsOneOriginRequestAtATime(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.ResponseDelay = 30 * time.Millisecond
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
	require.Equal(t, 1, fleet.Origin.MaxInFlight())
}

// TestNewVersionReachesEveryEngine guards against engines that stay on an old version when two versions are activated in quick succession.
func TestNewVersionReachesEveryEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 2, 0)
	requireLoaded(t, engines, 1)
	fleet.ActivateVersion(2)
	fleet.ActivateVersion(3)
	requireLoaded(t, engines, 3)
}

// TestCorruptedChunksAreReplacedBeforeNextLoad guards against a load of staged chunks that were corrupted after an earlier load.
func TestCorruptedChunksAreReplacedBeforeNextLoad(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
	engines[0].Weights.CorruptChunk(3)
	engines[0].Weights.Crash(false)
	require.Eventually(t, func() bool {
		_, orders := engines[0].Weights.Loads()
		return orders == 2
	}, testTimeout, 20*time.Millisecond)
	requireLoaded(t, engines, 1)
}

// TestEngineIsRefilledAfterPowerLoss guards against an agent that takes chunks for staged which the engine's host lost with its power.
func TestEngineIsRefilledAfterPowerLoss(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 2, 0)
	requireLoaded(t, engines, 1)
	engines[0].Weights.Crash(true)
	require.Eventually(t, func() bool { return engines[0].Weights.Loaded() == 0 }, testTimeout, time.Millisecond)
	requireLoaded(t, engines, 1)
}

// TestCorruptedOriginResponsesAreRejected guards against chunks that are loaded although the origin sent them corrupted.
func TestCorruptedOriginResponsesAreRejected(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.CorruptNext(5)
	fleet.ActivateVersion(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
}

// TestRestartedAgentReusesStagedChunks guards against an agent that reads a version from the origin again although its chunks are staged at the engine.
func TestRestartedAgentReusesStagedChunks(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.ActivateVersion(1)
	ip := standin.NextIP()
	engine := fleet.AddEngine("a", ip, 0)
	run := func() (stop func()) {
		return fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	stop := run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	stop()
	sent := fleet.Origin.SentChunks()
	engine.Weights.Crash(false)
	run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	require.Equal(t, sent, fleet.Origin.SentChunks())
}

// TestAgentStartedBeforeEngineReusesStagedChunks guards against the same when a host restarts: the agent learns of the version at once, but
// its engine, with the staged chunks, responds 1.5 s later. The slow origin must not send a second copy.
func TestAgentStartedBeforeEngineReusesStagedChunks(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.ResponseDelay = 300 * time.Millisecond
	fleet.ActivateVersion(1)
	ip := standin.NextIP()
	engine := fleet.AddEngine("a", ip, 0)
	run := func() (stop func()) {
		return fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	stop := run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	stop()
	engine.Weights.Crash(false)
	engine.SetUnavailable(1500 * time.Millisecond)
	run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	require.Less(t, fleet.Origin.SentChunks(), 2*fleet.Origin.Chunks)
}
