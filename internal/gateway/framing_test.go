package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// newUnframedFleet returns a fleet whose upstreams send neither a length nor chunks: an answer ends with its connection.
func newUnframedFleet(t *testing.T) *standin.Fleet {
	fleet := standin.NewFleet(t)
	fleet.Crashing.Unframed = true
	fleet.Crashing.Downtime = time.Minute
	return fleet
}

// TestUnframedAnswerOfALivingUpstreamIsComplete guards against withholding or repeating answers that end with their connection, as they may.
func TestUnframedAnswerOfALivingUpstreamIsComplete(t *testing.T) {
	t.Parallel()
	fleet := newUnframedFleet(t)
	desk, engine := fleet.AddService("i-desk"), fleet.AddEngine("i-engine", standin.NextIP(), 1)
	e := start(t, fleet)
	for range 5 {
		call := e.Post("/once/1")
		require.NoError(t, call.Err)
		require.Equal(t, "answer to "+call.ID+" by i-desk", call.Body)
		require.Equal(t, 1, desk.Runs(call.ID))
		stream := e.Post("/stream/1")
		require.NoError(t, stream.Err)
		require.Equal(t, streamBody(6), stream.Body)
		require.Equal(t, 1, engine.Runs(stream.ID))
	}
}

// TestUnframedStreamOfACrashedUpstreamIsNotComplete guards against taking the end of a crashed upstream's connection, between two events,
// for the end of the answer. A stream that may be resumed goes on at another upstream; any other one must not look complete.
func TestUnframedStreamOfACrashedUpstreamIsNotComplete(t *testing.T) {
	t.Parallel()
	fleet := newUnframedFleet(t)
	fleet.AddStream("/single/", false)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		fleet.AddEngine(id, standin.NextIP(), 1)
	}
	e := start(t, fleet)
	fleet.Faults.Next(standin.CrashMidAnswer)
	r := e.Post("/stream/1")
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(6), r.Body, "it is resumed")
	fleet.Faults.Next(standin.CrashMidAnswer)
	r = e.Post("/single/1")
	require.Error(t, r.Err, "an answer that is cut must not look complete")
	require.Equal(t, streamBody(2), r.Body)
}

// TestUnframedStreamWithoutEventsIsNoAnswer guards against an empty success for a request whose upstream crashed when it began the answer.
func TestUnframedStreamWithoutEventsIsNoAnswer(t *testing.T) {
	t.Parallel()
	fleet := newUnframedFleet(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		fleet.AddEngine(id, standin.NextIP(), 1)
	}
	e := start(t, fleet)
	fleet.Crashing.Set("c1", 0, false)
	r := e.Do(context.Background(), standin.Request{Path: "/stream/1", SharedParts: []string{"c1"}})
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusBadGateway, r.Status)
	require.Empty(t, r.Seal)
	require.Len(t, fleet.Crashing.Crashes(), 2, "two attempts are allowed")
}

// TestUnframedCallOfACrashedUpstreamIsNotComplete guards against passing on a part of an answer as the whole, for calls that run once and for
// calls that may be repeated.
func TestUnframedCallOfACrashedUpstreamIsNotComplete(t *testing.T) {
	t.Parallel()
	fleet := newUnframedFleet(t)
	services := []*standin.Upstream{fleet.AddService("i-1"), fleet.AddService("i-2"), fleet.AddService("i-3")}
	e := start(t, fleet)
	fleet.Faults.Next(standin.CrashMidAnswer)
	r := e.Post("/once/1")
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusBadGateway, r.Status, "it may have run")
	require.Empty(t, r.Seal)
	fleet.Faults.Next(standin.CrashMidAnswer)
	r = e.Post("/again/1")
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusOK, r.Status)
	require.True(t, strings.HasPrefix(r.Body, "answer to "+r.ID+" by "), r.Body)
	runs := 0
	for _, s := range services {
		runs += s.Runs(r.ID)
	}
	require.Equal(t, 2, runs)
}
