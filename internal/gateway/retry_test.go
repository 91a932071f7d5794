package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// retryCauses are the causes that a retry may have.
var retryCauses = []string{"not sent", "not connected", "taken back before it was sent", "declined", "misdirected", "failed by the upstream", "broken", "silent", "withdrawn", "hedge"}

// startWithRetries starts an entry that may retry as often as it likes, and whose metrics the test reads.
func startWithRetries(t *testing.T, fleet *standin.Fleet) (*entry, *telemetry.Metrics) {
	t.Helper()
	metrics := telemetry.NewMetrics()
	host := fleet.Host(standin.NextIP(), false)
	host.Retries.Ratio = 100
	g := gateway.New(host, zerolog.Nop(), metrics, nil)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == 200 }, testTimeout, pollInterval)
	return e, metrics
}

// TestEachRetryThatReachesAnUpstreamIsCounted guards against retries that the budget does not count, because their first attempt is taken for
// not sent although it reached its upstream. Upstreams show every fault, fall silent, and close their ports for a while.
func TestEachRetryThatReachesAnUpstreamIsCounted(t *testing.T) {
	t.Parallel()
	faults := []standin.Fault{
		standin.Decline, standin.Misdirect, standin.Fail, standin.DropResponse, standin.OtherRequest, standin.BreakMidEvent, standin.Unsealed,
		standin.ShortBody, standin.SilentInQueue, standin.SilentBeforeHead, standin.SilentBetweenEvents, standin.SilentMidEvent,
	}
	fleet := standin.NewFleet(t)
	fleet.AddStream("/many/", true)
	fleet.Faults.SetSilence(1700 * time.Millisecond)
	var upstreams []*standin.Upstream
	for i := range 8 {
		upstreams = append(upstreams, fleet.AddEngine(fmt.Sprintf("i-%d", i), standin.NextIP(), 1), fleet.AddService(fmt.Sprintf("d-%d", i)))
	}
	e, metrics := startWithRetries(t, fleet)
	random := rand.New(rand.NewPCG(1, 3))
	var mu sync.Mutex
	var ids []string
	var callers sync.WaitGroup
	for i := range 600 {
		if random.IntN(4) == 0 {
			fleet.Faults.Next(faults[random.IntN(len(faults))])
		}
		switch u := upstreams[random.IntN(len(upstreams))]; random.IntN(60) {
		case 0:
			u.SetUnavailable(200 * time.Millisecond)
		case 1:
			u.FallSilent(1700 * time.Millisecond)
		case 2, 3:
			fleet.Faults.Next(standin.CrashMidAnswer) // Closes its port for a while.
		}
		callers.Go(func() {
			r := e.Post(fmt.Sprintf("%s%d", []string{"/many/", "/again/"}[i%2], i))
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, r.ID)
		})
		time.Sleep(8 * time.Millisecond)
	}
	callers.Wait()
	repeats := 0
	for _, id := range ids {
		arrivals := 0
		for _, u := range upstreams {
			arrivals += len(u.Received(id))
		}
		repeats += max(0, arrivals-1)
	}
	counted := 0
	for _, cause := range retryCauses {
		n := int(metrics.Retries.Value(cause, "true"))
		counted += n
		t.Logf("%s: %d counted, %d not counted", cause, n, metrics.Retries.Value(cause, "false"))
	}
	t.Logf("%d repeats reached an upstream, the budget counted %d", repeats, counted)
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, counted)
}
