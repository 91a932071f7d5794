package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// TestRetryIsNotRefusedOnAnEstimate guards against refusing a retry because this entry's estimate says that the other
// upstream is full. The agent of that upstream knows the actual load, and the retry budget keeps retries few.
func TestRetryIsNotRefusedOnAnEstimate(t *testing.T) {
	dir := fixedDirectory{
		{Address: "a", Upstream: member.Upstream{Name: "e"}},
		{Address: "b", Upstream: member.Upstream{Name: "e"}},
	}
	s := request.NewState()
	statuses := suspect.NewState()
	now := time.Unix(1000, 0)
	reduce := func(ev step.Event) []step.Effect {
		return s.Reduce(step.Input{Now: now, Event: ev}, dir, statuses)
	}
	effects := reduce(request.Received{
		ID: "r", Team: "karrakin", Service: "summary-model", Deadline: now.Add(time.Minute), Replayable: true,
		Terms: request.Terms{Account: "x"},
	})
	require.Len(t, effects, 1)
	first := effects[0].(request.Send)
	other := dir[0]
	if first.Target.Address == "a" {
		other = dir[1]
	}
	s.Routing.Reported(now, "settings/karrakin/summary-model", other, routing.Report{Running: 4, Limit: 4})
	effects = reduce(request.AttemptFailed{ID: "r", Attempt: 1, Code: code.UpstreamDied, Ran: code.Unknown})
	require.Len(t, effects, 1)
	require.IsType(t, request.Send{}, effects[0])
	require.Equal(t, other.Address, effects[0].(request.Send).Target.Address)
}
