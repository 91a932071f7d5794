package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalForAPartNamesItsQuarantine guards against a refusal that an operator can't trace to the crashes that led to it, since these were
// long before and at another entry.
func TestRefusalForAPartNamesItsQuarantine(t *testing.T) {
	logs := line(1, "entry", "edge-2", `"event":4022,"upstream":"i-1","broken":3`) +
		line(2, "entry", "edge-2", `"event":4024,"part":"0000beef","change":"started","crashes":3`) +
		line(3, "entry", "edge-2", `"event":4024,"part":"5c1e07a2","change":"started","crashes":4`) +
		line(3, "entry", "edge-1", `"event":4024,"part":"5c1e07a2","change":"reported","crashes":4`) +
		line(50, "entry", "edge-1", `"event":4001,"request":"abc","code":2013,"ran":"not run","why":"part 5c1e07a2 of its prompt crashed upstreams; requests with it are not sent"`)
	v, ok := read(t, logs, "").Explain("abc")
	require.True(t, ok)
	require.Nil(t, v.Refusal, "capacity has no part in it")
	require.Contains(t, v.Cause, "quarantined by edge-2")
	require.Contains(t, v.Cause, "after 4 crashes")
	require.Len(t, v.Related, 2)
	require.Equal(t, "i-1", v.Related[0].Upstream)
	require.Equal(t, "5c1e07a2", v.Related[1].Part)
	var out strings.Builder
	require.NoError(t, v.Print(&out))
	require.Contains(t, out.String(), "part=5c1e07a2")
	losses := read(t, logs, "").Losses()
	require.Len(t, losses.ByReason, 1)
	require.Contains(t, losses.ByReason[0].Reason, "crashed upstreams")
}
