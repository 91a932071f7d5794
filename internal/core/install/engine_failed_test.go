package install_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/install"
)

// TestOneFailedReadingIsNoLossOfWeights guards against an engine that is reported without weights, and so gets no requests, because its
// agent was frozen during a reading, which ran out of time meanwhile. An engine that fails the next reading as well counts as down.
func TestOneFailedReadingIsNoLossOfWeights(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	const freeze = 3 * time.Second
	for range 2 {
		h.now += freeze
		h.step(install.EngineFailed{})
		require.Equal(t, map[string]int64{"m": 1}, h.state.Loaded())
		h.now += 100 * time.Millisecond
		h.read()
	}
	h.now += freeze
	h.step(install.EngineFailed{})
	h.now += 100 * time.Millisecond
	h.step(install.EngineFailed{})
	require.Empty(t, h.state.Loaded())
}

// TestHungEngineCountsAsDownWithinASecond guards against requests that are sent on to an engine whose readings all run out of time.
func TestHungEngineCountsAsDownWithinASecond(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	const interval = 500 * time.Millisecond // From one reading that runs out of time to the next.
	for range 2 {
		require.NotEmpty(t, h.state.Loaded())
		h.now += interval
		h.step(install.EngineFailed{})
	}
	require.Empty(t, h.state.Loaded())
}
