package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/platform"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestQuarantineOutlastsAllProcesses guards against a start of everything after which a part crashes engines again, and against an operator's
// lift that does not reach entries. Requests without the part are served all the while.
func TestQuarantineOutlastsAllProcesses(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-engine", standin.NextIP(), 1)
	q := attribution.Recorded{Part: 0xc1, Generation: 1, StartedAt: time.Now(), Crashes: 3}
	require.NoError(t, fleet.Client().RecordQuarantine(context.Background(), q))
	e := start(t, fleet)
	send := func(parts ...string) standin.Reply {
		return e.Do(context.Background(), standin.Request{Path: "/stream/1", SharedParts: parts})
	}
	require.Eventually(t, func() bool { return send("f1", "c1").Status == http.StatusServiceUnavailable }, testTimeout, pollInterval)
	r := send("f1", "c1")
	require.Contains(t, r.Body, "2013")
	require.Contains(t, r.Body, `"ran":"not run"`)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, send("f1").Status)
	require.Equal(t, http.StatusOK, send("f1", "d2").Status)
	objects, _, err := fleet.Client().List(context.Background(), platform.QuarantineKind, false)
	require.NoError(t, err)
	q, err = platform.DecodeQuarantine(objects[0])
	require.NoError(t, err)
	q.Lifted = true
	require.NoError(t, fleet.Client().RecordQuarantine(context.Background(), q))
	require.Eventually(t, func() bool { return send("f1", "c1").Status == http.StatusOK }, testTimeout, pollInterval)
}

// TestQuarantineIsRecordedInTheStore guards against a quarantine that operators can't see, and that a start of everything loses.
func TestQuarantineIsRecordedInTheStore(t *testing.T) {
	t.Parallel()
	run := newCrashingPartRun(t, 1, 6)
	run.fleet.Crashing.Set(crashPart, 1, false)
	for range 40 {
		require.Equal(t, http.StatusOK, run.send([]string{firstPart}).Status)
	}
	require.Eventually(t, func() bool {
		run.send([]string{firstPart, crashPart})
		objects, _, err := run.fleet.Client().List(context.Background(), platform.QuarantineKind, false)
		return err == nil && len(objects) == 1 && objects[0].Name == crashPart
	}, testTimeout, 100*time.Millisecond)
	require.LessOrEqual(t, len(run.fleet.Crashing.Crashes()), toleratedCrashes)
}
