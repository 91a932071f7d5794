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
