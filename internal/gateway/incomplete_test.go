package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestIncompleteAnswersAreReported guards against requests that end with neither an answer nor a refusal and leave no trace by which the
// cause can be told.
func TestIncompleteAnswersAreReported(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cause string
		fail  func(*testing.T, *standin.Fleet, *standin.Caller)
	}{
		{"caller left", func(t *testing.T, fleet *standin.Fleet, caller *standin.Caller) {
			fleet.Faults.Next(standin.Hang)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			require.Error(t, caller.Do(ctx, standin.Request{Path: "/stream/1"}).Err)
		}},
		{"answer aborted", func(t *testing.T, fleet *standin.Fleet, caller *standin.Caller) {
			fleet.Faults.Next(standin.BreakMidEvent)
			require.Error(t, caller.Post("/stream/1").Err, "no other engine can continue the stream")
		}},
	} {
		t.Run(c.cause, func(t *testing.T) {
			t.Parallel()
			fleet, log, metrics := standin.NewFleet(t), &standin.Log{}, telemetry.NewMetrics()
			fleet.AddEngine("i-1", standin.NextIP(), 1)
			host := fleet.Host(standin.NextIP(), false)
			g := gateway.New(host, zerolog.New(log), metrics, nil)
			e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: "r"}, host: host, gateway: g, stop: fleet.Run(g.Run)}
			require.Eventually(t, func() bool { return e.ready() == 200 }, testTimeout, pollInterval)
			c.fail(t, fleet, &e.Caller)
			require.Eventually(t, func() bool { return log.Contains(`"event":4025,"request":"r-1"`) }, testTimeout, pollInterval)
			require.True(t, log.Contains(`"cause":"`+c.cause+`"`), log.String())
			require.EqualValues(t, 1, metrics.AnswersIncomplete.Value(c.cause))
			require.Equal(t, 200, e.Post("/stream/2").Status)
			require.Equal(t, 1, log.Count(`"event":4025`), "a complete answer is not reported")
		})
	}
}
