package record_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

func phase(host string, minor uint64) record.Record {
	return record.Record{Key: record.PhasePrefix + host, Version: record.Version{Major: 1, Minor: minor}, Value: json.RawMessage(`{"o":"1"}`)}
}

// reduce passes one event to a state and returns the effects.
func reduce(s *record.State, now time.Time, ev step.Event, peers record.Peers) []step.Effect {
	_, effects := s.Reduce(step.Input{Now: now, Event: ev}, peers)
	return effects
}

// offerOf delivers records to an entry and returns its offer of them to the only other entry.
func offerOf(t *testing.T, s *record.State, records ...record.Record) record.Offer {
	t.Helper()
	deliver(s, records...)
	for _, e := range reduce(s, start, step.Tick{}, record.Peers{Entries: []string{"other"}, All: []string{"other"}}) {
		if o, found := e.(record.Offer); found {
			return o
		}
	}
	t.Fatal("no offer")
	return record.Offer{}
}

// TestOfferedRecordIsTransferredOnce guards against transferring a record more than once when several entries offer
// it. Only one of them is asked at a time, and none once the record has arrived.
func TestOfferedRecordIsTransferredOnce(t *testing.T) {
	from, to := newState(), newState()
	o := offerOf(t, from, phase("a", 1), phase("b", 1))
	ask := func(now time.Time) []byte {
		return reduce(to, now, record.Offered{From: "x", Fingerprints: o.Fingerprints}, record.Peers{})[0].(record.OfferAnswer).Wants
	}
	wants := ask(start)
	require.ElementsMatch(t, o.Fingerprints, wants, "both")
	require.Empty(t, ask(start.Add(100*time.Millisecond)), "the records were requested just now")
	require.Equal(t, wants, ask(start.Add(time.Second)), "the answer was lost")
	sent := reduce(from, start, record.OfferAnswered{From: "to", Fingerprints: wants}, record.Peers{})[0].(record.Push)
	require.Equal(t, "to", sent.To)
	deliver(to, sent.Records...)
	require.Equal(t, from.Records, to.Records)
	require.Empty(t, ask(start.Add(time.Minute)))
}

// TestOfferOfOlderVersionDoesNotRevertRecord guards against an offer of an old version that reverts a record. The
// peer that offered it receives the newer version instead.
func TestOfferOfOlderVersionDoesNotRevertRecord(t *testing.T) {
	from, to := newState(), newState()
	o := offerOf(t, from, phase("a", 1))
	deliver(to, phase("a", 2))
	wants := reduce(to, start, record.Offered{Fingerprints: o.Fingerprints}, record.Peers{})[0].(record.OfferAnswer).Wants
	sent := reduce(from, start, record.OfferAnswered{From: "to", Fingerprints: wants}, record.Peers{})[0].(record.Push)
	back := reduce(to, start, record.Received{From: "from", Records: sent.Records}, record.Peers{})[0].(record.Push)
	deliver(from, back.Records...)
	require.Equal(t, uint64(2), to.Records[record.PhasePrefix+"a"].Version.Minor)
	require.Equal(t, to.Records, from.Records)
}

// TestAgentsPushOwnRecordToFewEntries guards against agents that offer or request dynamic records. They hold only their
// own, which they push to a few entries.
func TestAgentsPushOwnRecordToFewEntries(t *testing.T) {
	s := record.NewState(record.PhasePrefix+"self", false)
	entries := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	reduce(s, start, record.Published{Records: []record.Record{phase("self", 1)}}, record.Peers{})
	pushes := 0
	for _, e := range reduce(s, start, step.Tick{}, record.Peers{Entries: entries}) {
		require.IsType(t, record.Push{}, e)
		pushes++
	}
	require.Equal(t, record.OwnFanout+1, pushes, "two for the change, one per interval")
	fingerprints := offerOf(t, newState(), phase("a", 1)).Fingerprints
	require.Empty(t, reduce(s, start, record.Offered{Fingerprints: fingerprints}, record.Peers{})[0].(record.OfferAnswer).Wants)
}

// TestMalformedOffersAreRefused guards against malformed fingerprints from peers. They are passed to the reducer as
// well, which must not panic on those that skipped the check.
func TestMalformedOffersAreRefused(t *testing.T) {
	require.NoError(t, record.CheckFingerprints(make([]byte, 16)))
	require.Error(t, record.CheckFingerprints(make([]byte, 15)))
	require.Error(t, record.CheckFingerprints(make([]byte, 8*(record.MaxOfferRecords+1))))
	require.Len(t, reduce(newState(), start, record.Offered{Fingerprints: make([]byte, 15)}, record.Peers{})[0].(record.OfferAnswer).Wants, 8)
	require.Empty(t, reduce(newState(), start, record.OfferAnswered{Fingerprints: make([]byte, 15)}, record.Peers{}))
}
