package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestOnlyRoutingChangesArePublishedAtOnce checks that an upstream that starts or stops serving is published at once, and
// that other phase changes produce at most one record in MinPhasesInterval. Each record is sent to every entry, so a host
// that fetches and loads would otherwise flood them. The last change must still be published.
func TestOnlyRoutingChangesArePublishedAtOnce(t *testing.T) {
	upstream := rollout.Upstream{Upstream: member.Upstream{Name: "p", Team: "t", Service: "s", Kind: setting.Plain}}
	s := core.NewState(core.Self{Host: "h", Address: "a:1", Role: member.Agent, Incarnation: 1}, []rollout.Upstream{upstream})
	now := time.Unix(1000, 0)
	reduce := func(ev step.Event) { s.Reduce(step.Input{Now: now, Event: ev}) }
	version := func() uint64 { return s.Records.Records[record.PhasePrefix+"a:1"].Version.Minor }
	publishesAtOnce := func(phase member.Phase) bool {
		before := version()
		s.Rollout.Upstreams["p"].Phase = phase
		reduce(core.StopRequested{})
		return version() > before
	}
	reduce(core.Started{})
	require.True(t, publishesAtOnce(member.Idle), "stops serving")
	require.False(t, publishesAtOnce(member.Loading))
	require.True(t, publishesAtOnce(member.Serving), "serves")
	require.True(t, publishesAtOnce(member.Down), "stops serving")
	published := version()
	for n := range 600 {
		s.Rollout.Upstreams["p"].Phase = []member.Phase{member.Loading, member.Idle}[n%2]
		reduce(core.StopRequested{})
		now = now.Add(step.TickInterval)
		reduce(step.Tick{})
	}
	require.LessOrEqual(t, version()-published, uint64(time.Minute/core.MinPhasesInterval)+1, "records in a minute of changes")
	now = now.Add(core.MinPhasesInterval)
	reduce(step.Tick{})
	require.Contains(t, string(s.Records.Records[record.PhasePrefix+"a:1"].Value), `"u":"i"`, "the last change is published")
}
