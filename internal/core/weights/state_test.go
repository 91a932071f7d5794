package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// singleHost is a host without peers that has begun to fetch a version.
func singleHost(t *testing.T, v *version) (*weights.State, []step.Effect) {
	t.Helper()
	s := weights.NewState(weights.Peer{Address: "a", Place: "p", Region: "r"})
	first := s.SetWants(at(0, nil), []weights.Want{wantOf(v)})
	require.Equal(t, []step.Effect{weights.FetchManifest{Ref: weights.Ref{Version: v.digest}, Digest: v.digest, From: weights.Origin}}, first)
	return s, s.Reduce(at(0, weights.ManifestRead{Digest: v.digest, Manifest: v.manifest, From: weights.Origin}))
}

func wantOf(v *version) weights.Want {
	return weights.Want{Ref: weights.Ref{Version: v.digest}, Digest: v.digest, Policy: setting.OriginFirst}
}

func at(d time.Duration, ev step.Event) step.Input {
	return step.Input{Now: time.Unix(0, 0).Add(d), Rand: 7, Event: ev}
}

// TestSupersededTransferIsCancelled checks that fetches of a superseded version are cancelled, and
// that its chunks are kept until the new version is complete, because both may share chunks.
func TestSupersededTransferIsCancelled(t *testing.T) {
	older, newer := newVersion("v1", 4, 2), newVersion("v2", 4, 2)
	s, effects := singleHost(t, older)
	fetch := effects[0].(weights.FetchChunk)
	effects = s.SetWants(at(time.Second, nil), []weights.Want{wantOf(newer)})
	require.Contains(t, effects, weights.CancelFetch{ID: fetch.ID})
	require.Contains(t, effects, weights.Retired{Digest: older.digest})
	require.NotContains(t, effects, weights.Dropped{Digest: older.digest})
	late := weights.ChunkStored{Digest: older.digest, Index: fetch.Index, Fetch: fetch.ID, From: weights.Origin}
	require.Empty(t, s.Reduce(at(time.Second, late)))
	effects = s.Reduce(at(2*time.Second, weights.ManifestRead{Digest: newer.digest, Manifest: newer.manifest, Held: []int{0, 1, 2, 3}}))
	require.Contains(t, effects, weights.Dropped{Digest: older.digest})
	require.True(t, s.Complete(newer.digest))
}

// TestRollbackInTheMiddle checks that after a rollback, the chunks of the old version that are
// still held are reused.
func TestRollbackInTheMiddle(t *testing.T) {
	older, newer := newVersion("v1", 4, 0), newVersion("v2", 4, 0)
	s := weights.NewState(weights.Peer{Address: "a", Place: "p", Region: "r"})
	s.SetWants(at(0, nil), []weights.Want{wantOf(older)})
	s.Reduce(at(0, weights.ManifestRead{Digest: older.digest, Manifest: older.manifest, Held: []int{0, 1, 2, 3}}))
	s.SetWants(at(time.Second, nil), []weights.Want{wantOf(newer)})
	require.False(t, s.Complete(older.digest))
	effects := s.SetWants(at(2*time.Second, nil), []weights.Want{wantOf(older)})
	require.Contains(t, effects, weights.Returned{Digest: older.digest})
	require.False(t, s.Complete(older.digest), "the chunk memory has not reported yet which chunks are left")
	effects = s.Reduce(at(2*time.Second, weights.ManifestRead{Digest: older.digest, Manifest: older.manifest, Held: []int{0, 1, 2, 3}}))
	require.True(t, s.Complete(older.digest))
	require.Contains(t, effects, weights.Dropped{Digest: newer.digest})
}

// TestMemoryTooSmallIsReportedAndRetried checks that a host that can't hold a version reports the
// result code and retries at intervals instead of failing or retrying continuously.
func TestMemoryTooSmallIsReportedAndRetried(t *testing.T) {
	v := newVersion("v1", 4, 0)
	s := weights.NewState(weights.Peer{Address: "a", Place: "p", Region: "r"})
	s.SetWants(at(0, nil), []weights.Want{wantOf(v)})
	s.Reduce(at(0, weights.ManifestFailed{Digest: v.digest, From: weights.Origin, Code: code.MemoryTooSmall}))
	require.Equal(t, code.MemoryTooSmall, s.View(at(0, nil).Now)[0].BlockedBy)
	require.Empty(t, s.Reduce(at(time.Second, step.Tick{})))
	require.NotEmpty(t, s.Reduce(at(6*time.Second, step.Tick{})))
	s.Reduce(at(6*time.Second, weights.ManifestRead{Digest: v.digest, Manifest: v.manifest}))
	require.Zero(t, s.View(at(0, nil).Now)[0].BlockedBy)
}

// TestUploadsAreBounded checks that a few uploads start, some wait with delegates from other data
// centres first, and the rest are rejected.
func TestUploadsAreBounded(t *testing.T) {
	s := weights.NewState(weights.Peer{Address: "a", Place: "p", Region: "r"})
	v := newVersion("v1", 4, 0)
	w := wantOf(v)
	w.Peers = []weights.Peer{{Address: "near", Place: "p", Region: "r"}, {Address: "far", Place: "q", Region: "s"}}
	s.SetWants(at(0, nil), []weights.Want{w})
	ask := func(call uint64, from string) []step.Effect {
		return s.Reduce(at(0, weights.UploadRequested{Call: call, From: from, Size: 1}))
	}
	require.Equal(t, []step.Effect{weights.StartUpload{Call: 1}}, ask(1, "near"))
	require.Equal(t, []step.Effect{weights.StartUpload{Call: 2}}, ask(2, "near"))
	for call := uint64(3); call <= 5; call++ {
		require.Empty(t, ask(call, "near"))
	}
	require.Equal(t, []step.Effect{weights.RefuseUpload{Call: 6}}, ask(6, "near"))
	require.Empty(t, ask(7, "far"))
	require.Empty(t, s.Reduce(at(0, weights.UploadEnded{Call: 3})), "the caller gave up waiting")
	require.Equal(t, []step.Effect{weights.StartUpload{Call: 7}}, s.Reduce(at(0, weights.UploadEnded{Call: 1, Sent: 1})))
	require.Equal(t, []step.Effect{weights.StartUpload{Call: 4}}, s.Reduce(at(0, weights.UploadEnded{Call: 7, Sent: 1})))
	require.Empty(t, s.Reduce(at(0, weights.UploadEnded{Call: 7, Sent: 1})), "the upload has already ended")
	require.Equal(t, int64(1), s.Uploads.Sent[weights.Fleet])
}

// feedFirstBytes returns a function that feeds a host n first-byte times, one every 100 ms. The
// times may depend on the share that transfers use.
func feedFirstBytes(s *weights.State) func(n int, took func(share float64) time.Duration) {
	now := time.Duration(0)
	return func(n int, took func(share float64) time.Duration) {
		for range n {
			now += 100 * time.Millisecond
			s.Reduce(at(now, weights.FirstByte{Upstream: "e1", Latency: took(s.Yield.Share)}))
			s.Reduce(at(now, step.Tick{}))
		}
	}
}

func constant(took time.Duration) func(float64) time.Duration {
	return func(float64) time.Duration { return took }
}

// TestTransfersYield checks that the share of the link shrinks while that helps live requests, and
// grows back afterwards.
func TestTransfersYield(t *testing.T) {
	s := weights.NewState(weights.Peer{Address: "a"})
	pass := feedFirstBytes(s)
	pass(50, constant(10*time.Millisecond))
	require.Equal(t, 1.0, s.Yield.Share)
	pass(100, func(share float64) time.Duration { return time.Duration(share * 80 * float64(time.Millisecond)) })
	require.Less(t, s.Yield.Share, 0.5)
	require.GreaterOrEqual(t, s.Yield.Share, 0.3)
	pass(200, constant(10*time.Millisecond))
	require.Equal(t, 1.0, s.Yield.Share)
}

// TestYieldEndsWhenItDoesNotHelp guards against transfers that stay slow although live requests are
// delayed by something else.
func TestYieldEndsWhenItDoesNotHelp(t *testing.T) {
	s := weights.NewState(weights.Peer{Address: "a"})
	pass := feedFirstBytes(s)
	pass(50, constant(10*time.Millisecond))
	pass(20, constant(40*time.Millisecond))
	require.Less(t, s.Yield.Share, 1.0)
	pass(30, constant(40*time.Millisecond))
	require.Equal(t, 1.0, s.Yield.Share)
	pass(200, constant(40*time.Millisecond))
	require.Equal(t, 1.0, s.Yield.Share, "the share does not shrink again immediately")
}

// TestGoneVersionDoesNotCountAsAnOutage guards against an origin that counts as slow or unreachable because it no longer sends one version. The
// versions that it sends were then predicted as unknown, and never waited for.
func TestGoneVersionDoesNotCountAsAnOutage(t *testing.T) {
	const rate = 50000
	v := newVersion("v1", 4, 0)
	s, effects := singleHost(t, v)
	s.AssumeOriginRate(rate)
	fetch := effects[0].(weights.FetchChunk)
	s.Reduce(at(time.Second, weights.ChunkFailed{Digest: v.digest, Index: fetch.Index, Fetch: fetch.ID, From: weights.Origin, Reason: weights.Gone}))
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		input := at(now, step.Tick{})
		s.Reduce(input)
		transfer := s.Transfers(input.Now)[v.digest]
		require.True(t, transfer.Gone)
		require.Positive(t, transfer.FleetLacks)
		require.False(t, transfer.Stalled || s.OriginAway(input.Now), "%v", now)
		require.InDelta(t, rate, s.OriginRate(input.Now), 0, "%v", now)
	}
}
