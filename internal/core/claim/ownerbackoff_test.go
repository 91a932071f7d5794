package claim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// TestUnresponsiveOwnerIsRetriedWithBackoff guards against many claims that wait for an owner that does not answer.
// After each backoff one claim calls it again, and the backoff doubles up to the max until it answers.
func TestUnresponsiveOwnerIsRetriedWithBackoff(t *testing.T) {
	s := claim.NewOwnerBackoff()
	now := time.UnixMilli(1_800_000_000_000)
	const probe = time.Second
	require.True(t, s.MayCall(now, "a", probe))
	require.True(t, s.MayCall(now, "a", probe), "no failure was recorded")
	wait := claim.MinOwnerBackoff
	for range 8 {
		s.RecordFailure(now, "a")
		require.False(t, s.MayCall(now.Add(wait-1), "a", probe))
		now = now.Add(wait)
		require.True(t, s.MayCall(now, "a", probe))
		require.False(t, s.MayCall(now, "a", probe), "only one claim calls the owner after its backoff")
		require.True(t, s.MayCall(now, "b", probe))
		wait = min(2*wait, claim.MaxOwnerBackoff)
	}
	s.RecordSuccess("a")
	require.True(t, s.MayCall(now, "a", probe))
	require.True(t, s.MayCall(now, "a", probe))
}
