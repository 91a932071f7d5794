package install_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestOneFailedReadingIsNoLossOfWeights guards against an engine that is reported without weights, and so gets no requests, because its
// agent was frozen during a reading, which ran out of time meanwhile. An engine that fails the next reading as well counts as down.
func TestOneFailedReadingIsNoLossOfWeights(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	const freeze = 3 * time.Second
	for _, silent := range []bool{false, true} {
		h.now += freeze
		h.step(install.EngineFailed{Silent: silent})
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

// TestRefusingEngineCountsAsDownWithinASecond guards against requests that are sent on to an engine that has crashed: it refuses the
// connections of its agent.
func TestRefusingEngineCountsAsDownWithinASecond(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	const interval = 500 * time.Millisecond
	for range 2 {
		require.NotEmpty(t, h.state.Loaded())
		require.False(t, h.state.Silent())
		h.now += interval
		h.step(install.EngineFailed{})
	}
	require.Empty(t, h.state.Loaded())
	require.False(t, h.state.Silent())
}

// readingTimeout is how long a reading takes that runs out of time.
const readingTimeout = 400 * time.Millisecond

// TestSilentEngineIsNoLossOfWeights guards against a sound engine that is reported without weights because it was silent for up to 3 s, and
// against requests that go on to one that hangs for good. From the first reading that fails on, the engine must be known to be silent.
func TestSilentEngineIsNoLossOfWeights(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	begun := h.now
	for h.now+readingTimeout-begun <= 3*time.Second {
		h.now += readingTimeout
		h.step(install.EngineFailed{Silent: true})
		require.Equal(t, map[string]int64{"m": 1}, h.state.Loaded())
		require.True(t, h.state.Silent())
	}
	h.read()
	require.Equal(t, map[string]int64{"m": 1}, h.state.Loaded())
	require.False(t, h.state.Silent())
	for begun = h.now; h.now-begun < 3500*time.Millisecond; h.now += readingTimeout {
		h.step(install.EngineFailed{Silent: true})
	}
	require.Empty(t, h.state.Loaded())
	require.False(t, h.state.Silent(), "it counts as down")
}

// TestSilentEngineThatRefusesIsDown guards against an engine that crashes while it is silent, and is waited for as if it could go on.
func TestSilentEngineThatRefusesIsDown(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	for range 3 {
		h.now += readingTimeout
		h.step(install.EngineFailed{Silent: true})
	}
	h.now += 100 * time.Millisecond
	h.step(install.EngineFailed{})
	require.Empty(t, h.state.Loaded())
}

// TestCheckThatASilenceOutlastedIsRepeated guards against an engine that is reported as not accepting requests for half a second, although
// it was ordered nothing: it was silent while its chunks were read back, so that their check was too old for an order.
func TestCheckThatASilenceOutlastedIsRepeated(t *testing.T) {
	h := newHarness()
	h.engine.Loaded = map[string]int64{"m": 1}
	h.read()
	prepare := []step.Effect{install.Prepare{Model: "m", Version: 2, Digest: "d2"}}
	h.fetch(2, "d2")
	require.Equal(t, prepare, h.pass(200*time.Millisecond))
	checkedAt := begin.Add(h.now)
	for range 5 {
		h.now += readingTimeout
		h.step(install.EngineFailed{Silent: true})
	}
	h.now += 100 * time.Millisecond
	h.read()
	require.Empty(t, actions(h.step(install.Prepared{Model: "m", Version: 2, OK: true, CheckedAt: checkedAt})))
	require.False(t, h.state.NotAccepting())
	require.Equal(t, prepare, h.pass(300*time.Millisecond))
}
