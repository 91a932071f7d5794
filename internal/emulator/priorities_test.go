package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// TestPrioritiesAndAccountsUnderLoad runs the loads that priorities and accounts are for. Each entry orders only what waits at it, and
// engines are shared with other entries, so that not all that could be in time is. Before, all kinds were served alike: urgent callers
// .42 in time under the flood, .82 beside the burst, .35 in the service that is full.
func TestPrioritiesAndAccountsUnderLoad(t *testing.T) {
	t.Parallel()
	// The least fractions of the callers of a kind that are answered in time, and that are answered at all.
	type bounds struct{ inTime, served float64 }
	for pattern, kinds := range map[string]map[string]bounds{
		"one account floods":           {"urgent": {0.88, 0.93}, "small": {0.83, 0.88}, "lowest": {0.1, 0.12}, "long": {0, 0.3}},
		"burst of the lowest priority": {"urgent": {0.92, 0.96}, "small": {0.9, 0.94}, "low": {0.85, 0.9}, "long": {0, 0.93}},
		"full all the time":            {"urgent": {0.77, 0.83}, "small": {0.45, 0.5}, "low": {0.08, 0.13}, "lowest": {0.08, 0.12}, "long": {0, 0.22}},
	} {
		t.Run(pattern, func(t *testing.T) {
			t.Parallel()
			for _, p := range PriorityPatterns {
				if p.Name != pattern {
					continue
				}
				r := Simulate(Priorities(), p, forward.DefaultPolicy(), 1)
				require.Equal(t, r.Total, r.InTime+r.Late+r.Refused+r.Failed)
				for name, least := range kinds {
					k := r.Kinds[name]
					require.GreaterOrEqual(t, float64(k.InTime)/float64(k.Total), least.inTime, "%s in time", name)
					require.GreaterOrEqual(t, float64(k.Served)/float64(k.Total), least.served, "%s served", name)
				}
				return
			}
			require.Fail(t, "no such pattern")
		})
	}
}
