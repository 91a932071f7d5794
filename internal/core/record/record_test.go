package record_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

var start = time.Unix(1000, 0)

func newState() *record.State { return record.NewState(record.PhasePrefix+"self", true) }

func deliver(s *record.State, records ...record.Record) {
	s.Reduce(step.Input{Now: start, Event: record.Received{From: "peer", Records: records}}, record.Peers{})
}

func drawRecord(t *rapid.T) record.Record {
	prefix := rapid.SampledFrom([]string{"settings/t/", "host/", "advert/", "phase/"}).Draw(t, "prefix")
	version := rapid.Uint64Range(1, 6).Draw(t, "version")
	key := fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 3).Draw(t, "key"))
	// One version of a key has one value. The object API and the hosts' own sequence numbers guarantee this.
	r := record.Record{Key: key, Version: record.Version{Major: version}, Deleted: version%3 == 0}
	if !r.Deleted {
		r.Value = json.RawMessage(fmt.Sprintf(`{"v":%d}`, version))
	}
	return r
}

// TestMergeIsIndependentOfOrderAndRepetition guards against processes whose states differ after they received the
// same records. The records are delivered in two orders, one of them with repetitions.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 30).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := newState(), newState()
		deliver(a, records...)
		for _, r := range shuffled {
			deliver(b, r, r)
		}
		deliver(b, records...)
		require.Equal(t, a.Records, b.Records)
	})
}

// TestRecordVersionsNeverDecrease guards against a record that reverts to an older version, whatever records are
// delivered and whenever the Floor is raised.
func TestRecordVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		seen := map[string]record.Version{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "listing") {
				s.Listed(start, rapid.Uint64Range(1, 6).Draw(t, "revision"), nil)
			} else {
				deliver(s, drawRecord(t))
			}
			for key, r := range s.Records {
				require.False(t, r.Version.Less(seen[key]), "%s reverted to an older version", key)
				seen[key] = r.Version
			}
		}
	})
}

// TestSettingBelowTheFloorStaysDeleted guards against a peer with old state that restores a deleted setting. The Floor
// alone prevents this; there is no tombstone.
func TestSettingBelowTheFloorStaysDeleted(t *testing.T) {
	s := newState()
	s.Listed(start, 100, nil)
	old := record.Record{Key: "settings/t/s", Version: record.Version{Major: 50}, Value: json.RawMessage(`{}`)}
	_, effects := s.Reduce(step.Input{Now: start, Event: record.Received{From: "peer", Records: []record.Record{old}}}, record.Peers{})
	require.Empty(t, s.Records)
	require.Len(t, effects, 1, "the peer receives a tombstone")
	pushed := effects[0].(record.Push)
	require.Equal(t, "peer", pushed.To)
	require.True(t, pushed.Records[0].Deleted)
	old.Version.Major = 101
	deliver(s, old)
	require.Contains(t, s.Records, old.Key, "created again above the Floor")
}

// TestLargeSettingsFitIntoMessages guards against answers that exceed the size limit of a message. An empty process
// receives more settings than fit into one message, in several exchanges.
func TestLargeSettingsFitIntoMessages(t *testing.T) {
	full, fresh := newState(), newState()
	value := json.RawMessage(`"` + strings.Repeat("x", 60<<10) + `"`)
	var records []record.Record
	for n := range 100 {
		records = append(records, record.Record{Key: fmt.Sprintf("settings/t/s%d", n), Version: record.Version{Major: uint64(n + 1)}, Value: value})
	}
	full.Listed(start, 100, records)
	rounds := 0
	for !fresh.SettingsKnown {
		rounds++
		require.Less(t, rounds, 20)
		exchange(t, fresh, full)
	}
	require.Len(t, fresh.Records, 100)
	require.Equal(t, uint64(100), fresh.Floor)
	require.Greater(t, rounds, 1)
}

// exchange performs one exchange of asker with peer.
func exchange(t *testing.T, asker, peer *record.State) {
	t.Helper()
	reduce := func(s *record.State, ev step.Event) step.Effect {
		_, effects := s.Reduce(step.Input{Now: start, Event: ev}, record.Peers{})
		if len(effects) == 0 {
			return nil
		}
		return effects[0]
	}
	a := reduce(peer, record.ExchangeAsked{From: "asker", Common: 1, Dynamic: 1}).(record.ExchangeAnswer)
	c := reduce(asker, record.ExchangeAnswered{From: "peer", Digest: a.Digest, Coverage: a.Coverage}).(record.Compare)
	got := reduce(peer, record.CompareAsked{Buckets: c.Buckets, Versions: c.Versions, Fingerprints: c.Fingerprints}).(record.CompareAnswer)
	raw, err := json.Marshal(got)
	require.NoError(t, err)
	require.Less(t, len(raw), 4<<20, "the answer must fit into one message")
	reduce(asker, record.Compared{From: "peer", Records: got.Records, Wants: got.Wants, WantFingerprints: got.WantFingerprints, Partial: got.Partial, Coverage: c.Coverage})
}
