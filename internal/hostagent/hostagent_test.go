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

// patience bounds what a test waits for; it is far above what is needed, since machines can be busy.
const patience = 60 * time.Second

// start runs an agent beside each of n engines that hold a version.
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
		require.Eventually(t, func() bool { return e.Weights.Loaded() == version }, patience, 20*time.Millisecond)
	}
	for _, e := range engines {
		spoilt, _ := e.Weights.Spoilt()
		require.Zero(t, spoilt, "an engine loaded pieces that were missing or wrong")
	}
}

func TestEmptyEnginesGetTheWeightsAndTheOriginSendsAboutOneCopy(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Name(1)
	engines, _ := start(t, fleet, 4, 0)
	requireLoaded(t, engines, 1)
	require.LessOrEqual(t, fleet.Origin.Sent(), 3*fleet.Origin.Pieces, "four hosts that draw for themselves would take four copies")
}

// TestAHostAsksTheOriginOneThingAtATime has a host draw all pieces from an origin that is slow: the origin takes a bounded number of
// connections from all hosts together.
func TestAHostAsksTheOriginOneThingAtATime(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.AnswerTime = 30 * time.Millisecond
	fleet.Name(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
	require.Equal(t, 1, fleet.Origin.MostAtOnce())
}

func TestANewVersionReachesEachEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Name(1)
	engines, _ := start(t, fleet, 2, 0)
	requireLoaded(t, engines, 1)
	fleet.Name(2)
	fleet.Name(3)
	requireLoaded(t, engines, 3)
}

func TestPiecesThatRotAreReplacedBeforeTheNextLoad(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Name(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
	engines[0].Weights.Rot(3)
	engines[0].Weights.Crash(false)
	require.Eventually(t, func() bool {
		_, orders := engines[0].Weights.Spoilt()
		return orders == 2
	}, patience, 20*time.Millisecond)
	requireLoaded(t, engines, 1)
}

func TestAnEngineThatLostPowerIsFilledAgain(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Name(1)
	engines, _ := start(t, fleet, 2, 0)
	requireLoaded(t, engines, 1)
	engines[0].Weights.Crash(true)
	require.Eventually(t, func() bool { return engines[0].Weights.Loaded() == 0 }, patience, time.Millisecond)
	requireLoaded(t, engines, 1)
}

func TestSpoiltAnswersOfTheOriginAreNotUsed(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.SpoilNext(5)
	fleet.Name(1)
	engines, _ := start(t, fleet, 1, 0)
	requireLoaded(t, engines, 1)
}

// TestAnAgentThatIsStartedAnewTakesOverWhatLiesThere has the successor find the pieces at the engine: the origin sends nothing again.
func TestAnAgentThatIsStartedAnewTakesOverWhatLiesThere(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Name(1)
	ip := standin.NextIP()
	engine := fleet.AddEngine("a", ip, 0)
	run := func() (stop func()) {
		return fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	stop := run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	stop()
	sent := fleet.Origin.Sent()
	engine.Weights.Crash(false)
	run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	require.Equal(t, sent, fleet.Origin.Sent())
}

// TestAnAgentThatStartsBeforeItsEngineTakesOverWhatLiesThere is the pattern of hosts that start again: the agent hears of the version at once, and its
// engine, beside which the pieces lie, answers a second and a half later. The origin, which is slow, sends no second copy.
func TestAnAgentThatStartsBeforeItsEngineTakesOverWhatLiesThere(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Origin.AnswerTime = 300 * time.Millisecond
	fleet.Name(1)
	ip := standin.NextIP()
	engine := fleet.AddEngine("a", ip, 0)
	run := func() (stop func()) {
		return fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	stop := run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	stop()
	engine.Weights.Crash(false)
	engine.Away(1500 * time.Millisecond)
	run()
	requireLoaded(t, []*standin.Upstream{engine}, 1)
	require.Less(t, fleet.Origin.Sent(), 2*fleet.Origin.Pieces)
}
