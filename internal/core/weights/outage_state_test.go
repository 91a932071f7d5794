package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/step"
)

// TestPeerFailureReportsSuspendFetchesForABoundedTime checks that failures reported by peers count
// once two hosts reported them and nothing came from the origin for a while. They suspend a host
// for the backoff of its rank from then on, however often they are repeated, and never the fetcher
// of an origin part. Otherwise hosts with a broken path to the origin could stop all others.
func TestPeerFailureReportsSuspendFetchesForABoundedTime(t *testing.T) {
	start := time.Unix(1000, 0)
	o := outage{lastOriginChunkAt: start}
	now := start.Add(minOriginSilence)
	o.recordPeerFailure(now, "a", OriginFailure{Widespread: true})
	o.recordPeerFailure(now, "b", OriginFailure{Ago: -time.Hour, Widespread: true})
	o.recordPeerFailure(now, "c", OriginFailure{Ago: time.Hour, Widespread: true})
	require.Empty(t, o.peerFailures, "invalid times and failures before the burst are ignored")
	o.recordPeerFailure(now, "a", OriginFailure{Ago: time.Second})
	o.recordPeerFailure(now, "a", OriginFailure{Ago: time.Second})
	require.False(t, o.ongoing(now), "only the path of one host to the origin may be broken")
	o.recordPeerFailure(now, "b", OriginFailure{Ago: time.Second})
	require.True(t, o.ongoing(now))
	require.False(t, o.suspends(now, 0))
	require.True(t, o.suspends(now, 1))
	for k := range 100 {
		now = now.Add(standbyBackoff / 100)
		o.recordPeerFailure(now, fmt.Sprint(k), OriginFailure{Ago: time.Millisecond})
	}
	require.False(t, o.suspends(now, 1))
	require.True(t, o.suspends(now, 2))
	require.True(t, o.failureReport(now).Widespread)
	o = outage{lastOriginChunkAt: start}
	o.recordPeerFailure(now, "a", OriginFailure{Ago: time.Second})
	require.Zero(t, o.failureReport(now), "the failure of a single host is not forwarded")
	o.recordPeerFailure(now, "d", OriginFailure{Ago: time.Second, Widespread: true})
	require.True(t, o.ongoing(now), "one host reports failures of several")
}

// TestStaleFailureReportsDoNotReopenAnOutage covers hellos that were already in transit when a
// chunk came from the origin. It also checks that the shell is informed once of the start and once
// of the end of an outage.
func TestStaleFailureReportsDoNotReopenAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	b := &Burst{Digest: "d", outage: outage{lastOriginChunkAt: start}}
	now := start.Add(time.Second)
	b.outage.recordOwnFailure(now)
	require.Equal(t, []step.Effect{OriginOutageChanged{Digest: "d", Down: true, OwnFetch: true, Lasted: time.Second}}, b.reportOutage(now))
	require.Empty(t, b.reportOutage(now))
	now = now.Add(minOriginSilence)
	b.recordOriginChunk(now, false)
	b.outage.recordPeerFailure(now.Add(time.Millisecond), "a", OriginFailure{Ago: 100 * time.Millisecond})
	b.outage.recordPeerFailure(now.Add(time.Millisecond), "b", OriginFailure{Ago: 100 * time.Millisecond})
	require.False(t, b.outage.ongoing(now.Add(time.Hour)))
	require.Equal(t, []step.Effect{OriginOutageChanged{Digest: "d"}}, b.reportOutage(now))
}
