package gateway_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestRequestAndEachAttemptHaveSpans guards against attempts that are missing from the caller's trace. The request is declined once.
func TestRequestAndEachAttemptHaveSpans(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddService("i-1")
	fleet.AddService("i-2")
	host := fleet.Host(standin.NextIP(), false)
	spans := tracetest.NewInMemoryExporter()
	g := gateway.New(host, newTestLogger(t), telemetry.NewMetrics(), telemetry.NewTracesWithExporter(spans, "entry", host.Name))
	g.PretendUptime(usualUptime)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, testTimeout, pollInterval)
	fleet.Faults.Next(standin.Decline)
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	r := e.Do(context.Background(), standin.Request{
		Path: "/again/1", Header: http.Header{"Traceparent": {"00-" + parent + "-00f067aa0ba902b7-01"}},
	})
	require.Equal(t, http.StatusOK, r.Status)
	require.Eventually(t, func() bool { return len(spans.GetSpans()) == 3 }, testTimeout, pollInterval)
	names := map[string]int{}
	for _, s := range spans.GetSpans() {
		names[s.Name]++
		require.Equal(t, parent, s.SpanContext.TraceID().String())
	}
	require.Equal(t, map[string]int{"entry request": 1, "entry attempt": 2}, names)
}
