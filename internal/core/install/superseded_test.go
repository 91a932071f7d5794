package install_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
)

// TestEnginesTakeTurnsInTheTimeOfTheVersionThatIsDueFirst names version 3 two seconds after version 2, which is given up for it, and has its
// chunks come five seconds after the naming of version 2. The engines hold version 1, on which requests must not begin from the time of version
// 2 on, whether or not anybody has that one.
//
// What is seen: half of the engines still hold version 1 when entries send it nothing any more, and stand idle for up to 1.7 s until their turn.
// How it comes about: with version 2 out of the list, the first newer version is 3, and the turns fill the time until that one is due.
// Cause: until when a version may be used is reckoned from the versions that are still worth having, and not from all that were named.
func TestEnginesTakeTurnsInTheTimeOfTheVersionThatIsDueFirst(t *testing.T) {
	var hosts []string
	for i := range 10 {
		hosts = append(hosts, string(rune('a'+i)))
	}
	for _, host := range hosts {
		r := &rig{state: install.NewState(host, versionTime), engine: install.EngineRead{Loaded: map[string]int64{"m": 1}}}
		r.step(install.PeersChanged{Peers: hosts})
		r.read()
		r.step(install.Named{Model: "m", Version: 2})
		r.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		r.pass(2 * time.Second)
		r.step(install.Named{Model: "m", Version: 3})
		r.step(install.Resolved{Model: "m", Version: 3, Digest: "d3"})
		r.pass(3 * time.Second)
		done := prepares(r.step(install.Complete{Digest: "d3"}))
		for !done && !prepares(r.pass(100*time.Millisecond)) {
			require.Less(t, r.now, 30*time.Second)
		}
		require.LessOrEqual(t, r.now, versionTime-catalog.VersionMargin, "the turn of the engine of %s, since version 2 was named", host)
	}
}

// TestAnEngineThatServesNobodyLoadsAVersionForItsLastSeconds is the pattern of an origin that goes away right after two namings and comes back when
// the time of the version that engines hold is over: the first of the new ones arrives some seconds before the second must be in use. An
// engine that still serves leaves such a version out.
func TestAnEngineThatServesNobodyLoadsAVersionForItsLastSeconds(t *testing.T) {
	const named, outOfUse = 3 * time.Second, versionTime - catalog.VersionMargin
	for _, c := range []struct {
		held  int64
		at    time.Duration
		loads bool
	}{
		{held: 1, at: outOfUse + 300*time.Millisecond, loads: true},
		{held: 0, at: outOfUse - time.Second, loads: true},
		{held: 1, at: outOfUse + named - 900*time.Millisecond, loads: false},
		{held: 0, at: outOfUse + named - 900*time.Millisecond, loads: false},
	} {
		r := newRig()
		if c.held > 0 {
			r.engine.Loaded["m"] = c.held
		}
		r.read()
		r.step(install.Named{Model: "m", Version: 2})
		r.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
		r.pass(named)
		r.step(install.Named{Model: "m", Version: 3})
		r.pass(c.at - named)
		require.Equal(t, c.loads, prepares(r.step(install.Complete{Digest: "d2"})) || prepares(r.pass(100*time.Millisecond)), "%+v", c)
	}
}
