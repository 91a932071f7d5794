package claim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// restoredDriver returns a driver whose partition is read with a head of one era in another era of the store.
func restoredDriver(t *testing.T, headEra, era int64) *partitionDriver {
	d := newPartitionDriver(t, claim.Config{})
	first := d.claim("before", "r0")
	d.step(claim.Loaded{Version: 7, Era: era, Head: claim.Head{Era: headEra}})
	if headEra == era {
		require.NotContains(t, d.verdicts, first, "granted with its commit only")
	} else {
		require.Equal(t, claim.OutcomeUnknown, d.verdicts[first])
	}
	return d
}

// TestKeysFromBeforeARestoreAreNotGranted guards against a call that runs twice, since its claim is missing in the copy from which the store
// was restored, and against a partition that refuses keys for good afterwards. The head that is written next tells later owners.
func TestKeysFromBeforeARestoreAreNotGranted(t *testing.T) {
	d := restoredDriver(t, 1, 2)
	d.now = d.now.Add(claim.MaxRestoreSkew)
	op := d.claim("after", "r1")
	d.advance(time.Second / 2)
	commit, ok := d.pendingCall.(claim.Commit)
	require.True(t, ok)
	require.Equal(t, int64(2), commit.Head.Era)
	require.NotZero(t, commit.Head.RestoredAt)
	d.step(claim.Committed{Version: 8})
	require.Equal(t, claim.Granted, d.verdicts[op])

	later := newPartitionDriver(t, claim.Config{})
	op = later.claim("before", "r2")
	later.step(claim.Loaded{Version: 8, Era: 2, Head: commit.Head})
	require.Equal(t, claim.OutcomeUnknown, later.verdicts[op])
}

// TestKeysAreGrantedInTheEraOfTheHead guards against a partition that takes each first read for a restore.
func TestKeysAreGrantedInTheEraOfTheHead(t *testing.T) {
	restoredDriver(t, 2, 2)
}

// TestUntimedKeysAreRefusedForTheTimeOfResendsAfterARestore guards against a call with an untimed key that runs twice: its repeat looks like a new
// call.
func TestUntimedKeysAreRefusedForTheTimeOfResendsAfterARestore(t *testing.T) {
	d := restoredDriver(t, 1, 2)
	untimed := func(request string) uint64 {
		d.opCount++
		c := claim.Claim{Key: claim.HashKey("t", "s", request), RequestID: request, Fingerprint: 1, RunTimeoutMS: 1000}
		d.step(claim.ClaimRequested{Op: d.opCount, Claim: c, Deadline: d.now.Add(time.Second)})
		return d.opCount
	}
	require.Equal(t, claim.OutcomeUnknown, d.verdicts[untimed("r1")])
	d.now = d.now.Add(claim.MinRetention)
	op := untimed("r2")
	require.NotContains(t, d.verdicts, op)
}
