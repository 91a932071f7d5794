package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestACallersTimeCountsFromItsHead has a body come long after its head: an upstream is handed what the caller has left by then. It was handed
// all that the caller had at first, and could work for a caller who had gone. What passes on the way of the head to the entry, on a busy machine some
// milliseconds, nobody can tell the entry.
func TestACallersTimeCountsFromItsHead(t *testing.T) {
	t.Parallel()
	const deadline, pause, headsWay = 1500 * time.Millisecond, 700 * time.Millisecond, 100 * time.Millisecond
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	status, err := e.DoSlowly(standin.Request{Path: "/again/1", DeadlineMS: int(deadline.Milliseconds())}, pause)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, desk.Last().Deadline, int((deadline - pause + headsWay).Milliseconds()))
}

// TestARequestWhoseTimeIsOverWithItsBodyIsRefusedAtOnce has a body come after all of its caller's time.
func TestARequestWhoseTimeIsOverWithItsBodyIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	status, err := e.DoSlowly(standin.Request{Path: "/again/1", DeadlineMS: 200}, 400*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Nil(t, desk.Last())
}
