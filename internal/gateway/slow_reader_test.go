package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// startWithSlowReaders starts an entry with 184 MB of memory, an engine whose streams exceed the connections' buffers, and n
// callers that read nothing.
func startWithSlowReaders(t *testing.T, n, events, eventBytes int) (*entry, *standin.Upstream) {
	t.Helper()
	fleet := standin.NewFleet(t)
	fleet.Slots = n + 10
	fleet.WriteManifest()
	engine := fleet.AddEngine("i-engine", standin.NextIP(), 1)
	engine.Events, engine.EventInterval, engine.EventPadding = events, time.Millisecond, eventBytes
	host := fleet.Host(standin.NextIP(), false)
	host.MemoryBytes = 184 << 20
	e := startHost(t, fleet, host)
	for range n {
		unread, err := e.SendWithoutReading(standin.Request{Path: "/stream/1", DeadlineMS: 20000})
		require.NoError(t, err)
		t.Cleanup(func() { _ = unread.Close() })
	}
	return e, engine
}

// TestEngineIsReadDespiteSlowCaller guards against a response that is left unread because its caller does not read. The engine
// closes such a connection after some seconds.
func TestEngineIsReadDespiteSlowCaller(t *testing.T) {
	t.Parallel()
	const events = 40
	_, engine := startWithSlowReaders(t, 1, events, 256<<10)
	require.Eventually(t, func() bool { return engine.CompletedStreams() == 1 }, testTimeout, pollInterval)
}

// TestThousandSlowReadersStayWithinMemoryBudget guards against a process that buffers the responses of a thousand slow callers until it is
// killed for its memory use, and against one that meanwhile serves nobody else.
func TestThousandSlowReadersStayWithinMemoryBudget(t *testing.T) {
	t.Parallel()
	const readers, events, eventBytes = 1000, 8, 128 << 10
	e, engine := startWithSlowReaders(t, readers, events, eventBytes)
	require.Eventually(t, func() bool { return e.gateway.MemoryUsed() > 0 }, testTimeout, pollInterval)
	maxUsed := int64(0)
	require.Eventually(t, func() bool {
		maxUsed = max(maxUsed, e.gateway.MemoryUsed())
		r := e.Post("/stream/1")
		maxUsed = max(maxUsed, e.gateway.MemoryUsed())
		return r.Err == nil && r.Status == 200 && strings.Count(r.Body, "id:") == events && engine.CompletedStreams() > 0
	}, testTimeout, pollInterval, "other callers are served")
	require.LessOrEqual(t, maxUsed, int64(184<<20)/4, "a quarter of the process's memory")
}
