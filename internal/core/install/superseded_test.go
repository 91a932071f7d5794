package install_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
)

// TestLoadTurnsEndWithTheFirstRequiredVersion activates version 3 two seconds after version 2, so that version 2 is dropped. The chunks of
// version 3 arrive five seconds after the activation of version 2. The engines hold version 1. No request may start on it once version 2 is
// required, whether or not any engine holds version 2.
//
// It guards against load turns that last until version 3 is required: half of the engines would still hold version 1 when entries stop
// sending requests to it, and would be idle for up to 1.7 s until their turn. This happens if the expiry of a version is derived from
// the versions that are still to be loaded, rather than from all activated versions.
func TestLoadTurnsEndWithTheFirstRequiredVersion(t *testing.T) {
	var hosts []string
	for i := range 10 {
		hosts = append(hosts, string(rune('a'+i)))
	}
	for _, host := range hosts {
		h := &harness{state: install.NewState(host, versionLifetime), engine: install.EngineRead{Loaded: map[string]int64{"m": 1}}}
		h.step(install.PeersChanged{Peers: hosts})
		h.read()
		h.step(install.VersionActivated{Model: "m", Version: 2})
		h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		h.pass(2 * time.Second)
		h.step(install.VersionActivated{Model: "m", Version: 3})
		h.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
		h.pass(3 * time.Second)
		done := hasPrepare(h.step(install.ContentComplete{Digest: "d3"}))
		for !done && !hasPrepare(h.pass(100*time.Millisecond)) {
			require.Less(t, h.now, 30*time.Second)
		}
		require.LessOrEqual(t, h.now, versionLifetime-catalog.RequireVersionMargin, "load turn of the engine of %s, since the activation of version 2", host)
	}
}

// TestEngineWithoutAUsableVersionLoadsOneForItsLastSeconds covers an origin outage that starts right after two activations and ends when
// the version that the engines hold is no longer usable. The first of the new versions then arrives some seconds before the second one is
// required. An engine that receives no requests must load it even for such a short time. One that still serves requests skips it. Neither
// loads it when less than about 1 s is left.
func TestEngineWithoutAUsableVersionLoadsOneForItsLastSeconds(t *testing.T) {
	const secondActivation, endOfUse = 3 * time.Second, versionLifetime - catalog.RequireVersionMargin
	for _, c := range []struct {
		held  int64
		at    time.Duration
		loads bool
	}{
		{held: 1, at: endOfUse + 300*time.Millisecond, loads: true},
		{held: 0, at: endOfUse - time.Second, loads: true},
		{held: 1, at: endOfUse + secondActivation - 900*time.Millisecond, loads: false},
		{held: 0, at: endOfUse + secondActivation - 900*time.Millisecond, loads: false},
	} {
		h := newHarness()
		if c.held > 0 {
			h.engine.Loaded["m"] = c.held
		}
		h.read()
		h.step(install.VersionActivated{Model: "m", Version: 2})
		h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		h.pass(secondActivation)
		h.step(install.VersionActivated{Model: "m", Version: 3})
		h.pass(c.at - secondActivation)
		require.Equal(t, c.loads, hasPrepare(h.step(install.ContentComplete{Digest: "d2"})) || hasPrepare(h.pass(100*time.Millisecond)), "%+v", c)
	}
}
