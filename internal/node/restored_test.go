package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
)

// TestSettingAppliedAfterRestoreOfTheObjectAPITakesEffect guards against processes that keep an old setting for good after the object API
// came back from a backup, because the revision of the operator's next change is below the one that they know.
func TestSettingAppliedAfterRestoreOfTheObjectAPITakesEffect(t *testing.T) {
	s := newSite(t, 3)
	s.awaitReady(s.procs...)
	s.awaitEverywhere(s.apply(1))
	backup := s.objectAPI.Backup()
	for replicas := 2; replicas < 8; replicas++ {
		s.awaitEverywhere(s.apply(replicas))
	}
	s.objectAPI.Restore(backup)
	a := s.apply(9)
	require.Eventually(t, func() bool {
		inForce := 0
		for _, p := range s.procs {
			p.Loop.View(func(state *core.State) {
				if in := state.Settings[a.Key]; in.Setting != nil && in.Setting.Places["place-0"] == 9 {
					inForce++
				}
			})
		}
		return inForce == len(s.procs)
	}, limit, 20*time.Millisecond)
}
