package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/explain"
)

// TestInstallsOfAVersion checks the steps of a version that two hosts install, one of which restarts in between; lines before its restart
// must not count. A third host installs another version only and must not count either.
func TestInstallsOfAVersion(t *testing.T) {
	var log strings.Builder
	phaseChanged := func(second int, host string, version int, phase string) {
		log.WriteString(line(second, "agent", host, fmt.Sprintf(`"event":3012,"model":"m","version":%d,"phase":%q,"why":"so"`, version, phase)))
	}
	log.WriteString(line(1, "agent", "side-1", `"event":1001`))
	phaseChanged(2, "side-1", 2, "resolving")
	phaseChanged(4, "side-1", 2, "whole")
	phaseChanged(3, "side-2", 2, "resolving")
	phaseChanged(5, "side-2", 1, "whole")
	log.WriteString(line(6, "agent", "side-2", `"event":1001`))
	phaseChanged(7, "side-2", 2, "resolving")
	phaseChanged(9, "side-2", 2, "whole")
	phaseChanged(8, "side-3", 1, "whole")
	i := read(t, log.String(), "").Installs("m", 2)
	require.Equal(t, 2, i.Hosts)
	require.Equal(t, []explain.Step{
		{Name: "resolving (so)", Times: []time.Duration{0, 5 * time.Second}},
		{Name: "agent started", Times: []time.Duration{-time.Second, 4 * time.Second}},
		{Name: "whole (so)", Times: []time.Duration{2 * time.Second, 7 * time.Second}},
	}, sorted(i.Steps))
	var out strings.Builder
	require.NoError(t, i.Print(&out))
	require.Contains(t, out.String(), "     2     2.00     7.00     7.00  whole (so)")
}

// sorted returns the steps in the order that the test expects: the median of two times is the later one.
func sorted(steps []explain.Step) []explain.Step {
	order := map[string]int{"resolving (so)": 0, "agent started": 1, "whole (so)": 2}
	list := make([]explain.Step, len(order))
	for _, s := range steps {
		list[order[s.Name]] = s
	}
	return list
}
