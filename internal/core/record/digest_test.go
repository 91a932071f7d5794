package record_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

const sumsBytes = 8 * record.Buckets

// TestOnlyDifferentHalvesOfSumsAreSent guards against digests that are larger than needed: two entries with equal
// settings and different phases exchange only the sums of the dynamic records.
func TestOnlyDifferentHalvesOfSumsAreSent(t *testing.T) {
	ask := func(s *record.State, common, dynamic uint64) record.ExchangeAnswer {
		return reduce(s, start, record.ExchangeAsked{Common: common, Dynamic: dynamic}, record.Peers{})[0].(record.ExchangeAnswer)
	}
	asker, peer := newState(), newState()
	deliver(peer, phase("a", 1))
	var empty record.Sums
	a := ask(peer, empty.Common(), empty.Dynamic())
	require.Len(t, a.Digest, 1+sumsBytes, "the dynamic half")
	c := reduce(asker, start, record.ExchangeAnswered{From: "peer", Digest: a.Digest}, record.Peers{})[0].(record.Compare)
	require.Len(t, c.Buckets, 1)
	got := reduce(peer, start, record.CompareAsked{Buckets: c.Buckets, Versions: c.Versions, Fingerprints: c.Fingerprints}, record.Peers{})[0].(record.CompareAnswer)
	require.Len(t, got.Records, 1)
	require.Len(t, ask(peer, 1, 1).Digest, 1+2*sumsBytes, "both halves")
	require.Len(t, ask(peer, 1, 0).Digest, 1+sumsBytes, "the peer holds no dynamic records")
}

// TestMalformedDigestsAreRefused guards against malformed digests from peers. They are passed to the reducer as well,
// which must not panic on digests that skipped the check.
func TestMalformedDigestsAreRefused(t *testing.T) {
	part := func(from byte, n int) []byte { return append([]byte{from}, make([]byte, n)...) }
	for _, good := range [][]byte{nil, part(0, sumsBytes), part(1, sumsBytes), part(0, 2*sumsBytes)} {
		require.NoError(t, record.CheckDigest(good))
	}
	for _, bad := range [][]byte{part(0, 0), part(2, sumsBytes), part(255, sumsBytes), part(1, 2*sumsBytes), part(0, sumsBytes-1), part(0, 8), part(0, 3*sumsBytes)} {
		require.Error(t, record.CheckDigest(bad))
		require.NotPanics(t, func() {
			newState().Reduce(step.Input{Now: start, Event: record.ExchangeAnswered{From: "peer", Digest: bad}}, record.Peers{})
		})
	}
}

// TestDynamicSumsAreComparedOncePerIntervalInABurst guards against needless comparisons of the dynamic records while
// they keep changing, and against none at all. They take place once per DynamicInterval then, and in each exchange
// otherwise.
func TestDynamicSumsAreComparedOncePerIntervalInABurst(t *testing.T) {
	s := newState()
	peers := record.Peers{Near: []string{"e"}, Entries: []string{"e"}, All: []string{"e"}}
	entry := record.Coverage{Dynamic: true, SettingsKnown: true, Floor: 1}
	now := start
	countCompared := func(seconds int, changing bool) (n int) {
		for range seconds {
			now = now.Add(time.Second)
			if changing {
				reduce(s, now, record.Received{From: "e", Records: []record.Record{phase("a", uint64(now.Unix()))}}, peers)
			}
			for _, e := range reduce(s, now, step.Tick{}, peers) {
				if x, found := e.(record.Exchange); found {
					if x.Dynamic != 0 {
						n++
					}
					reduce(s, now, record.ExchangeAnswered{From: "e", Same: true, Coverage: entry}, peers)
				}
			}
		}
		return n
	}
	countCompared(2, false)
	require.Equal(t, 10, countCompared(10, false))
	require.Equal(t, 6, countCompared(30, true))
	countCompared(2, false)
	require.Equal(t, 10, countCompared(10, false))
}

// TestUncomparedDynamicRecordsDoNotCountAsReceived guards against a new entry that takes its dynamic records for
// complete after an exchange that left them out.
func TestUncomparedDynamicRecordsDoNotCountAsReceived(t *testing.T) {
	fresh := newState()
	entry := record.Coverage{Dynamic: true, SettingsKnown: true, Floor: 1}
	var empty record.Sums
	a := reduce(fresh, start, record.ExchangeAsked{From: "e", Common: empty.Common(), Coverage: entry}, record.Peers{})[0].(record.ExchangeAnswer)
	require.True(t, a.Same)
	require.False(t, fresh.DynamicMerged)
	reduce(fresh, start, record.ExchangeAsked{From: "e", Common: empty.Common(), Dynamic: empty.Dynamic(), Coverage: entry}, record.Peers{})
	require.True(t, fresh.DynamicMerged)
}

// TestDifferentDynamicRecordsConvergeOnBothSides guards against a comparison that repairs only one side. Each side
// lacks some records and has older versions of others, and one has the tombstone of a host.
func TestDifferentDynamicRecordsConvergeOnBothSides(t *testing.T) {
	asker, peer := newState(), newState()
	gone := record.Record{Key: record.PhasePrefix + "gone", Version: record.Version{Major: 1, Minor: 9}, Deleted: true}
	deliver(asker, phase("a", 1), phase("b", 1), phase("c", 2), phase("same", 3), phase("gone", 1))
	deliver(peer, phase("b", 2), phase("c", 1), phase("d", 1), phase("same", 3), gone)
	a := reduce(peer, start, record.ExchangeAsked{Common: 1, Dynamic: 1}, record.Peers{})[0].(record.ExchangeAnswer)
	c := reduce(asker, start, record.ExchangeAnswered{From: "peer", Digest: a.Digest, Coverage: a.Coverage}, record.Peers{})[0].(record.Compare)
	require.Empty(t, c.Versions, "dynamic records are compared by their fingerprints")
	got := reduce(peer, start, record.CompareAsked{Buckets: c.Buckets, Versions: c.Versions, Fingerprints: c.Fingerprints}, record.Peers{})[0].(record.CompareAnswer)
	for _, r := range got.Records {
		require.NotEqual(t, record.PhasePrefix+"same", r.Key)
	}
	pushes := reduce(asker, start, record.Compared{From: "peer", Records: got.Records, Wants: got.Wants, WantFingerprints: got.WantFingerprints}, record.Peers{})
	var back []step.Effect
	for _, e := range pushes {
		back = append(back, reduce(peer, start, record.Received{From: "asker", Records: e.(record.Push).Records}, record.Peers{})...)
	}
	for _, e := range back {
		reduce(asker, start, record.Received{From: "peer", Records: e.(record.Push).Records}, record.Peers{})
	}
	require.Equal(t, peer.Records, asker.Records)
	require.Len(t, asker.Records, 6)
	require.True(t, asker.Records[gone.Key].Deleted)
	require.Equal(t, uint64(2), asker.Records[record.PhasePrefix+"b"].Version.Minor)
}
