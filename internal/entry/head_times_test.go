package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestLateEntryWaitsLongerForAgents guards against a second run of a request whose agent is given up by an entry that is late itself, or whose
// agent was slow lately, and against a wait without an end.
func TestLateEntryWaitsLongerForAgents(t *testing.T) {
	const agent, delay = "127.0.0.1:1", 700 * time.Millisecond
	now := time.Now()
	monitor := owndelay.New(zerolog.Nop(), telemetry.NewMetrics(), time.Second, nil)
	e := &Entry{Process: &node.Process{OwnDelay: monitor}}
	require.Equal(t, frame.HeadTimeout, e.headTimeout(agent, now, frame.HeadTimeout))
	e.headTimes.record(agent, now, time.Second)
	require.Equal(t, 3*time.Second, e.headTimeout(agent, now, frame.HeadTimeout))
	monitor.Record(owndelay.Second{Delay: delay})
	require.Equal(t, 3*time.Second+2*delay, e.headTimeout(agent, now, frame.HeadTimeout))
	monitor.Record(owndelay.Second{Delay: time.Minute})
	require.Equal(t, maxHeadTimeout, e.headTimeout(agent, now, frame.HeadTimeout))
}
