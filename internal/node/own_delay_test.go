package node_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/owndelay"
)

func maxInFlight(p *node.Process) int {
	n := 0
	p.Loop.View(func(s *core.State) { n = s.Requests.MaxInFlight() })
	return n
}

// TestOwnDelayReachesTheReducerAndTheLog guards against an entry or an agent that measures its own delay and does nothing with it, or does not
// measure it while it runs.
func TestOwnDelayReachesTheReducerAndTheLog(t *testing.T) {
	s := newSite(t, 0)
	for _, role := range []member.Role{member.Entry, member.Agent} {
		log := &bytes.Buffer{}
		p := s.newProcess("host", "place-0", role, nil, zerolog.New(log))
		p.OwnDelay.Record(owndelay.Second{Delay: time.Hour, OwnShare: 1})
		require.Equal(t, selflimit.MinRequests, maxInFlight(p), role)
		require.Contains(t, log.String(), `"event":1008`, role)
		s.run(p)
		require.Eventually(t, func() bool { return p.Telemetry.Metrics.OwnDelay.Value() < time.Hour }, limit, 20*time.Millisecond, role)
		require.Eventually(t, func() bool { return maxInFlight(p) == 0 }, limit, 20*time.Millisecond, "%s: the reducer learns of it", role)
	}
}
