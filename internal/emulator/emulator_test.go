package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// pattern returns the pattern with the given name.
func pattern(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns {
		if p.Name == name {
			return p
		}
	}
	require.Fail(t, "no such pattern", name)
	return Pattern{}
}

// TestSimulationIsDeterministic guards against results that can't be compared: a seed must give the same callers under every policy, and the same
// answers under the same policy.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	p := pattern(t, "step")
	first := Simulate(Streams(), p, forward.DefaultPolicy(), 7)
	require.Equal(t, first, Simulate(Streams(), p, forward.DefaultPolicy(), 7))
	other := forward.DefaultPolicy()
	other.OldestFirst = true
	second := Simulate(Streams(), p, other, 7)
	require.Equal(t, first.Total, second.Total)
	require.Equal(t, first.Bound, second.Bound)
}

// TestEveryRequestHasAnOutcomeWithinTheBound guards against an emulator that loses requests, or whose engines do more work than their model allows.
func TestEveryRequestHasAnOutcomeWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"steady overload", "engines that leave", "engines that send Retry-After"} {
		r := Simulate(Streams(), pattern(t, name), forward.DefaultPolicy(), 1)
		require.Equal(t, r.Total, r.InTime+r.Late+r.Refused+r.Failed, name)
		require.LessOrEqual(t, r.InTime, r.Bound, name)
		require.Positive(t, r.InTime, name)
	}
}

// TestEngineThroughputMatchesItsModel keeps all slots of one engine busy and compares its throughput with the formula of the bound.
func TestEngineThroughputMatchesItsModel(t *testing.T) {
	t.Parallel()
	setup := Streams()
	setup.Centres, setup.Engines = 1, 1
	w := newSimulation(1)
	e := &engine{simulation: w, model: setup.EngineModel, upstream: &catalog.Upstream{}, slowdown: 1}
	done := 0
	var next func()
	next = func() {
		e.accept(&task{promptLeft: 850, eventsLeft: 20, onEvent: func() {}, onEnd: func() { done++; w.after(0, next) }})
	}
	for range setup.EngineModel.Slots + setup.EngineModel.Queue {
		next()
	}
	w.run(60 * time.Second)
	require.InEpsilon(t, 60/setup.EngineModel.cost(850, 20).Seconds(), done, 0.05)
}

// TestDrainingEnginesGetNoRequests guards against requests to engines that announce their shutdown in their answers while the store still lists them
// as ready.
func TestDrainingEnginesGetNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(Streams(), 3)
	f.load(0.6)
	f.simulation.run(5 * time.Second)
	e := f.engines[0]
	e.notice.Leaving = true
	f.simulation.run(6 * time.Second)
	before := e.accepted
	f.simulation.run(12 * time.Second)
	require.Positive(t, before)
	require.Equal(t, before, e.accepted)
}

// TestRateLimitOfAnEngineIsKept guards against entries of an overloaded fleet that together exceed the rate limit which an engine reports.
func TestRateLimitOfAnEngineIsKept(t *testing.T) {
	t.Parallel()
	f := newFleet(Streams(), 4)
	f.load(1.2)
	f.simulation.run(5 * time.Second)
	e := f.engines[0]
	e.notice = catalog.Notice{Limited: true, RateLimit: 2}
	f.simulation.run(8 * time.Second)
	before := e.accepted
	f.simulation.run(28 * time.Second)
	require.LessOrEqual(t, e.accepted-before, 2*20+5, "limit of 2 requests a second for 20 s")
	require.Greater(t, e.accepted-before, 20, "at least half of the limit is used")
}

// TestCommandWritesTableCSVAndPlot guards against missing or empty output files, and against write errors that are not returned.
func TestCommandWritesTableCSVAndPlot(t *testing.T) {
	t.Parallel()
	rows := Compare(Streams(), []Pattern{pattern(t, "calm")}, Variants()[:2], 1, 2, func() {})
	var table bytes.Buffer
	require.NoError(t, printTable(&table, rows))
	require.Equal(t, 3, strings.Count(table.String(), "\n"))
	csv, plot := filepath.Join(t.TempDir(), "rows.csv"), filepath.Join(t.TempDir(), "plot.svg")
	require.NoError(t, writeRows(csv, rows))
	require.NoError(t, drawRows(rows, plot))
	for _, path := range []string{csv, plot} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
	require.Error(t, writeRows(filepath.Join(t.TempDir(), "none", "rows.csv"), rows))
}
