package claims_test

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// TestCallRunsOnceThoughItsClaimIsLostByARestore guards against a call that runs again because the object API came back from a backup that
// lacks the record of its key. The repeat comes through the owner that knew the claim, and through a process that starts afterwards.
func TestCallRunsOnceThoughItsClaimIsLostByARestore(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	backup := cl.objectAPI.Backup()
	c := newClaim(f.key, uuid.NewString())
	require.Equal(t, claim.Granted, f.third.Claim(t.Context(), c).Verdict)
	cl.runCall(f.key, c.RequestID)
	cl.objectAPI.Restore(backup)
	require.NotEqual(t, claim.Granted, f.attempt(f.next).verdict)
	for _, n := range cl.nodes {
		n.kill()
	}
	fresh := cl.startNode()
	for range 3 {
		require.NotEqual(t, claim.Granted, fresh.Claim(t.Context(), newClaim(f.key, uuid.NewString())).Verdict)
	}
}
