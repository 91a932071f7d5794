package gateway_test

import (
	"context"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestOwnDelayReachesTheReducerAndTheLog guards against an entry that measures its own delay and does nothing with it, or does not measure it
// while it runs.
func TestOwnDelayReachesTheReducerAndTheLog(t *testing.T) {
	t.Parallel()
	fleet, log, metrics := standin.NewFleet(t), &standin.Log{}, telemetry.NewMetrics()
	g := gateway.New(fleet.Host(standin.NextIP(), false), zerolog.New(log), metrics, nil)
	g.OwnDelay().Record(owndelay.Second{Delay: time.Hour, OwnShare: 1})
	require.Equal(t, selflimit.MinRequests, g.MaxInFlight())
	require.True(t, log.Contains(`"event":1008`))
	fleet.Run(g.Run)
	require.Eventually(t, func() bool { return metrics.OwnDelay.Value() < time.Hour }, testTimeout, pollInterval, "a running entry measures")
	require.Eventually(t, func() bool { return g.MaxInFlight() == 0 }, testTimeout, pollInterval, "and the reducer learns of it")
}

// TestEntryThatIsLateByOwnWorkRefusesNewRequests guards against a caller that waits at an entry which can't keep up, or that is told that its
// request may have run, or not told when to come back.
func TestEntryThatIsLateByOwnWorkRefusesNewRequests(t *testing.T) {
	t.Parallel()
	fleet, log := standin.NewFleet(t), &standin.Log{}
	fleet.Slots = 10 * selflimit.MinRequests
	fleet.AddService("i-1")
	host := fleet.Host(standin.NextIP(), false)
	g, caller := gateway.New(host, zerolog.New(log), telemetry.NewMetrics(), nil), standin.Caller{Address: host.CallersListen, Name: t.Name()}
	g.SetUpstreamTransport(hangingTransport{})
	fleet.Run(g.Run)
	ctx, cancel := context.WithCancel(context.Background())
	var others sync.WaitGroup
	for range 3 * selflimit.MinRequests {
		others.Go(func() {
			for ctx.Err() == nil {
				caller.Do(ctx, standin.Request{Path: "/once/1"})
			}
		})
	}
	lateByOwnWork := regexp.MustCompile(`"request":"([^"]+)","code":2003,"ran":"not run","why":"this process is late by its own work`)
	require.Eventually(t, func() bool {
		g.Step(selflimit.OwnDelay{Delay: time.Second, OwnShare: 1})
		r := caller.Post("/once/1")
		line := lateByOwnWork.FindAllStringSubmatch(log.String(), -1)
		refused := slices.ContainsFunc(line, func(found []string) bool { return found[1] == r.ID })
		return refused && r.Status == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != "" && strings.Contains(r.Body, `"ran":"not run"`)
	}, testTimeout, pollInterval)
	cancel()
	others.Wait()
}
