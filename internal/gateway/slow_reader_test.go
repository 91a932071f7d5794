package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// slowReaders is an entry of 184 MB with an engine whose streams are larger than the buffers of connections, and n callers that read nothing.
func slowReaders(t *testing.T, n, events, eventBytes int) (*entry, *standin.Upstream) {
	t.Helper()
	fleet := standin.NewFleet(t)
	fleet.Slots = n + 10
	fleet.Configure()
	engine := fleet.AddEngine("i-engine", standin.NextIP(), 1)
	engine.Events, engine.Pace, engine.EventBytes = events, time.Millisecond, eventBytes
	host := fleet.Host(standin.NextIP(), false)
	host.Memory = 184 << 20
	e := startHost(t, fleet, host)
	for range n {
		unread, err := e.AskOnly(standin.Request{Path: "/stream/1", DeadlineMS: 20000})
		require.NoError(t, err)
		t.Cleanup(func() { _ = unread.Close() })
	}
	return e, engine
}

// TestAnEngineIsReadWhoeverReadsSlowly guards against an engine whose answer is left unread, which it cuts off after some seconds, because its
// caller does not read.
func TestAnEngineIsReadWhoeverReadsSlowly(t *testing.T) {
	t.Parallel()
	const events = 40
	_, engine := slowReaders(t, 1, events, 256<<10)
	require.Eventually(t, func() bool { return engine.Ended() == 1 }, patience, pollInterval)
}

// TestAThousandSlowReadersStayWithinTheMemory guards against a process that holds what a thousand callers do not read until it is killed, and
// against one that serves nobody else meanwhile.
func TestAThousandSlowReadersStayWithinTheMemory(t *testing.T) {
	t.Parallel()
	const readers, events, eventBytes = 1000, 8, 128 << 10
	e, engine := slowReaders(t, readers, events, eventBytes)
	require.Eventually(t, func() bool { return e.gateway.Held() > 0 }, patience, pollInterval)
	most := int64(0)
	require.Eventually(t, func() bool {
		most = max(most, e.gateway.Held())
		r := e.Post("/stream/1")
		most = max(most, e.gateway.Held())
		return r.Err == nil && r.Status == 200 && strings.Count(r.Body, "id:") == events && engine.Ended() > 0
	}, patience, pollInterval, "others are served")
	require.LessOrEqual(t, most, int64(184<<20)/4, "a quarter of the process's memory")
}
