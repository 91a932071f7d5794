package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestDeadlineCountsFromRequestHead guards against an upstream that works for a caller which has already left. This happens if the deadline
// that the entry passes on does not include the time spent reading a slow body. The entry can't know how long the head was in
// transit, which takes some milliseconds on a busy machine.
func TestDeadlineCountsFromRequestHead(t *testing.T) {
	t.Parallel()
	const deadline, bodyDelay, headTransit = 1500 * time.Millisecond, 700 * time.Millisecond, 100 * time.Millisecond
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	status, err := e.DoWithSlowBody(standin.Request{Path: "/again/1", DeadlineMS: int(deadline.Milliseconds())}, bodyDelay)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, desk.LastRun().DeadlineMS, int((deadline - bodyDelay + headTransit).Milliseconds()))
}

// TestRequestThatExpiresWhileReadingBodyIsRefused guards against sending a request whose deadline passed while its body was read.
func TestRequestThatExpiresWhileReadingBodyIsRefused(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	status, err := e.DoWithSlowBody(standin.Request{Path: "/again/1", DeadlineMS: 200}, 400*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Nil(t, desk.LastRun())
}
