package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestAnswerOutlastsSilenceOfItsUpstream guards against an answer that is cut or refused because its upstream is silent for more than a second,
// while no other upstream could give it.
func TestAnswerOutlastsSilenceOfItsUpstream(t *testing.T) {
	t.Parallel()
	const silence = 1700 * time.Millisecond
	for _, c := range []struct {
		name, path string
		silent     func(engine, desk *standin.Upstream)
	}{
		{"between two events", "/stream/1", func(engine, _ *standin.Upstream) { engine.Events, engine.EventInterval = 2, silence }},
		{"before the first event", "/stream/1", func(engine, _ *standin.Upstream) { time.AfterFunc(silence, engine.Hold()) }},
		{"before a plain answer", "/again/1", func(_, desk *standin.Upstream) { time.AfterFunc(silence, desk.Hold()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			engine, desk := fleet.AddEngine("i-1", standin.NextIP(), 1), fleet.AddService("i-2")
			e := start(t, fleet)
			c.silent(engine, desk)
			r := e.Post(c.path)
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusOK, r.Status, r.Body)
			if c.path == "/stream/1" {
				require.Equal(t, streamBody(engine.Events), r.Body)
			}
			require.Equal(t, 1, engine.Runs(r.ID)+desk.Runs(r.ID))
		})
	}
}

// TestSilentStreamIsResumedElsewhere guards against a stream that waits for a dead engine while another one has capacity, and against events
// that are missing or double where it goes on.
func TestSilentStreamIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	first := fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	first.EventInterval = time.Minute
	reply := make(chan standin.Reply, 1)
	sentAt := time.Now()
	go func() { reply <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return first.LastRun() != nil }, testTimeout, pollInterval)
	second := fleet.AddEngine("i-2", standin.NextIP(), 1)
	time.AfterFunc(2300*time.Millisecond, second.Hold()) // A caller without any event would have left by then.
	r := <-reply
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(second.Events), r.Body)
	require.Equal(t, "1", second.LastRun().Header.Get("Last-Event-Id"))
	require.Less(t, time.Since(sentAt), 3200*time.Millisecond, "the hold and the rest of the answer")
	require.Eventually(t, func() bool { return first.CancelledRuns() == 1 }, testTimeout, pollInterval)
}
